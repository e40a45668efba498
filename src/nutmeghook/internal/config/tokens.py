"""Who a bearer token belongs to."""

import dataclasses
import hashlib

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TokenHolder:
    """The team that a token acts for, and what it may do."""

    team: documents.Team
    token_name: str
    token_sha256: str
    role: documents.Role


class TokenIndex:
    """Finds a token's holder with the same work for every token.

    The text is hashed before it is looked up, so the time of the lookup says
    nothing about how much of a guessed text is right.
    """

    __slots__ = ("_config", "_holders", "_indexed_snapshot")

    def __init__(self, *, config: view_module.ConfigView):
        self._config = config
        self._indexed_snapshot: documents.Snapshot | None = None
        self._holders: dict[str, TokenHolder] = {}

    def find(self, token_text: str) -> TokenHolder | None:
        """Returns the holder in the configuration in force, if any."""
        snapshot = self._config.snapshot
        if snapshot is not self._indexed_snapshot:
            self._holders = _index(snapshot)
            self._indexed_snapshot = snapshot
        return self._holders.get(digest(token_text))


def digest(token_text: str) -> str:
    """Returns the form in which a token's text is kept: SHA-256 in hex."""
    return hashlib.sha256(
        token_text.encode("utf-8", "surrogateescape")
    ).hexdigest()


def _index(snapshot: documents.Snapshot) -> dict[str, TokenHolder]:
    return {
        entry.sha256: TokenHolder(
            team=team,
            token_name=entry.name,
            token_sha256=entry.sha256,
            role=entry.role,
        )
        for team in snapshot.teams.values()
        for entry in team.tokens
    }
