"""Finds slow replicas and their slow periods in all instances' logs."""

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

# An instance is slow itself if its waits are long on at least this many
# replicas, and on at least this share of those that it sends to: an instance of
# a small fleet may for some time send to one or two slow replicas only.
_MIN_SLOW_REPLICAS = 3
_MIN_SLOW_SHARE = 0.5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SlowReplicaPeriod:
    """A period in which a replica was slow.

    Attributes:
        waits: The replica's waits in the period, by time.
        others: Those on the service's other replicas in the period.
        others_factor: The median factor on the other replicas of its version
            in the period; None for too few answers.
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
    """A period in which an instance was slow, by its waits on all replicas."""

    instance: log_reading.Source
    waits: Sequence[RelativeWait]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Report:
    """What the logs tell about slow replicas.

    Attributes:
        waits: How many waits there are.
        compared: How many of them could be compared.
        slow: Periods of slow replicas, by their beginning.
        slow_versions: Periods of replicas whose version was as slow on its
            other replicas.
        instances: Periods of instances that were slow themselves.
        too_few: The number of answers that could be compared, by replica, for
            replicas with too few of them.
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
    # The waits of a slow instance tell nothing about replicas.
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
    """Returns the slow periods of all replicas, each over all of its models.

    A replica serves all models from one queue; each wait is compared within
    its own model, and the waits of all models count for the replica.
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
