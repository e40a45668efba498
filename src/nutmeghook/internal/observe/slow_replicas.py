"""Which replicas were slow, from when to when, over all instances' logs."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import statistics

from nutmeghook.internal.observe import attempt_waits
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import relative_waits
from nutmeghook.internal.observe import slow_periods

RelativeWait = relative_waits.RelativeWait
Limits = relative_waits.Limits

# An instance is slow itself if it waits long on at least so many replicas, and
# on at least this share of those that it asks: one slow replica, or two, may be
# all that a small fleet's instance asks for some time.
_MIN_SLOW_REPLICAS = 3
_MIN_SLOW_SHARE = 0.5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SlowReplicaPeriod:
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
class SlowInstancePeriod:
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
        slow_versions: Spells of replicas whose version's others were as slow.
        instances: Spells of instances that are slow themselves.
        too_few: Replicas with too few answers that could be compared, and how
            many they had.
    """

    waits: int
    compared: int
    slow: list[SlowReplicaPeriod]
    slow_versions: list[SlowReplicaPeriod]
    instances: list[SlowInstancePeriod]
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
    excluded = {id(wait) for period in instances for wait in period.waits}
    trusted = [wait for wait in measured if id(wait) not in excluded]
    periods = _slow_replicas(trusted, limits)
    slow_versions = [
        period for period in periods if _is_slow_version(period, limits)
    ]
    counts = collections.Counter(wait.wait.replica for wait in trusted)
    return Report(
        waits=len(waits),
        compared=len(measured),
        slow=[period for period in periods if period not in slow_versions],
        slow_versions=slow_versions,
        instances=instances,
        too_few={
            replica: counts[replica]
            for replica in sorted({wait.replica for wait in waits})
            if counts[replica] < limits.window_answers
        },
    )


def _slow_instances(
    measured: Sequence[RelativeWait], limits: Limits
) -> list[SlowInstancePeriod]:
    by_instance = collections.defaultdict(list)
    for wait in measured:
        by_instance[wait.wait.instance].append(wait)
    return [
        SlowInstancePeriod(instance=instance, waits=period)
        for instance, waits in sorted(by_instance.items())
        for period in slow_periods.find(
            waits, limits, total_waits=len(measured)
        )
        if _is_on_all_replicas(period, limits)
    ]


def _is_on_all_replicas(period: Sequence[RelativeWait], limits: Limits) -> bool:
    factors = collections.defaultdict(list)
    for wait in period:
        factors[wait.wait.replica].append(wait.factor)
    slow = sum(
        statistics.median(of_replica) > limits.factor
        for of_replica in factors.values()
    )
    return slow >= max(_MIN_SLOW_REPLICAS, _MIN_SLOW_SHARE * len(factors))


def _slow_replicas(
    trusted: Sequence[RelativeWait], limits: Limits
) -> list[SlowReplicaPeriod]:
    """Returns the spells of all replicas, each over all of its models.

    A replica reads for all models from one queue; each wait is compared within
    its own model, and all of them tell of the replica.
    """
    by_replica = collections.defaultdict(list)
    for wait in trusted:
        by_replica[wait.wait.replica].append(wait)
    periods = [
        _period(period, trusted, limits)
        for waits in by_replica.values()
        for period in slow_periods.find(waits, limits, total_waits=len(trusted))
    ]
    return sorted(
        periods,
        key=lambda period: (period.waits[0].wait.sent_s, period.replica),
    )


def _period(
    waits: Sequence[RelativeWait],
    trusted: Sequence[RelativeWait],
    limits: Limits,
) -> SlowReplicaPeriod:
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
    return SlowReplicaPeriod(
        waits=waits,
        others=others,
        others_factor=statistics.median(factors) if enough else None,
    )


def _is_slow_version(period: SlowReplicaPeriod, limits: Limits) -> bool:
    return (
        period.others_factor is not None
        and period.others_factor > limits.factor
    )
