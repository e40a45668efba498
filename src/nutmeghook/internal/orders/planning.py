"""Which loads and unloads lead from the loaded to the desired versions.

The same configuration and the same reports give the same plan on every
instance, so a new holder of the lease continues where the old one stopped.
"""

import collections
import dataclasses
import math

import xxhash

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.orders import desired_versions
from nutmeghook.internal.orders import fleet_reading

MIN_REPLICAS = 2
# Shares count sessions, and sessions differ in load.
HEADROOM = 1.25
# A surplus up to this share of the desired replicas stays loaded: shares change
# with each step of a roll-out, and loading again takes minutes and a grant of
# the weight store.
SURPLUS_TOLERANCE = 0.5

Engines = list[fleet_reading.EngineView]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Placement:
    """A version on an engine."""

    model_version: engine.ModelVersion
    address: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Plan:
    """Missing and superfluous replicas; loads are most urgent first.

    Attributes:
        loads: To be ordered as soon as limits allow.
        withdrawn: To be unloaded once they have drained.
        surplus: To be unloaded if they stay surplus for a while.
    """

    loads: tuple[Placement, ...] = ()
    withdrawn: tuple[Placement, ...] = ()
    surplus: tuple[Placement, ...] = ()


def desired_replicas(*, engines: int, share: float) -> int:
    """Returns how many of a model's engines should have a version loaded.

    At least two where there are two, so that the version stays available if an
    engine dies or carries out a late order of a former holder.
    """
    by_share = math.ceil(engines * share * HEADROOM)
    return min(engines, max(MIN_REPLICAS, by_share))


def make_plan(snapshot: documents.Snapshot, engines: Engines) -> Plan:
    """Returns the plan for the reported state of the engines."""
    usable = [view for view in engines if view.usable]
    loads: list[tuple[float, Placement]] = []
    surplus: list[Placement] = []
    for version, share in sorted(
        desired_versions.desired_shares(snapshot).items()
    ):
        candidates = _engines_of(version.model, usable)
        desired = desired_replicas(engines=len(candidates), share=share)
        holders = [v for v in candidates if version in v.loaded]
        pending = [v for v in candidates if version in v.loading - v.loaded]
        missing = desired - len(holders) - len(pending)
        urgency = len(holders) / max(1, desired)
        loads += [
            (urgency, placement)
            for placement in _additions(version, candidates, missing)
        ]
        surplus += _removals(version, holders, desired)
    return Plan(
        loads=tuple(placement for _, placement in sorted(loads)),
        withdrawn=_withdrawn(snapshot, usable),
        surplus=tuple(surplus),
    )


def _engines_of(model: str, usable: Engines) -> Engines:
    """Returns the engines that a model runs on.

    Those are all of each pool in which any version of it is loaded; for a
    model that is loaded nowhere, the pool of its name.
    """
    pools = {
        view.pool
        for view in usable
        if any(v.model == model for v in view.loaded)
    }
    return [view for view in usable if view.pool in (pools or {model})]


def _additions(
    version: engine.ModelVersion, candidates: Engines, missing: int
) -> list[Placement]:
    """Chooses engines for new replicas, spread over the data centres."""
    held = collections.Counter(
        view.data_centre
        for view in candidates
        if version in view.loaded | view.loading
    )
    free = [
        view
        for view in candidates
        if version not in view.loaded | view.loading and not view.avoided
    ]

    def fullness(view: fleet_reading.EngineView) -> tuple[int, int]:
        return len(view.loaded | view.loading), _rank(version, view)

    # The best engine is last in its data centre's queue. Searching all engines
    # for each replica blocks the event loop for most of a second.
    queues = _by_data_centre(sorted(free, key=fullness, reverse=True))
    chosen: list[Placement] = []
    while queues and len(chosen) < missing:
        centre = min(
            queues, key=lambda name: (held[name], *fullness(queues[name][-1]))
        )
        best = _pop_last(queues, centre)
        held[centre] += 1
        chosen.append(Placement(model_version=version, address=best.address))
    return chosen


def _removals(
    version: engine.ModelVersion, holders: Engines, desired: int
) -> list[Placement]:
    """Chooses replicas to unload, each from the data centre with most."""
    if len(holders) - desired <= max(1, SURPLUS_TOLERANCE * desired):
        return []
    held = collections.Counter(view.data_centre for view in holders)

    def rank(view: fleet_reading.EngineView) -> int:
        return _rank(version, view)

    queues = _by_data_centre(sorted(holders, key=rank))
    chosen: list[Placement] = []
    while len(holders) - len(chosen) > desired:
        centre = max(
            queues, key=lambda name: (held[name], rank(queues[name][-1]))
        )
        worst = _pop_last(queues, centre)
        held[centre] -= 1
        chosen.append(Placement(model_version=version, address=worst.address))
    return chosen


def _by_data_centre(ordered: Engines) -> dict[str, Engines]:
    """Groups engines by data centre, keeping their order."""
    queues: dict[str, Engines] = {}
    for view in ordered:
        queues.setdefault(view.data_centre, []).append(view)
    return queues


def _pop_last(
    queues: dict[str, Engines], centre: str
) -> fleet_reading.EngineView:
    """Removes a data centre's last engine, and the queue if it is empty."""
    view = queues[centre].pop()
    if not queues[centre]:
        del queues[centre]
    return view


def _withdrawn(
    snapshot: documents.Snapshot, usable: Engines
) -> tuple[Placement, ...]:
    withdrawn = desired_versions.withdrawn_versions(snapshot)
    return tuple(
        Placement(model_version=version, address=view.address)
        for view in usable
        for version in sorted(view.loaded & withdrawn)
    )


def _rank(version: engine.ModelVersion, view: fleet_reading.EngineView) -> int:
    """Returns a hash that ranks engines alike on every instance."""
    return xxhash.xxh64_intdigest(f"{version} {view.address}".encode())
