"""Works out which documents an edit replaces, on the state as it stands."""

import functools

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.platform import engine


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
        errors.CodedError: The edit can't be made on this state.
    """
    return _plan(edit, state)


@functools.singledispatch
def _plan(
    edit: edits.Edit, state: state_module.ConfigState
) -> edits.Replacement:
    raise TypeError(f"edit is a {type(edit).__name__}; give one of edits.Edit")


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
    _check(state, edits.FLEET_DOCUMENT, edit.expected_revision)
    return edits.Replacement(fleet=edit.fleet)


@_plan.register
def _(
    edit: edits.PutTeam, state: state_module.ConfigState
) -> edits.Replacement:
    document = edits.team_document(edit.team.name)
    _check(state, document, edit.expected_revision)
    return edits.Replacement(teams=(edit.team,))


@_plan.register
def _(
    edit: edits.PutTemplate, state: state_module.ConfigState
) -> edits.Replacement:
    template = edit.template
    document = edits.template_document(template.team, template.name)
    _check(state, document, edit.expected_revision)
    return edits.Replacement(templates=(template,))


@_plan.register
def _(
    edit: edits.RemoveTemplate, state: state_module.ConfigState
) -> edits.Replacement:
    _template(state, edit.team, edit.name)
    document = edits.template_document(edit.team, edit.name)
    _check(state, document, edit.expected_revision)
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
        _stage_index(template, edit.model_version)
        return edits.Replacement(
            templates=(_withdrawn_from(template, edit.model_version),)
        )
    fleet = state.snapshot.fleet
    withdrawn = {*fleet.withdrawn, edit.model_version}
    return edits.Replacement(
        fleet=msgspec.structs.replace(
            fleet, withdrawn=tuple(sorted(withdrawn))
        ),
        templates=tuple(
            _withdrawn_from(template, edit.model_version)
            for template in state.snapshot.templates.values()
            if _uses(template, edit.model_version)
        ),
    )


@_plan.register
def _(
    edit: edits.RollOutVersion, state: state_module.ConfigState
) -> edits.Replacement:
    template = _template(state, edit.team, edit.template)
    if _entry(template, edit.model_version) in (
        documents.VersionState.SERVING,
        documents.VersionState.ROLLING_OUT,
    ):
        raise _refused(
            f"{edit.model_version} is in template {template.name} already; "
            f"use set_roll_out_share to move a roll-out"
        )
    return edits.Replacement(
        templates=(
            _with_entry(
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
    template = _rolling(state, edit)
    entry_state = documents.VersionState.ROLLING_OUT
    if edit.share_percent >= edits.FULL_SHARE_PERCENT:
        entry_state = documents.VersionState.SERVING
    return edits.Replacement(
        templates=(
            _with_entry(
                template, edit.model_version, entry_state, edit.share_percent
            ),
        )
    )


@_plan.register
def _(
    edit: edits.RollBackVersion, state: state_module.ConfigState
) -> edits.Replacement:
    template = _rolling(state, edit)
    return edits.Replacement(
        templates=(_withdrawn_from(template, edit.model_version),)
    )


def _check(
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


def _rolling(
    state: state_module.ConfigState,
    edit: edits.SetRollOutShare | edits.RollBackVersion,
) -> documents.Template:
    template = _template(state, edit.team, edit.template)
    if _entry(template, edit.model_version) is not (
        documents.VersionState.ROLLING_OUT
    ):
        raise _refused(
            f"{edit.model_version} is not rolling out in template "
            f"{template.name}; `show` tells what stands"
        )
    return template


def _with_tokens(
    team: documents.Team, tokens: tuple[documents.TokenEntry, ...]
) -> edits.Replacement:
    team = msgspec.structs.replace(team, tokens=tokens)
    return edits.Replacement(teams=(team,))


def _uses(
    template: documents.Template, model_version: engine.ModelVersion
) -> bool:
    models = {stage.model for stage in template.stages}
    return (
        model_version.model in models
        and _entry(template, model_version) is not None
    )


def _entry(
    template: documents.Template, model_version: engine.ModelVersion
) -> documents.VersionState | None:
    """Returns the state of a version in a template; None if not named."""
    stage = template.stages[_stage_index(template, model_version)]
    for entry in stage.versions:
        if entry.version == model_version.version:
            return entry.state
    return None


def _stage_index(
    template: documents.Template, model_version: engine.ModelVersion
) -> int:
    for index, stage in enumerate(template.stages):
        if stage.model == model_version.model:
            return index
    raise _refused(
        f"template {template.name} has no stage of model {model_version.model}"
    )


def _withdrawn_from(
    template: documents.Template, model_version: engine.ModelVersion
) -> documents.Template:
    return _with_entry(
        template, model_version, documents.VersionState.WITHDRAWN, 0.0
    )


def _with_entry(
    template: documents.Template,
    model_version: engine.ModelVersion,
    entry_state: documents.VersionState,
    share_percent: float,
) -> documents.Template:
    """Sets one version's entry; the others share the rest as before."""
    index = _stage_index(template, model_version)
    stage = template.stages[index]
    others = [e for e in stage.versions if e.version != model_version.version]
    rest_percent = edits.FULL_SHARE_PERCENT - share_percent
    mine = documents.VersionEntry(
        version=model_version.version,
        state=entry_state,
        share_percent=share_percent,
    )
    versions = (*_scaled(others, rest_percent), mine)
    stages = list(template.stages)
    stages[index] = msgspec.structs.replace(stage, versions=versions)
    return msgspec.structs.replace(template, stages=tuple(stages))


def _scaled(
    entries: list[documents.VersionEntry], total_percent: float
) -> list[documents.VersionEntry]:
    """Scales the shares of serving versions so that all sum to a total.

    Another version's roll-out keeps its share, which is what its exposure
    was judged at, unless no serving version is left to take the rest.
    """
    taking = [e for e in entries if e.state is documents.VersionState.SERVING]
    kept_percent = sum(
        e.share_percent
        for e in entries
        if e.state is documents.VersionState.ROLLING_OUT
    )
    if not taking or kept_percent > total_percent:
        taking = [
            e
            for e in entries
            if e.state is not documents.VersionState.WITHDRAWN
        ]
        kept_percent = 0.0
    return _divided(entries, taking, total_percent - kept_percent)


def _divided(
    entries: list[documents.VersionEntry],
    taking: list[documents.VersionEntry],
    total_percent: float,
) -> list[documents.VersionEntry]:
    sum_percent = sum(entry.share_percent for entry in taking)
    divided = []
    for entry in entries:
        if entry in taking:
            part = (
                entry.share_percent / sum_percent
                if sum_percent > 0
                else 1 / len(taking)
            )
            entry = msgspec.structs.replace(
                entry, share_percent=round(total_percent * part, 6)
            )
        divided.append(entry)
    return divided


def _not_found(detail: str) -> errors.CodedError:
    return errors.CodedError(code=codes.Code.NOT_FOUND, detail=detail)


def _refused(detail: str) -> errors.CodedError:
    return errors.CodedError(code=codes.Code.INVALID_TEMPLATE, detail=detail)
