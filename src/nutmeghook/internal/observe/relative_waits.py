"""Compares waits with those on other replicas at the same time.

A wait is first divided by its expected length: the instance's forecast
(queueing and prefill; nothing for plain services) plus the route's median
overhead. This ratio is then divided by its median over the other replicas of
the service and model in the same time interval, so that an overload of all
replicas, or forecasts that are wrong for all, make no replica slow.
"""

import bisect
import collections
from collections.abc import Sequence
import dataclasses
import statistics

from nutmeghook.internal.observe import attempt_waits

Wait = attempt_waits.Wait

_MIN_OVERHEAD_MS = 1.0
# Log lines hold whole milliseconds; a wait that was rounded to 0 took about
# this long.
_MIN_WAIT_MS = 0.5
# How often an interval with too few answers may be doubled.
_MAX_DOUBLINGS = 5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """The thresholds for reporting a replica as slow.

    Their exact values matter little: with any of them halved or doubled, a
    replica that is eight times as slow is still found.

    Attributes:
        factor: A wait of more than this many times the baseline is long.
            Half of five, the slowdown that has to be found, so that most waits
            on such a replica are long although they vary.
        window_answers: The number of consecutive answers in a moving median.
            Few enough to detect a slow period of some seconds on one replica,
            more than are late together by chance.
        tolerance_ms: Added to the actual and the expected wait before they are
            compared: a remote data centre or rounding may double a wait of a
            few milliseconds without any effect for callers.
        interval_s: Answers within this time are compared. Shorter than an
            overload's rise and fall, long enough for answers of each replica.
        min_others: The fewest answers of other replicas for a median; its
            error is then about a fifth of the waits' spread.
        false_alarm_probability: The probability, over all logs, of reporting a
            replica although all are alike, if waits are independent.
    """

    factor: float = 2.5
    window_answers: int = 9
    tolerance_ms: float = 20.0
    interval_s: float = 2.0
    min_others: int = 30
    false_alarm_probability: float = 0.01


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RelativeWait:
    """A wait compared with the baseline.

    Attributes:
        expected_ms: The wait to be expected on other replicas at that time.
        factor: The wait divided by `expected_ms`, both with `tolerance_ms`
            added.
        baseline_long_share: The share of long waits among those of the other
            replicas at that time.
    """

    wait: Wait
    expected_ms: float
    factor: float
    baseline_long_share: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Baseline:
    ratio: float
    share: float


class _IntervalRatios:
    """The ratios of actual to expected wait of a group, by interval."""

    __slots__ = ("_baselines", "_limits", "_ratios", "_sorted")

    def __init__(self, limits: Limits):
        self._limits = limits
        self._ratios: dict[tuple[int, int], list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self._sorted: set[tuple[int, int]] = set()
        self._baselines: dict[tuple[int, int, str], _Baseline | None] = {}

    def add(self, wait: Wait, ratio: float) -> None:
        """Adds an answer; all have to be added before `baseline` is called."""
        entry = ratio, wait.replica
        for doubling in range(_MAX_DOUBLINGS + 1):
            key = doubling, self._number(wait.sent_s, doubling)
            self._ratios[key].append(entry)

    def baseline(self, wait: Wait) -> _Baseline | None:
        """Returns the other replicas' baseline; None for too few answers."""
        for doubling in range(_MAX_DOUBLINGS + 1):
            number = self._number(wait.sent_s, doubling)
            key = doubling, number, wait.replica
            if key not in self._baselines:
                self._baselines[key] = self._of_others(*key)
            baseline = self._baselines[key]
            if baseline is not None:
                return baseline
        return None

    def _number(self, at_s: float, doubling: int) -> int:
        return int(at_s // (self._limits.interval_s * 2**doubling))

    def _of_others(
        self, doubling: int, number: int, replica: str
    ) -> _Baseline | None:
        ratios = self._ratios[doubling, number]
        if (doubling, number) not in self._sorted:
            ratios.sort()
            self._sorted.add((doubling, number))
        others = [
            ratio for ratio, other_replica in ratios if other_replica != replica
        ]
        if len(others) < self._limits.min_others:
            return None
        median_ratio = statistics.median(others)
        # The ratios are sorted once, so that medians and counts are cheap.
        long = len(others) - bisect.bisect_right(
            others, self._limits.factor * median_ratio
        )
        # Laplace smoothing: few answers don't prove that none is long.
        return _Baseline(median_ratio, (long + 1) / (len(others) + 2))


def measure(waits: Sequence[Wait], limits: Limits) -> list[RelativeWait]:
    """Returns the waits that can be compared, in their order.

    The length of a wait without an answer is a lower bound, so such a wait is
    included only if that bound is already long.
    """
    expected_waits = _ExpectedWaits(waits, limits)
    intervals: dict[tuple[str, str], _IntervalRatios] = {}
    for wait in waits:
        predicted_ms = expected_waits.of(wait)
        if wait.is_answered and predicted_ms is not None:
            group = intervals.setdefault(wait.group, _IntervalRatios(limits))
            group.add(wait, max(wait.waited_ms, _MIN_WAIT_MS) / predicted_ms)
    measured = (
        _relative(wait, expected_waits.of(wait), intervals[wait.group], limits)
        for wait in waits
        if wait.group in intervals
    )
    return [
        relative
        for relative in measured
        if relative is not None
        and (relative.wait.is_answered or relative.factor > limits.factor)
    ]


def _relative(
    wait: Wait,
    predicted_ms: float | None,
    intervals: _IntervalRatios,
    limits: Limits,
) -> RelativeWait | None:
    baseline = intervals.baseline(wait)
    if predicted_ms is None or baseline is None:
        return None
    expected_ms = predicted_ms * baseline.ratio
    tolerance_ms = limits.tolerance_ms
    return RelativeWait(
        wait=wait,
        expected_ms=expected_ms,
        factor=(wait.waited_ms + tolerance_ms) / (expected_ms + tolerance_ms),
        baseline_long_share=baseline.share,
    )


class _ExpectedWaits:
    """Expected waits: the forecast plus the route's median overhead.

    Forecasts leave out the network, and are 1 ms or 0 for an idle replica.
    Compared with them alone, quick answers would look hundreds of times too
    late and hide a slow replica. The median overhead of the model is used for
    a route with too few answers.
    """

    __slots__ = ("_overhead_ms",)

    def __init__(self, waits: Sequence[Wait], limits: Limits):
        extra_ms = collections.defaultdict(list)
        for wait in waits:
            if wait.is_answered:
                extra = max(0.0, wait.waited_ms - wait.forecast_ms)
                for kind in _group_keys(wait):
                    extra_ms[kind].append(extra)
        self._overhead_ms = {
            kind: max(_MIN_OVERHEAD_MS, statistics.median(extras))
            for kind, extras in extra_ms.items()
            if len(extras) >= limits.window_answers
        }

    def of(self, wait: Wait) -> float | None:
        """Returns the expected milliseconds; None for too few answers."""
        for kind in _group_keys(wait):
            overhead_ms = self._overhead_ms.get(kind)
            if overhead_ms is not None:
                return wait.forecast_ms + overhead_ms
        return None


def _group_keys(wait: Wait) -> list[tuple[str, ...]]:
    keys: list[tuple[str, ...]] = [(wait.service, wait.model, wait.route)]
    if wait.model:
        keys.append((wait.service, wait.model))
    return keys
