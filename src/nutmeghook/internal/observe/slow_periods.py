"""Finds the periods in which the waits of one replica or instance were long.

A period is a run of waits whose moving median exceeds the limits' factor. Its
ends are then moved, by at most a window, to where they best divide long waits
from normal ones: a median over few answers exceeds the factor some answers
too early or too late by chance.
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
    waits: Sequence[RelativeWait], limits: Limits, *, total_waits: int
) -> list[Sequence[RelativeWait]]:
    """Returns the slow periods among the waits.

    Args:
        waits: All of one replica, or all of one instance, by time.
        limits: When waits are long.
        total_waits: The number of waits of all replicas or instances, each of
            which may begin a period by chance.
    """
    # Tested before the ends are moved: best ends overstate the significance.
    significant = [
        run
        for run in _merged(waits, _runs(waits, limits), limits)
        if is_significant(
            waits[run.start : run.stop], limits, total_waits=total_waits
        )
    ]
    return [
        waits[run.start : run.stop]
        for run in _merged(waits, _refined(waits, significant, limits), limits)
    ]


def is_significant(
    period: Sequence[RelativeWait], limits: Limits, *, total_waits: int
) -> bool:
    """Returns whether so many long waits are unlikely to be chance.

    If all replicas were alike, a wait would be long with the probability of
    the others' waits at that time. The Chernoff bound on the probability of
    this many long waits is multiplied by the number of waits at which a period
    may begin. Where long waits are common, more of them are needed.
    """
    if len(period) < limits.window_answers:
        return False
    share = sum(wait.factor > limits.factor for wait in period) / len(period)
    baseline = statistics.fmean(wait.baseline_long_share for wait in period)
    if share <= baseline:
        return False
    information = share * math.log(share / baseline)
    if share < 1.0:
        information += (1 - share) * math.log((1 - share) / (1 - baseline))
    return len(period) * information > math.log(
        total_waits / limits.false_alarm_probability
    )


def _runs(waits: Sequence[RelativeWait], limits: Limits) -> Iterator[range]:
    """Yields the index range of each run above the factor."""
    half = limits.window_answers // 2
    first = None
    for index in range(len(waits)):
        around = waits[max(0, index - half) : index + half + 1]
        median_factor = statistics.median(wait.factor for wait in around)
        if median_factor > limits.factor:
            first = index if first is None else first
        elif first is not None:
            yield range(first, index)
            first = None
    if first is not None:
        yield range(first, len(waits))


def _refined(
    waits: Sequence[RelativeWait], runs: Sequence[range], limits: Limits
) -> Iterator[range]:
    """Yields the runs with their best ends, without overlaps."""
    begin = 0
    for number, run in enumerate(runs, start=1):
        next_first = runs[number].start if number < len(runs) else len(waits)
        around = range(
            max(begin, run.start - limits.window_answers),
            min(next_first, run.stop + limits.window_answers),
        )
        refined = _with_best_ends(waits, run, around)
        begin = refined.stop
        yield refined


def _merged(
    waits: Sequence[RelativeWait], runs: Iterable[range], limits: Limits
) -> list[range]:
    """Merges runs that have no pause between them."""
    merged: list[range] = []
    for run in runs:
        if merged and not _is_pause(waits[merged[-1].stop : run.start], limits):
            merged[-1] = range(merged[-1].start, run.stop)
        else:
            merged.append(run)
    return merged


def _is_pause(between: Sequence[RelativeWait], limits: Limits) -> bool:
    """Returns whether waits were normal between two runs.

    A few quick answers in a row, by chance, must not split a period in two.
    Less than half a window of them can't move a median by themselves; more,
    but less than a window, are a pause if their median is nearer to the
    baseline than to the factor, on a logarithmic scale.
    """
    if len(between) < limits.window_answers // 2:
        return False
    if len(between) >= limits.window_answers:
        return True
    median_factor = statistics.median(wait.factor for wait in between)
    return median_factor < math.sqrt(limits.factor)


def _with_best_ends(
    waits: Sequence[RelativeWait], run: range, around: range
) -> range:
    """Returns a run with the most probable ends within the waits around it.

    A wait's score is its factor's logarithm, less half of that of the run's
    median: negative where it is nearer to the baseline than to the median. The
    ends are those with the highest sum of scores.
    """
    median_factor = statistics.median(waits[index].factor for index in run)
    max_score = math.log(median_factor)
    inside = run[len(run) // 2]

    def score(wait: RelativeWait) -> float:
        # Limited, so that a single very long wait doesn't move the end.
        return min(max(math.log(wait.factor), 0.0), max_score) - max_score / 2.0

    before = [score(wait) for wait in reversed(waits[around.start : inside])]
    after = [score(wait) for wait in waits[inside + 1 : around.stop]]
    return range(
        inside - _best_length(before), inside + 1 + _best_length(after)
    )


def _best_length(scores: Sequence[float]) -> int:
    """Returns the length of the prefix of scores with the highest sum."""
    sums = [0.0, *itertools.accumulate(scores)]
    return sums.index(max(sums))
