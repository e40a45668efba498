"""Determines which documents an edit replaces in a given state."""

import functools

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import shares
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors


class StaleRevisionError(Exception):
    """The edited document is not at the revision that the edit expects."""

    def __init__(
        self, *, document: str, expected_revision: int, current_revision: int
    ):
        super().__init__(
            f"{document} is at revision {current_revision}, "
            f"not {expected_revision}"
        )
        self.document = document
        self.expected_revision = expected_revision
        self.current_revision = current_revision


def plan(
    edit: edits.Edit, state: state_module.ConfigState
) -> edits.Replacement:
    """Returns the documents that the edit replaces.

    Raises:
        StaleRevisionError: Another change came first.
        errors.CodedError: The edit can't be applied to this state.
    """
    return _plan(edit, state)


@functools.singledispatch
def _plan(
    edit: edits.Edit, state: state_module.ConfigState
) -> edits.Replacement:
    raise TypeError(
        f"edit is a {type(edit).__name__}; expected one of edits.Edit"
    )


@_plan.register
def _(
    edit: edits.ImportDocuments, state: state_module.ConfigState
) -> edits.Replacement:
    if edit.expected_revision != state.revision:
        raise StaleRevisionError(
            document=edits.WHOLE_DOCUMENT,
            expected_revision=edit.expected_revision,
            current_revision=state.revision,
        )
    return edits.Replacement(
        fleet=edit.fleet, teams=edit.teams, templates=edit.templates
    )


@_plan.register
def _(
    edit: edits.PutFleet, state: state_module.ConfigState
) -> edits.Replacement:
    _check_revision(state, edits.FLEET_DOCUMENT, edit.expected_revision)
    return edits.Replacement(fleet=edit.fleet)


@_plan.register
def _(
    edit: edits.PutTeam, state: state_module.ConfigState
) -> edits.Replacement:
    document = edits.team_document(edit.team.name)
    _check_revision(state, document, edit.expected_revision)
    return edits.Replacement(teams=(edit.team,))


@_plan.register
def _(
    edit: edits.PutTemplate, state: state_module.ConfigState
) -> edits.Replacement:
    template = edit.template
    document = edits.template_document(template.team, template.name)
    _check_revision(state, document, edit.expected_revision)
    return edits.Replacement(templates=(template,))


@_plan.register
def _(
    edit: edits.RemoveTemplate, state: state_module.ConfigState
) -> edits.Replacement:
    _template(state, edit.team, edit.name)
    document = edits.template_document(edit.team, edit.name)
    _check_revision(state, document, edit.expected_revision)
    removed = edits.TemplateName(team=edit.team, name=edit.name)
    return edits.Replacement(removed_templates=(removed,))


@_plan.register
def _(
    edit: edits.PutToken, state: state_module.ConfigState
) -> edits.Replacement:
    team = _team(state, edit.team)
    others = tuple(t for t in team.tokens if t.name != edit.token.name)
    return _with_tokens(team, (*others, edit.token))


@_plan.register
def _(
    edit: edits.RemoveToken, state: state_module.ConfigState
) -> edits.Replacement:
    team = _team(state, edit.team)
    others = tuple(t for t in team.tokens if t.name != edit.name)
    if len(others) == len(team.tokens):
        raise _not_found(f"team {team.name} has no token {edit.name!r}")
    return _with_tokens(team, others)


@_plan.register
def _(
    edit: edits.WithdrawVersion, state: state_module.ConfigState
) -> edits.Replacement:
    if edit.template:
        template = _template(state, edit.team, edit.template)
        shares.stage_index(template, edit.model_version)
        return edits.Replacement(
            templates=(shares.withdrawn_from(template, edit.model_version),)
        )
    fleet = state.snapshot.fleet
    withdrawn = {*fleet.withdrawn, edit.model_version}
    return edits.Replacement(
        fleet=msgspec.structs.replace(
            fleet, withdrawn=tuple(sorted(withdrawn))
        ),
        templates=tuple(
            shares.withdrawn_from(template, edit.model_version)
            for template in state.snapshot.templates.values()
            if shares.uses(template, edit.model_version)
        ),
    )


@_plan.register
def _(
    edit: edits.RollOutVersion, state: state_module.ConfigState
) -> edits.Replacement:
    template = _template(state, edit.team, edit.template)
    if shares.state_of(template, edit.model_version) in (
        documents.VersionState.SERVING,
        documents.VersionState.ROLLING_OUT,
    ):
        raise shares.invalid_template(
            f"{edit.model_version} is in template {template.name} already; "
            f"use set_roll_out_share to move a roll-out"
        )
    return edits.Replacement(
        templates=(
            shares.with_entry(
                template,
                edit.model_version,
                documents.VersionState.ROLLING_OUT,
                template.roll_out.steps_percent[0],
            ),
        )
    )


@_plan.register
def _(
    edit: edits.SetRollOutShare, state: state_module.ConfigState
) -> edits.Replacement:
    template = _template_in_roll_out(state, edit)
    entry_state = documents.VersionState.ROLLING_OUT
    if edit.share_percent >= edits.FULL_SHARE_PERCENT:
        entry_state = documents.VersionState.SERVING
    return edits.Replacement(
        templates=(
            shares.with_entry(
                template, edit.model_version, entry_state, edit.share_percent
            ),
        )
    )


@_plan.register
def _(
    edit: edits.RollBackVersion, state: state_module.ConfigState
) -> edits.Replacement:
    template = _template_in_roll_out(state, edit)
    return edits.Replacement(
        templates=(shares.withdrawn_from(template, edit.model_version),)
    )


def _check_revision(
    state: state_module.ConfigState, document: str, expected_revision: int
) -> None:
    current = state.revision_of(document)
    if current != expected_revision:
        raise StaleRevisionError(
            document=document,
            expected_revision=expected_revision,
            current_revision=current,
        )


def _team(state: state_module.ConfigState, name: str) -> documents.Team:
    team = state.snapshot.teams.get(name)
    if team is None:
        raise _not_found(f"there is no team {name!r}")
    return team


def _template(
    state: state_module.ConfigState, team: str, name: str
) -> documents.Template:
    template = state.snapshot.template(team, name)
    if template is None:
        raise _not_found(f"team {team!r} has no template {name!r}")
    return template


def _template_in_roll_out(
    state: state_module.ConfigState,
    edit: edits.SetRollOutShare | edits.RollBackVersion,
) -> documents.Template:
    template = _template(state, edit.team, edit.template)
    if shares.state_of(template, edit.model_version) is not (
        documents.VersionState.ROLLING_OUT
    ):
        raise shares.invalid_template(
            f"{edit.model_version} is not rolling out in template "
            f"{template.name}; `show` prints the present state"
        )
    return template


def _with_tokens(
    team: documents.Team, tokens: tuple[documents.TokenEntry, ...]
) -> edits.Replacement:
    team = msgspec.structs.replace(team, tokens=tokens)
    return edits.Replacement(teams=(team,))


def _not_found(detail: str) -> errors.CodedError:
    return errors.CodedError(code=codes.Code.NOT_FOUND, detail=detail)
