"""The edits that an operator can request.

Edits that carry a whole document name the revision that it was read at
(optimistic locking). Edits that state a goal, such as withdrawing a version,
apply to the newest state: a concurrent change of a deadline must not make the
withdrawal of a bad version fail.
"""

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine

FULL_SHARE_PERCENT = 100.0


class PutFleet(
    msgspec.Struct, frozen=True, kw_only=True, tag="put_fleet", tag_field="edit"
):
    """Replaces the fleet's document."""

    fleet: documents.Fleet
    expected_revision: int


class ImportDocuments(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="import_documents",
    tag_field="edit",
):
    """Replaces several documents at once, for example from a file.

    Attributes:
        expected_revision: Of the whole configuration.
    """

    expected_revision: int
    fleet: documents.Fleet | None = None
    teams: tuple[documents.Team, ...] = ()
    templates: tuple[documents.Template, ...] = ()


class PutTeam(
    msgspec.Struct, frozen=True, kw_only=True, tag="put_team", tag_field="edit"
):
    """Replaces a team's document, or adds it (expected revision 0)."""

    team: documents.Team
    expected_revision: int


class PutTemplate(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="put_template",
    tag_field="edit",
):
    """Replaces a template, or adds it (expected revision 0)."""

    template: documents.Template
    expected_revision: int


class RemoveTemplate(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="remove_template",
    tag_field="edit",
):
    """Removes a template."""

    team: str
    name: str
    expected_revision: int


class PutToken(
    msgspec.Struct, frozen=True, kw_only=True, tag="put_token", tag_field="edit"
):
    """Adds a token to a team, or replaces the one of the same name."""

    team: str
    token: documents.TokenEntry


class RemoveToken(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="remove_token",
    tag_field="edit",
):
    """Removes a token from a team."""

    team: str
    name: str


class WithdrawVersion(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="withdraw_version",
    tag_field="edit",
):
    """Stops new work on a version.

    Attributes:
        team: Empty for the whole fleet.
        template: Empty for the whole fleet.
        allow_unusable: Withdraw it even where that leaves a stage without a
            version; requests that need the stage are then refused.
    """

    model_version: engine.ModelVersion
    team: str = ""
    template: str = ""
    allow_unusable: bool = False


class RollOutVersion(
    msgspec.Struct, frozen=True, kw_only=True, tag="roll_out", tag_field="edit"
):
    """Starts a roll-out at the template's first step."""

    team: str
    template: str
    model_version: engine.ModelVersion


class SetRollOutShare(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="set_roll_out_share",
    tag_field="edit",
):
    """Sets the share of a roll-out; 100 completes it.

    The share is absolute, so the edit is idempotent.
    """

    team: str
    template: str
    model_version: engine.ModelVersion
    share_percent: float


class RollBackVersion(
    msgspec.Struct, frozen=True, kw_only=True, tag="roll_back", tag_field="edit"
):
    """Ends a roll-out and withdraws the version in this template."""

    team: str
    template: str
    model_version: engine.ModelVersion


Edit = (
    ImportDocuments
    | PutFleet
    | PutTeam
    | PutTemplate
    | RemoveTemplate
    | PutToken
    | RemoveToken
    | WithdrawVersion
    | RollOutVersion
    | SetRollOutShare
    | RollBackVersion
)


class TemplateName(msgspec.Struct, frozen=True, kw_only=True):
    """Names a template of a team."""

    team: str
    name: str


class Replacement(msgspec.Struct, frozen=True, kw_only=True):
    """The whole documents that a change replaces."""

    fleet: documents.Fleet | None = None
    teams: tuple[documents.Team, ...] = ()
    templates: tuple[documents.Template, ...] = ()
    removed_templates: tuple[TemplateName, ...] = ()

    def documents(self) -> list[str]:
        """Returns the names of all affected documents."""
        names = [FLEET_DOCUMENT] if self.fleet is not None else []
        names += [team_document(t.name) for t in self.teams]
        names += [template_document(t.team, t.name) for t in self.templates]
        names += [
            template_document(t.team, t.name) for t in self.removed_templates
        ]
        return names


FLEET_DOCUMENT = "fleet"
WHOLE_DOCUMENT = "configuration"


def team_document(name: str) -> str:
    """Returns the name of a team's document."""
    return f"team/{name}"


def template_document(team: str, name: str) -> str:
    """Returns the name of a template's document."""
    return f"template/{team}/{name}"
