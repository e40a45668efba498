"""Validation rules for a template with its team and the fleet."""

from collections.abc import Iterator
import itertools

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import faults
from nutmeghook.internal.config import field_rules
from nutmeghook.internal.dependencies import engine

MAX_STAGES = 8
MAX_STALENESS_MS = 3_600_000
_SHARE_TOLERANCE_PERCENT = 0.01


def template_faults(
    template: documents.Template, snapshot: documents.Snapshot
) -> Iterator[faults.FieldFault]:
    """Finds every fault of a template in a configuration."""
    path = edits.template_document(template.team, template.name)
    if not field_rules.NAME.fullmatch(template.name):
        yield field_rules.fault(
            f"{path}.name", template.name, field_rules.NAME_REMEDY
        )
    team = snapshot.teams.get(template.team)
    if team is None:
        yield field_rules.fault(
            f"{path}.team", template.team, "name a team that exists, or add it"
        )
    yield from field_rules.common_faults(path, template)
    yield from _range_faults(path, template)
    yield from _roll_out_faults(f"{path}.roll_out", template.roll_out)
    if not 1 <= len(template.stages) <= MAX_STAGES:
        yield field_rules.fault(
            f"{path}.stages",
            f"{len(template.stages)} stages",
            f"give 1 to {MAX_STAGES}, from cheap to expensive",
        )
    yield from field_rules.duplicate_faults(
        f"{path}.stages", [s.model for s in template.stages]
    )
    for index, stage in enumerate(template.stages):
        at = f"{path}.stages[{index}]"
        yield from _model_faults(f"{at}.model", stage.model, team, snapshot)
        yield from _stage_faults(at, stage, snapshot.fleet)


def _range_faults(
    path: str, template: documents.Template
) -> Iterator[faults.FieldFault]:
    if not 0 <= template.quality_target <= 1:
        yield field_rules.fault(
            f"{path}.quality_target", template.quality_target, "give 0 to 1"
        )
    if not 0 <= template.held_share_percent <= edits.FULL_SHARE_PERCENT:
        yield field_rules.fault(
            f"{path}.held_share_percent",
            template.held_share_percent,
            "give 0 to 100",
        )
    if template.max_tokens < 1:
        yield field_rules.fault(
            f"{path}.max_tokens", template.max_tokens, "give 1 or more"
        )
    if template.tokens_per_minute < 0:
        yield field_rules.fault(
            f"{path}.tokens_per_minute",
            template.tokens_per_minute,
            "give 0 (no budget) or more",
        )
    if template.hedge_after_ms < 0:
        yield field_rules.fault(
            f"{path}.hedge_after_ms",
            template.hedge_after_ms,
            "give 0 (never) or more",
        )
    if not 1 <= template.staleness_limit_ms <= MAX_STALENESS_MS:
        yield field_rules.fault(
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
        yield field_rules.fault(
            f"{path}.steps_percent", steps, "give rising shares"
        )
    if not steps or steps[-1] != edits.FULL_SHARE_PERCENT:
        yield field_rules.fault(f"{path}.steps_percent", steps, "end with 100")
    if policy.unrated_cap < 1:
        yield field_rules.fault(
            f"{path}.unrated_cap", policy.unrated_cap, "give 1 or more"
        )
    if policy.ratings_per_step < 1:
        yield field_rules.fault(
            f"{path}.ratings_per_step",
            policy.ratings_per_step,
            "give 1 or more",
        )
    for name in ("bad_rating_below", "tolerated_bad_share"):
        value = getattr(policy, name)
        if not 0 <= value <= 1:
            yield field_rules.fault(f"{path}.{name}", value, "give 0 to 1")


def _model_faults(
    path: str,
    model: str,
    team: documents.Team | None,
    snapshot: documents.Snapshot,
) -> Iterator[faults.FieldFault]:
    if model not in {entry.name for entry in snapshot.fleet.models}:
        yield field_rules.fault(
            path, model, "name a model of the fleet's catalogue"
        )
    if team is not None and model not in team.allowed_models:
        yield field_rules.fault(
            path, model, f"name a model that team {team.name} is allowed"
        )


def _stage_faults(
    path: str, stage: documents.Stage, fleet: documents.Fleet
) -> Iterator[faults.FieldFault]:
    yield from field_rules.duplicate_faults(
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
            yield field_rules.fault(
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
        yield field_rules.fault(
            f"{path}.versions",
            f"{total_percent:g} percent in all",
            "give shares that sum to 100 over the versions not withdrawn",
        )


def _entry_faults(
    path: str, entry: documents.VersionEntry
) -> Iterator[faults.FieldFault]:
    if not field_rules.MODEL_NAME.fullmatch(entry.version):
        yield field_rules.fault(
            f"{path}.version", entry.version, field_rules.NAME_REMEDY
        )
    if not 0 <= entry.share_percent <= edits.FULL_SHARE_PERCENT:
        yield field_rules.fault(
            f"{path}.share_percent", entry.share_percent, "give 0 to 100"
        )
    withdrawn = entry.state is documents.VersionState.WITHDRAWN
    if withdrawn and entry.share_percent != 0:
        yield field_rules.fault(
            f"{path}.share_percent",
            entry.share_percent,
            "a withdrawn version has share 0",
        )
