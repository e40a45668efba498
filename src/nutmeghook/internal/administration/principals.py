"""Authentication and authorisation of administration calls."""

from collections.abc import Mapping
import dataclasses
import hmac

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import tokens as tokens_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

BOOTSTRAP_NAME = "bootstrap"
DEFAULT_PLATFORM_TEAM = "platform"
_BEARER = "bearer "
_READER_ROLES = frozenset(
    {
        documents.Role.VIEWER,
        documents.Role.OPERATOR,
        documents.Role.ADMINISTRATOR,
    }
)
_OPERATOR_ROLES = frozenset(
    {documents.Role.OPERATOR, documents.Role.ADMINISTRATOR}
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Principal:
    """A token's team, name and role.

    Attributes:
        is_of_platform: Its team is the platform team.
        is_administrator: It has the administrator's role in the platform team;
            in other teams that role permits as much as an operator's.
    """

    team: str
    name: str
    role: documents.Role
    is_of_platform: bool
    is_administrator: bool

    @property
    def author(self) -> rows.Author:
        """The principal as the author of changes."""
        return rows.Author(team=self.team, name=self.name)

    def check_may_read(self, team: str) -> None:
        """Checks that the principal may see a team's documents.

        Raises:
            errors.CodedError: `NOT_ALLOWED`.
        """
        if self.is_administrator:
            return
        if team != self.team or self.role not in _READER_ROLES:
            raise _not_allowed(self, f"read what is of team {team!r}")

    def check_may_settle(self) -> None:
        """Checks that the principal may make an operation's outcome final.

        Raises:
            errors.CodedError: `NOT_ALLOWED`.
        """
        if self.role not in _OPERATOR_ROLES:
            raise _not_allowed(self, "settle operations")

    def check_may_edit(self, edit: edits.Edit) -> None:
        """Checks that the principal may make an edit.

        Raises:
            errors.CodedError: `NOT_ALLOWED`.
        """
        if self.is_administrator:
            return
        if self.role not in _OPERATOR_ROLES:
            raise _not_allowed(self, "change anything")
        team = _operator_team(edit)
        if team is None:
            raise _not_allowed(
                self, "make this edit; it is for the platform's administrators"
            )
        if team != self.team:
            raise _not_allowed(self, f"change what is of team {team!r}")
        # An operator of the platform team could otherwise create or replace an
        # administrator's token, and so become an administrator.
        if self.is_of_platform and isinstance(
            edit, edits.PutToken | edits.RemoveToken
        ):
            raise _not_allowed(self, "change the platform's own tokens")


class PrincipalFinder:
    """Finds the principal of a bearer token."""

    __slots__ = ("_bootstrap_sha256", "_platform_team", "_tokens")

    def __init__(
        self,
        *,
        tokens: tokens_module.TokenIndex,
        platform_team: str = DEFAULT_PLATFORM_TEAM,
        bootstrap_sha256: str = "",
    ):
        """Initialises the finder.

        Args:
            tokens: The tokens of the configuration in force.
            platform_team: The team whose administrators may change everything.
            bootstrap_sha256: The hash of a token from the settings that may
                change everything, for the first import and if all other tokens
                are lost; empty for none.
        """
        self._tokens = tokens
        self._platform_team = platform_team
        self._bootstrap_sha256 = bootstrap_sha256

    def find(self, headers: Mapping[str, str]) -> Principal:
        """Returns the principal of a request's token.

        Raises:
            errors.CodedError: `BAD_TOKEN`, the same for a missing token and
                an invalid one.
        """
        authorization = headers.get("Authorization", "")
        if authorization[: len(_BEARER)].lower() == _BEARER:
            principal = self._find(authorization[len(_BEARER) :].strip())
            if principal is not None:
                return principal
        raise errors.CodedError(
            code=codes.Code.BAD_TOKEN,
            detail="send 'Authorization: Bearer' with an operator's token",
        )

    def _find(self, token_text: str) -> Principal | None:
        hashed = tokens_module.digest(token_text)
        if self._bootstrap_sha256 and hmac.compare_digest(
            hashed, self._bootstrap_sha256
        ):
            return Principal(
                team=self._platform_team,
                name=BOOTSTRAP_NAME,
                role=documents.Role.ADMINISTRATOR,
                is_of_platform=True,
                is_administrator=True,
            )
        holder = self._tokens.find(token_text)
        if holder is None:
            return None
        is_of_platform = holder.team.name == self._platform_team
        return Principal(
            team=holder.team.name,
            name=holder.token_name,
            role=holder.role,
            is_of_platform=is_of_platform,
            is_administrator=(
                is_of_platform and holder.role is documents.Role.ADMINISTRATOR
            ),
        )


def _operator_team(edit: edits.Edit) -> str | None:
    """Returns the team whose operators may make an edit; None for none.

    A team may not change its own entitlements (models, weight and routes), so
    only administrators may replace whole team documents.
    """
    if isinstance(edit, edits.PutTemplate):
        return edit.template.team
    if isinstance(edit, edits.PutToken | edits.RemoveToken):
        return edit.team
    if isinstance(
        edit,
        edits.RemoveTemplate
        | edits.WithdrawVersion
        | edits.RollOutVersion
        | edits.SetRollOutShare
        | edits.RollBackVersion,
    ):
        return edit.team or None
    return None


def _not_allowed(principal: Principal, what: str) -> errors.CodedError:
    return errors.CodedError(
        code=codes.Code.NOT_ALLOWED,
        detail=f"{principal.author} ({principal.role.value}) may not {what}",
    )
