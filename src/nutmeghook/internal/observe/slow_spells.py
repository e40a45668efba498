"""Finds from when to when waits of one origin were long.

A spell is where the median of the answers around each answer is beyond the
limits' factor. Its ends are then moved, by less than a window, to where they
divide long waits from usual ones best: a median over few answers is beyond the
factor some answers too early or too late by chance.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools
import math
import statistics

from nutmeghook.internal.observe import relative_waits

RelativeWait = relative_waits.RelativeWait
Limits = relative_waits.Limits


def find(
    waits: Sequence[RelativeWait], limits: Limits, *, looked_at: int
) -> list[Sequence[RelativeWait]]:
    """Returns the spells among waits of one origin.

    Args:
        waits: All of one replica, or all of one instance, by time.
        limits: From when on waits are long.
        looked_at: How many waits are looked at in all, where chance may show
            something.
    """
    # Proved before the ends are moved: the best ends make chance look better.
    proved = [
        run
        for run in _joined(waits, _runs(waits, limits), limits)
        if is_proved(waits[run.start : run.stop], limits, looked_at=looked_at)
    ]
    return [
        waits[run.start : run.stop]
        for run in _joined(waits, _sharpened(waits, proved, limits), limits)
    ]


def is_proved(
    spell: Sequence[RelativeWait], limits: Limits, *, looked_at: int
) -> bool:
    """Returns if so many long waits are no chance.

    If all replicas were alike, a wait would be long as often as the others'
    are at that time. Chernoff's bound says how likely as many long ones as
    here are at most; a spell may begin at any of the waits looked at. Where
    long waits are common, it takes more of them to prove something.
    """
    if len(spell) < limits.window_answers:
        return False
    share = sum(wait.factor > limits.factor for wait in spell) / len(spell)
    usual = statistics.fmean(wait.usual_share for wait in spell)
    if share <= usual:
        return False
    information = share * math.log(share / usual)
    if share < 1.0:
        information += (1 - share) * math.log((1 - share) / (1 - usual))
    return len(spell) * information > math.log(looked_at / limits.doubt)


def _runs(waits: Sequence[RelativeWait], limits: Limits) -> Iterator[range]:
    """Yields the places of each run beyond the factor."""
    half = limits.window_answers // 2
    first = None
    for place in range(len(waits)):
        around = waits[max(0, place - half) : place + half + 1]
        middle = statistics.median(wait.factor for wait in around)
        if middle > limits.factor:
            first = place if first is None else first
        elif first is not None:
            yield range(first, place)
            first = None
    if first is not None:
        yield range(first, len(waits))


def _sharpened(
    waits: Sequence[RelativeWait], runs: Sequence[range], limits: Limits
) -> Iterator[range]:
    """Yields the runs with their best ends, none within another."""
    begin = 0
    for number, run in enumerate(runs, start=1):
        next_first = runs[number].start if number < len(runs) else len(waits)
        around = range(
            max(begin, run.start - limits.window_answers),
            min(next_first, run.stop + limits.window_answers),
        )
        sharpened = _with_best_ends(waits, run, around)
        begin = sharpened.stop
        yield sharpened


def _joined(
    waits: Sequence[RelativeWait], runs: Iterable[range], limits: Limits
) -> list[range]:
    """Makes one of runs with no pause between them."""
    joined: list[range] = []
    for run in runs:
        if joined and not _is_pause(waits[joined[-1].stop : run.start], limits):
            joined[-1] = range(joined[-1].start, run.stop)
        else:
            joined.append(run)
    return joined


def _is_pause(between: Sequence[RelativeWait], limits: Limits) -> bool:
    """Returns if a replica was as usual between two runs.

    The failure: a few quick answers in a row, by chance, part a spell in two.
    Less than half a window of them can't move a median by themselves; more,
    but less than a window, are a pause if they are nearer to the usual than to
    the factor.
    """
    if len(between) < limits.window_answers // 2:
        return False
    if len(between) >= limits.window_answers:
        return True
    middle = statistics.median(wait.factor for wait in between)
    return middle < math.sqrt(limits.factor)


def _with_best_ends(
    waits: Sequence[RelativeWait], run: range, around: range
) -> range:
    """Returns a run with the most probable ends within the waits around it.

    Each wait speaks for being in the spell by its factor's logarithm, or
    against it where that is nearer to the usual than to the spell's median.
    The ends are where the sum of it is highest.
    """
    middle = statistics.median(waits[place].factor for place in run)
    most = math.log(middle)
    inside = run[len(run) // 2]

    def votes(wait: RelativeWait) -> float:
        # One wait, however long, is one event.
        return min(max(math.log(wait.factor), 0.0), most) - most / 2.0

    before = [votes(wait) for wait in reversed(waits[around.start : inside])]
    after = [votes(wait) for wait in waits[inside + 1 : around.stop]]
    return range(
        inside - _best_length(before), inside + 1 + _best_length(after)
    )


def _best_length(votes: Sequence[float]) -> int:
    """Returns of how many of the first votes the sum is highest."""
    sums = [0.0, *itertools.accumulate(votes)]
    return sums.index(max(sums))
