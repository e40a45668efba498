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

_LEAST_USUAL_MS = 1.0
# Lines hold whole milliseconds; what rounds to none took about so long.
_LEAST_WAIT_MS = 0.5
# Stretches are doubled until enough answers are in them, so often at most.
_DOUBLINGS = 5


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
        unnoticed_ms: Added to what was waited and expected, before they are
            compared. A far data centre or rounding may double a wait of a few
            milliseconds, which nobody notices.
        stretch_s: Answers within this time are compared. Short beside an
            overload's coming and going, long enough for some of each replica.
        fewest_others: Answers of other replicas that a median is taken of;
            its error is then about a fifth of the waits' spread.
        doubt: How likely one replica may be named though all are alike, over
            all of the logs, if each wait is an event of its own.
    """

    factor: float = 2.5
    window_answers: int = 9
    unnoticed_ms: float = 20.0
    stretch_s: float = 2.0
    fewest_others: int = 30
    doubt: float = 0.01


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RelativeWait:
    """A wait against the usual.

    Attributes:
        expected_ms: What the wait would have been elsewhere.
        factor: The wait over that, differences that nobody notices apart.
        usual_share: How many of the other replicas' waits of that time were
            long, as a share.
    """

    wait: Wait
    expected_ms: float
    factor: float
    usual_share: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Usual:
    pace: float
    share: float


class _Stretches:
    """The paces of one service and model, by stretches of time."""

    __slots__ = ("_limits", "_paces", "_sorted", "_usuals")

    def __init__(self, limits: Limits):
        self._limits = limits
        self._paces: dict[tuple[int, int], list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self._sorted: set[tuple[int, int]] = set()
        self._usuals: dict[tuple[int, int, str], _Usual | None] = {}

    def add(self, wait: Wait, pace: float) -> None:
        """Takes in an answer; all of them before the first is judged."""
        entry = pace, wait.replica
        for doubling in range(_DOUBLINGS + 1):
            key = doubling, self._number(wait.sent_s, doubling)
            self._paces[key].append(entry)

    def usual(self, wait: Wait) -> _Usual | None:
        """Returns what was usual on other replicas; None if too few tell."""
        for doubling in range(_DOUBLINGS + 1):
            number = self._number(wait.sent_s, doubling)
            key = doubling, number, wait.replica
            if key not in self._usuals:
                self._usuals[key] = self._of_others(*key)
            usual = self._usuals[key]
            if usual is not None:
                return usual
        return None

    def _number(self, at_s: float, doubling: int) -> int:
        return int(at_s // (self._limits.stretch_s * 2**doubling))

    def _of_others(
        self, doubling: int, number: int, replica: str
    ) -> _Usual | None:
        paces = self._paces[doubling, number]
        if (doubling, number) not in self._sorted:
            paces.sort()
            self._sorted.add((doubling, number))
        others = [pace for pace, its_replica in paces if its_replica != replica]
        if len(others) < self._limits.fewest_others:
            return None
        middle = statistics.median(others)
        # They are in order, so that medians and counts over and over are cheap.
        long = len(others) - bisect.bisect_right(
            others, self._limits.factor * middle
        )
        # One more of each kind: few answers don't prove that none is long.
        return _Usual(middle, (long + 1) / (len(others) + 2))


def measure(waits: Sequence[Wait], limits: Limits) -> list[RelativeWait]:
    """Returns the waits that can be compared, in their order.

    A wait without an answer lasted at least as long as it is known of. It is
    taken only if that is long already; a shorter one tells nothing.
    """
    to_expect = _ToExpect(waits, limits)
    stretches: dict[tuple[str, str], _Stretches] = {}
    for wait in waits:
        before_ms = to_expect.of(wait)
        if wait.is_answered and before_ms is not None:
            group = stretches.setdefault(wait.group, _Stretches(limits))
            group.add(wait, max(wait.waited_ms, _LEAST_WAIT_MS) / before_ms)
    measured = (
        _relative(wait, to_expect.of(wait), stretches[wait.group], limits)
        for wait in waits
        if wait.group in stretches
    )
    return [
        relative
        for relative in measured
        if relative is not None
        and (relative.wait.is_answered or relative.factor > limits.factor)
    ]


def _relative(
    wait: Wait,
    before_ms: float | None,
    stretches: _Stretches,
    limits: Limits,
) -> RelativeWait | None:
    usual = stretches.usual(wait)
    if before_ms is None or usual is None:
        return None
    expected_ms = before_ms * usual.pace
    more_ms = limits.unnoticed_ms
    return RelativeWait(
        wait=wait,
        expected_ms=expected_ms,
        factor=(wait.waited_ms + more_ms) / (expected_ms + more_ms),
        usual_share=usual.share,
    )


class _ToExpect:
    """What was to be expected of waits, by forecasts and routes.

    The failure: forecasts leave out the network, and of an idle replica are
    a millisecond or none. Against them alone, quick answers look hundreds of
    times too late and drown what a slow replica does. So what usually comes
    on top on the route is added; of a generation's route with few answers,
    what does for its model.
    """

    __slots__ = ("_on_top_ms",)

    def __init__(self, waits: Sequence[Wait], limits: Limits):
        extra_ms = collections.defaultdict(list)
        for wait in waits:
            if wait.is_answered:
                extra = max(0.0, wait.waited_ms - wait.forecast_ms)
                for kind in _kinds(wait):
                    extra_ms[kind].append(extra)
        self._on_top_ms = {
            kind: max(_LEAST_USUAL_MS, statistics.median(extras))
            for kind, extras in extra_ms.items()
            if len(extras) >= limits.window_answers
        }

    def of(self, wait: Wait) -> float | None:
        """Returns it in milliseconds; None if too few answers tell."""
        for kind in _kinds(wait):
            on_top_ms = self._on_top_ms.get(kind)
            if on_top_ms is not None:
                return wait.forecast_ms + on_top_ms
        return None


def _kinds(wait: Wait) -> list[tuple[str, ...]]:
    kinds: list[tuple[str, ...]] = [(wait.service, wait.model, wait.route)]
    if wait.model:
        kinds.append((wait.service, wait.model))
    return kinds
