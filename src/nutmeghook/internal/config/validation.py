"""The rules that a whole configuration must keep.

All faults are found at once. A change is refused for the faults that it adds:
one template that a fleet-wide withdrawal left without a version must not keep
every other team from changing theirs.
"""

from collections.abc import Iterator
import itertools
import math
import re

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import faults
from nutmeghook.internal.platform import engine

MAX_PRIORITY = 9
MAX_STAGES = 8
MAX_STALENESS_MS = 3_600_000
_SHARE_TOLERANCE_PERCENT = 0.01
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_NAME_REMEDY = (
    "use 1 to 63 of a-z, 0-9, '.', '_' and '-', a letter or digit first"
)


def added_faults(
    before: documents.Snapshot, after: documents.Snapshot
) -> list[faults.FieldFault]:
    """Returns the faults of `after` that `before` did not have."""
    known = set(find_faults(before))
    return [fault for fault in find_faults(after) if fault not in known]


def find_faults(snapshot: documents.Snapshot) -> list[faults.FieldFault]:
    """Returns every fault of a configuration."""
    found = list(_fleet_faults(snapshot.fleet))
    found += _shared_token_faults(snapshot)
    for team in snapshot.teams.values():
        found += _team_faults(team, snapshot.fleet)
    for template in snapshot.templates.values():
        found += _template_faults(template, snapshot)
    return found


def _fleet_faults(fleet: documents.Fleet) -> Iterator[faults.FieldFault]:
    path = edits.FLEET_DOCUMENT
    names = [model.name for model in fleet.models]
    yield from _repeated(f"{path}.models", names)
    for index, model in enumerate(fleet.models):
        at = f"{path}.models[{index}]"
        if not _MODEL_NAME.fullmatch(model.name):
            yield _fault(f"{at}.name", model.name, _NAME_REMEDY)
        if model.prompt_token_cost_micros < 0:
            yield _fault(
                f"{at}.prompt_token_cost_micros",
                model.prompt_token_cost_micros,
                "give 0 or more",
            )
        if model.output_token_cost_micros < 0:
            yield _fault(
                f"{at}.output_token_cost_micros",
                model.output_token_cost_micros,
                "give 0 or more",
            )
    for index, withdrawn in enumerate(fleet.withdrawn):
        if not _MODEL_NAME.fullmatch(withdrawn.version):
            at = f"{path}.withdrawn[{index}].version"
            yield _fault(at, withdrawn.version, _NAME_REMEDY)


def _team_faults(
    team: documents.Team, fleet: documents.Fleet
) -> Iterator[faults.FieldFault]:
    path = edits.team_document(team.name)
    if not _NAME.fullmatch(team.name):
        yield _fault(f"{path}.name", team.name, _NAME_REMEDY)
    if not (math.isfinite(team.weight) and team.weight > 0):
        yield _fault(f"{path}.weight", team.weight, "give more than 0")
    catalogue = {model.name for model in fleet.models}
    for index, model in enumerate(team.allowed_models):
        if model not in catalogue:
            yield _fault(
                f"{path}.allowed_models[{index}]",
                model,
                "name a model of the fleet's catalogue, or add it there first",
            )
    yield from _repeated(f"{path}.tokens", [t.name for t in team.tokens])
    for index, token in enumerate(team.tokens):
        yield from _token_faults(f"{path}.tokens[{index}]", token)
    for index, route in enumerate(team.plain_routes):
        yield from _route_faults(f"{path}.plain_routes[{index}]", route)


def _token_faults(
    path: str, token: documents.TokenEntry
) -> Iterator[faults.FieldFault]:
    if not _NAME.fullmatch(token.name):
        yield _fault(f"{path}.name", token.name, _NAME_REMEDY)
    if not _SHA256.fullmatch(token.sha256):
        yield _fault(
            f"{path}.sha256",
            token.sha256,
            "give the SHA-256 of the token's text as 64 lower-case hex digits",
        )


def _shared_token_faults(
    snapshot: documents.Snapshot,
) -> Iterator[faults.FieldFault]:
    # A bearer token is looked up by its hash alone: one that two entries
    # share would act for whichever team came last.
    seen: set[str] = set()
    for team in snapshot.teams.values():
        for token in team.tokens:
            if token.sha256 in seen:
                path = f"{edits.team_document(team.name)}.tokens[{token.name}]"
                yield _fault(
                    f"{path}.sha256", token.sha256, "mint a token of its own"
                )
            seen.add(token.sha256)


def _route_faults(
    path: str, route: documents.PlainRoute
) -> Iterator[faults.FieldFault]:
    if not _NAME.fullmatch(route.service):
        yield _fault(f"{path}.service", route.service, _NAME_REMEDY)
    if not route.path_prefix.startswith("/"):
        yield _fault(f"{path}.path_prefix", route.path_prefix, "start with '/'")
    yield from _common_faults(path, route)


def _common_faults(
    path: str, document: documents.PlainRoute | documents.Template
) -> Iterator[faults.FieldFault]:
    if document.deadline_ms < 1:
        yield _fault(
            f"{path}.deadline_ms", document.deadline_ms, "give 1 or more"
        )
    if not 0 <= document.priority <= MAX_PRIORITY:
        yield _fault(
            f"{path}.priority", document.priority, f"give 0 to {MAX_PRIORITY}"
        )


def _template_faults(
    template: documents.Template, snapshot: documents.Snapshot
) -> Iterator[faults.FieldFault]:
    path = edits.template_document(template.team, template.name)
    if not _NAME.fullmatch(template.name):
        yield _fault(f"{path}.name", template.name, _NAME_REMEDY)
    team = snapshot.teams.get(template.team)
    if team is None:
        yield _fault(
            f"{path}.team", template.team, "name a team that exists, or add it"
        )
    yield from _common_faults(path, template)
    yield from _range_faults(path, template)
    yield from _roll_out_faults(f"{path}.roll_out", template.roll_out)
    if not 1 <= len(template.stages) <= MAX_STAGES:
        yield _fault(
            f"{path}.stages",
            f"{len(template.stages)} stages",
            f"give 1 to {MAX_STAGES}, from cheap to expensive",
        )
    yield from _repeated(f"{path}.stages", [s.model for s in template.stages])
    for index, stage in enumerate(template.stages):
        at = f"{path}.stages[{index}]"
        yield from _model_faults(f"{at}.model", stage.model, team, snapshot)
        yield from _stage_faults(at, stage, snapshot.fleet)


def _range_faults(
    path: str, template: documents.Template
) -> Iterator[faults.FieldFault]:
    if not 0 <= template.quality_target <= 1:
        yield _fault(
            f"{path}.quality_target", template.quality_target, "give 0 to 1"
        )
    if not 0 <= template.held_share_percent <= edits.FULL_SHARE_PERCENT:
        yield _fault(
            f"{path}.held_share_percent",
            template.held_share_percent,
            "give 0 to 100",
        )
    if template.max_tokens < 1:
        yield _fault(
            f"{path}.max_tokens", template.max_tokens, "give 1 or more"
        )
    if template.tokens_per_minute < 0:
        yield _fault(
            f"{path}.tokens_per_minute",
            template.tokens_per_minute,
            "give 0 (no budget) or more",
        )
    if template.hedge_after_ms < 0:
        yield _fault(
            f"{path}.hedge_after_ms",
            template.hedge_after_ms,
            "give 0 (never) or more",
        )
    if not 1 <= template.staleness_limit_ms <= MAX_STALENESS_MS:
        yield _fault(
            f"{path}.staleness_limit_ms",
            template.staleness_limit_ms,
            f"give 1 to {MAX_STALENESS_MS}",
        )


def _roll_out_faults(
    path: str, policy: documents.RollOutPolicy
) -> Iterator[faults.FieldFault]:
    steps = policy.steps_percent
    rising = all(a < b for a, b in itertools.pairwise(steps))
    if not (steps and rising and steps[0] > 0):
        yield _fault(f"{path}.steps_percent", steps, "give rising shares")
    if not steps or steps[-1] != edits.FULL_SHARE_PERCENT:
        yield _fault(f"{path}.steps_percent", steps, "end with 100")
    if policy.unrated_cap < 1:
        yield _fault(
            f"{path}.unrated_cap", policy.unrated_cap, "give 1 or more"
        )
    if policy.ratings_per_step < 1:
        yield _fault(
            f"{path}.ratings_per_step",
            policy.ratings_per_step,
            "give 1 or more",
        )
    for name in ("bad_rating_below", "tolerated_bad_share"):
        value = getattr(policy, name)
        if not 0 <= value <= 1:
            yield _fault(f"{path}.{name}", value, "give 0 to 1")


def _model_faults(
    path: str,
    model: str,
    team: documents.Team | None,
    snapshot: documents.Snapshot,
) -> Iterator[faults.FieldFault]:
    if model not in {entry.name for entry in snapshot.fleet.models}:
        yield _fault(path, model, "name a model of the fleet's catalogue")
    if team is not None and model not in team.allowed_models:
        yield _fault(
            path, model, f"name a model that team {team.name} is allowed"
        )


def _stage_faults(
    path: str, stage: documents.Stage, fleet: documents.Fleet
) -> Iterator[faults.FieldFault]:
    yield from _repeated(
        f"{path}.versions", [entry.version for entry in stage.versions]
    )
    total_percent = 0.0
    serving = False
    for index, entry in enumerate(stage.versions):
        at = f"{path}.versions[{index}]"
        yield from _entry_faults(at, entry)
        if entry.state is documents.VersionState.WITHDRAWN:
            continue
        total_percent += entry.share_percent
        named = engine.ModelVersion(model=stage.model, version=entry.version)
        if named in fleet.withdrawn:
            yield _fault(
                f"{at}.state",
                entry.state.value,
                f"{named} is withdrawn for the fleet; withdraw it here too",
            )
        serving |= entry.state is documents.VersionState.SERVING
    if not serving:
        yield faults.FieldFault(
            path=f"{path}.versions",
            value="without a serving version",
            remedy="name one that serves: versions in roll-out are not proven",
            waivable=True,
        )
    if (serving or total_percent) and abs(
        total_percent - edits.FULL_SHARE_PERCENT
    ) > (_SHARE_TOLERANCE_PERCENT):
        yield _fault(
            f"{path}.versions",
            f"{total_percent:g} percent in all",
            "give shares that sum to 100 over the versions not withdrawn",
        )


def _entry_faults(
    path: str, entry: documents.VersionEntry
) -> Iterator[faults.FieldFault]:
    if not _MODEL_NAME.fullmatch(entry.version):
        yield _fault(f"{path}.version", entry.version, _NAME_REMEDY)
    if not 0 <= entry.share_percent <= edits.FULL_SHARE_PERCENT:
        yield _fault(
            f"{path}.share_percent", entry.share_percent, "give 0 to 100"
        )
    withdrawn = entry.state is documents.VersionState.WITHDRAWN
    if withdrawn and entry.share_percent != 0:
        yield _fault(
            f"{path}.share_percent",
            entry.share_percent,
            "a withdrawn version has share 0",
        )


def _repeated(path: str, names: list[str]) -> Iterator[faults.FieldFault]:
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield _fault(path, f"{name!r} more than once", "name each one once")


def _fault(path: str, value: object, remedy: str) -> faults.FieldFault:
    return faults.FieldFault(path=path, value=str(value), remedy=remedy)
