"""Finds the holder of a bearer token."""

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
    """Finds a token's holder without a timing side channel.

    The text is hashed before the look-up, so the look-up time does not reveal
    how much of a guessed token is correct.
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
    """Returns the stored form of a token's text: SHA-256 in hex."""
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
