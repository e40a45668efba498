"""Checks that a request that has not run yet would still be accepted."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors


def check_token(
    config: view_module.ConfigView,
    request: requests.GenerationRequest | requests.PlainRequest,
    progress: progress_module.Progress,
) -> None:
    """Checks just before sending that the caller's token is still valid.

    A request can wait minutes for a slot, or for a backend server that accepts
    it, and its token may be revoked meanwhile. Once the request may have run,
    it stays accepted: another attempt is no new request, and the caller is
    owed the answer (docs/design/admission-holds.md).

    Raises:
        errors.CodedError: Nothing has run, and the token was revoked.
    """
    if progress.possibly_run:
        return
    team = config.snapshot.teams.get(request.team.name)
    if team is not None and any(
        token.sha256 == request.token_sha256
        and token.role is documents.Role.CALLER
        for token in team.tokens
    ):
        return
    raise errors.CodedError(
        code=codes.Code.BAD_TOKEN,
        detail="the token was revoked before the request ran",
    )
