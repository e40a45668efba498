"""The status that a shift of operators hands over to the next."""

import abc
import datetime

import msgspec

from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import principals
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import in_force
from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.config import validation
from nutmeghook.internal.dependencies import engine

_MILLISECOND = datetime.timedelta(milliseconds=1)


class RollingItem(msgspec.Struct, frozen=True, kw_only=True):
    """A version being rolled out; `next_percent` is its policy's next step."""

    template: str
    model_version: str
    share_percent: float
    next_percent: float


class WithdrawnItem(msgspec.Struct, frozen=True, kw_only=True):
    """A version withdrawn in one template, or in the whole fleet."""

    document: str
    model_version: str


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Where the configuration is in force, and what is under way.

    Attributes:
        confirmed_age_ms: Time since the answering instance's revision was last
            known to be the newest; None if never.
        waiting: What operators have to look at, a sentence each.
    """

    revision: int
    confirmed_age_ms: int | None
    where: in_force.InForce
    rolling: tuple[RollingItem, ...]
    withdrawn: tuple[WithdrawnItem, ...]
    waiting: tuple[str, ...]
    changes: tuple[bodies.HistoryItem, ...]


class WaitingSource(abc.ABC):
    """A component that reports what operators have to look at."""

    @abc.abstractmethod
    async def waiting(self, team: str | None) -> list[str]:
        """Returns one sentence per item; for all teams if `team` is None."""


async def build(
    principal: principals.Principal,
    *,
    replica: replica_module.ConfigReplica,
    where: in_force.InForce,
    changes: tuple[bodies.HistoryItem, ...],
    sources: tuple[WaitingSource, ...],
) -> StatusAnswer:
    """Returns the status as far as a principal may see it."""
    snapshot = replica.snapshot
    templates = [
        template
        for template in snapshot.templates.values()
        if principal.is_administrator or template.team == principal.team
    ]
    team = None if principal.is_administrator else principal.team
    age = replica.confirmed_age()
    return StatusAnswer(
        revision=snapshot.revision,
        confirmed_age_ms=None if age is None else age // _MILLISECOND,
        where=where,
        rolling=_rolling(templates),
        withdrawn=_withdrawn(snapshot.fleet, templates),
        waiting=(
            *_unconfirmed_texts(where),
            *_fault_texts(snapshot, team),
            *[t for source in sources for t in await source.waiting(team)],
        ),
        changes=changes,
    )


def next_step_percent(
    policy: documents.RollOutPolicy, share_percent: float
) -> float:
    """Returns the first step above a share; 100 after the last."""
    for step in policy.steps_percent:
        if step > share_percent:
            return step
    return edits.FULL_SHARE_PERCENT


def _rolling(
    templates: list[documents.Template],
) -> tuple[RollingItem, ...]:
    return tuple(
        RollingItem(
            template=f"{template.team}/{template.name}",
            model_version=_version_text(stage, entry),
            share_percent=entry.share_percent,
            next_percent=next_step_percent(
                template.roll_out, entry.share_percent
            ),
        )
        for template in templates
        for stage in template.stages
        for entry in stage.versions
        if entry.state is documents.VersionState.ROLLING_OUT
    )


def _withdrawn(
    fleet: documents.Fleet, templates: list[documents.Template]
) -> tuple[WithdrawnItem, ...]:
    fleet_wide = [
        WithdrawnItem(document=edits.FLEET_DOCUMENT, model_version=str(named))
        for named in fleet.withdrawn
    ]
    # Versions withdrawn in the fleet are not repeated for each template.
    known = {item.model_version for item in fleet_wide}
    in_templates = [
        WithdrawnItem(
            document=edits.template_document(template.team, template.name),
            model_version=_version_text(stage, entry),
        )
        for template in templates
        for stage in template.stages
        for entry in stage.versions
        if entry.state is documents.VersionState.WITHDRAWN
    ]
    return (
        *fleet_wide,
        *(item for item in in_templates if item.model_version not in known),
    )


def _unconfirmed_texts(where: in_force.InForce) -> list[str]:
    return [
        f"{address} has not confirmed revision {where.revision}"
        for address in where.unconfirmed
    ]


def _fault_texts(snapshot: documents.Snapshot, team: str | None) -> list[str]:
    own_prefixes = (
        () if team is None else (f"template/{team}/", f"team/{team}.")
    )
    return [
        str(fault)
        for fault in validation.find_faults(snapshot)
        if team is None or fault.path.startswith(own_prefixes)
    ]


def _version_text(stage: documents.Stage, entry: documents.VersionEntry) -> str:
    return str(engine.ModelVersion(model=stage.model, version=entry.version))
