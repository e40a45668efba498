"""Which replicas were slow, from when to when, over all instances' logs."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import statistics

from nutmeghook.internal.observe import attempt_waits
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import relative_waits
from nutmeghook.internal.observe import slow_spells

RelativeWait = relative_waits.RelativeWait
Limits = relative_waits.Limits

# An instance is slow itself if it waits long on at least so many replicas, and
# on at least this share of those that it asks: one slow replica, or two, may be
# all that a small fleet's instance asks for some time.
_FEWEST_REPLICAS = 3
_SHARE_OF_REPLICAS = 0.5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaSpell:
    """A replica that was slow for some time.

    Attributes:
        waits: Those of the spell, by time.
        others: Those of the service's other replicas in that time.
        others_factor: The median of the other replicas of its version in that
            time, against all replicas; None if too few answers tell.
    """

    waits: Sequence[RelativeWait]
    others: Sequence[RelativeWait]
    others_factor: float | None

    @property
    def replica(self) -> str:
        """The replica's id."""
        return self.waits[0].wait.replica


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class InstanceSpell:
    """An instance that waited long on all replicas: it is slow itself."""

    instance: log_reading.Source
    waits: Sequence[RelativeWait]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Report:
    """What the logs tell of slow replicas.

    Attributes:
        waits: How many waits there are.
        compared: How many of them could be compared.
        slow: Spells of slow replicas, by their beginning.
        of_versions: Spells of replicas whose version's others were as slow.
        instances: Spells of instances that are slow themselves.
        too_few: Replicas with too few answers that could be compared, and how
            many they had.
    """

    waits: int
    compared: int
    slow: list[ReplicaSpell]
    of_versions: list[ReplicaSpell]
    instances: list[InstanceSpell]
    too_few: dict[str, int]


def report(
    lines: Iterable[log_reading.Line], limits: Limits | None = None
) -> Report:
    """Finds slow replicas in the lines of all logs."""
    limits = limits or Limits()
    waits = attempt_waits.gather(lines)
    measured = relative_waits.measure(waits, limits)
    instances = _slow_instances(measured, limits)
    # What a slow instance saw tells nothing of replicas.
    untrue = {id(wait) for spell in instances for wait in spell.waits}
    trusted = [wait for wait in measured if id(wait) not in untrue]
    spells = _slow_replicas(trusted, limits)
    by_version = [spell for spell in spells if _is_of_version(spell, limits)]
    counts = collections.Counter(wait.wait.replica for wait in trusted)
    return Report(
        waits=len(waits),
        compared=len(measured),
        slow=[spell for spell in spells if spell not in by_version],
        of_versions=by_version,
        instances=instances,
        too_few={
            replica: counts[replica]
            for replica in sorted({wait.replica for wait in waits})
            if counts[replica] < limits.window_answers
        },
    )


def _slow_instances(
    measured: Sequence[RelativeWait], limits: Limits
) -> list[InstanceSpell]:
    by_instance = collections.defaultdict(list)
    for wait in measured:
        by_instance[wait.wait.instance].append(wait)
    return [
        InstanceSpell(instance=instance, waits=spell)
        for instance, waits in sorted(by_instance.items())
        for spell in slow_spells.find(waits, limits, looked_at=len(measured))
        if _is_on_all_replicas(spell, limits)
    ]


def _is_on_all_replicas(spell: Sequence[RelativeWait], limits: Limits) -> bool:
    factors = collections.defaultdict(list)
    for wait in spell:
        factors[wait.wait.replica].append(wait.factor)
    slow = sum(
        statistics.median(of_replica) > limits.factor
        for of_replica in factors.values()
    )
    return slow >= max(_FEWEST_REPLICAS, _SHARE_OF_REPLICAS * len(factors))


def _slow_replicas(
    trusted: Sequence[RelativeWait], limits: Limits
) -> list[ReplicaSpell]:
    """Returns the spells of all replicas, each over all of its models.

    A replica reads for all models from one queue; each wait is compared within
    its own model, and all of them tell of the replica.
    """
    by_replica = collections.defaultdict(list)
    for wait in trusted:
        by_replica[wait.wait.replica].append(wait)
    spells = [
        _spell(spell, trusted, limits)
        for waits in by_replica.values()
        for spell in slow_spells.find(waits, limits, looked_at=len(trusted))
    ]
    return sorted(
        spells, key=lambda spell: (spell.waits[0].wait.sent_s, spell.replica)
    )


def _spell(
    waits: Sequence[RelativeWait],
    trusted: Sequence[RelativeWait],
    limits: Limits,
) -> ReplicaSpell:
    first, last = waits[0].wait, waits[-1].wait
    others = [
        other
        for other in trusted
        if first.sent_s <= other.wait.sent_s <= last.sent_s
        and other.wait.service == first.service
        and other.wait.replica != first.replica
    ]
    factors = [
        other.factor for other in others if other.wait.version == first.version
    ]
    enough = len(factors) >= limits.window_answers
    return ReplicaSpell(
        waits=waits,
        others=others,
        others_factor=statistics.median(factors) if enough else None,
    )


def _is_of_version(spell: ReplicaSpell, limits: Limits) -> bool:
    return (
        spell.others_factor is not None and spell.others_factor > limits.factor
    )
