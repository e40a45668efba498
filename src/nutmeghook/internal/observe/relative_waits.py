"""Measures waits against what was usual at the same time elsewhere.

One measure for all replicas: how long a wait was, over what was to be
expected. To be expected is what the instance forecast (waiting and reading
there; nothing for plain services) and what comes on top of that on the route
usually. This is then divided by the same measure's median over the other
replicas of the service and model in the same stretch of time: an overload of
all, or forecasts that are wrong for all, make no replica slow.
"""

import bisect
import collections
from collections.abc import Sequence
import dataclasses
import statistics

from nutmeghook.internal.observe import attempt_waits

Wait = attempt_waits.Wait

_MIN_OVERHEAD_MS = 1.0
# Lines hold whole milliseconds; what rounds to none took about so long.
_MIN_WAIT_MS = 0.5
# Stretches are doubled until enough answers are in them, so often at most.
_MAX_DOUBLINGS = 5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """From when on a replica is called slow.

    Half or double of each finds the same on generated logs in which a replica
    is eight times as slow (tests/cover/test_slow_replicas).

    Attributes:
        factor: Beyond so many times the usual a wait is long. Half of the five
            times that are to be found, so that most waits there are beyond it
            although they differ.
        window_answers: So many answers in a row have a median of their own. As
            few as let a spell of some seconds on one replica be seen, and more
            than come late together by chance.
        tolerance_ms: Added to what was waited and expected, before they are
            compared. A far data centre or rounding may double a wait of a few
            milliseconds, which nobody notices.
        interval_s: Answers within this time are compared. Short beside an
            overload's coming and going, long enough for some of each replica.
        min_others: Answers of other replicas that a median is taken of;
            its error is then about a fifth of the waits' spread.
        false_alarm_probability: How likely one replica may be named though all are alike, over
            all of the logs, if each wait is an event of its own.
    """

    factor: float = 2.5
    window_answers: int = 9
    tolerance_ms: float = 20.0
    interval_s: float = 2.0
    min_others: int = 30
    false_alarm_probability: float = 0.01


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RelativeWait:
    """A wait against the usual.

    Attributes:
        expected_ms: What the wait would have been elsewhere.
        factor: The wait over that, differences that nobody notices apart.
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
    """The paces of one service and model, by stretches of time."""

    __slots__ = ("_baselines", "_limits", "_ratios", "_sorted")

    def __init__(self, limits: Limits):
        self._limits = limits
        self._ratios: dict[tuple[int, int], list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self._sorted: set[tuple[int, int]] = set()
        self._baselines: dict[tuple[int, int, str], _Baseline | None] = {}

    def add(self, wait: Wait, ratio: float) -> None:
        """Takes in an answer; all of them before the first is judged."""
        entry = ratio, wait.replica
        for doubling in range(_MAX_DOUBLINGS + 1):
            key = doubling, self._number(wait.sent_s, doubling)
            self._ratios[key].append(entry)

    def baseline(self, wait: Wait) -> _Baseline | None:
        """Returns what was usual on other replicas; None if too few tell."""
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
        # They are in order, so that medians and counts over and over are cheap.
        long = len(others) - bisect.bisect_right(
            others, self._limits.factor * median_ratio
        )
        # One more of each kind: few answers don't prove that none is long.
        return _Baseline(median_ratio, (long + 1) / (len(others) + 2))


def measure(waits: Sequence[Wait], limits: Limits) -> list[RelativeWait]:
    """Returns the waits that can be compared, in their order.

    A wait without an answer lasted at least as long as it is known of. It is
    taken only if that is long already; a shorter one tells nothing.
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
    """What was to be expected of waits, by forecasts and routes.

    The failure: forecasts leave out the network, and of an idle replica are
    a millisecond or none. Against them alone, quick answers look hundreds of
    times too late and drown what a slow replica does. So what usually comes
    on top on the route is added; of a generation's route with few answers,
    what does for its model.
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
        """Returns it in milliseconds; None if too few answers tell."""
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
