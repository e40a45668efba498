"""Counts what became of each team's requests, over all instances' logs."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import math
import statistics

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import record_text
from nutmeghook.internal.observe import text_table

# Seconds with fewer requests than this part of the median are not compared: at
# the ends of the logs a team with one request would have a share of 1.
_MIN_PART_OF_MEDIAN = 0.5
_CODES = {code.number: code for code in codes.Code}
_LATE = (codes.Code.DEADLINE_BEFORE_RUN, codes.Code.DEADLINE_DURING_RUN)


class Result(enum.Enum):
    """What became of a request; the values are the table's headings."""

    ANSWERED = "answered"
    NO_ROOM = "no room"
    CANNOT_END = "cannot end"
    REFUSED = "otherwise refused"
    LATE = "time limit"
    CUT = "cut"
    OTHER = "other"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PeakSecond:
    """The second in which a team had its largest share of all requests.

    Attributes:
        share: Of all requests that arrived in this second.
        requests: The team's requests in it.
    """

    at_s: int
    share: float
    requests: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TeamRow:
    """What became of one team's requests.

    Attributes:
        team: Empty for requests without a known team.
        results: How many requests had each result.
        share: The team's share of all requests in the logs.
        peak: None if no second has enough requests.
        durations_ms: Of its answered requests, sorted.
    """

    team: str
    results: collections.Counter[Result]
    share: float
    peak: PeakSecond | None
    durations_ms: Sequence[float]

    @property
    def asked(self) -> int:
        """How many of its requests ended."""
        return self.results.total()


@dataclasses.dataclass(slots=True)
class _TeamCounts:
    """What is counted of a team while lines are read."""

    results: collections.Counter[Result]
    seconds: collections.Counter[int]
    durations_ms: list[float]


def count(lines: Iterable[log_reading.Line]) -> list[TeamRow]:
    """Returns the teams, those that asked for most first."""
    teams: dict[str, _TeamCounts] = {}
    # Why requests without an end so far were refused.
    refusals: dict[tuple[log_reading.Source, str], Result] = {}
    for line in lines:
        record = line.record
        if isinstance(record, log_records.RequestNoRoom):
            refusals[line.source, record.request] = Result.NO_ROOM
        elif isinstance(record, log_records.RequestCannotEnd):
            refusals[line.source, record.request] = Result.CANNOT_END
        elif isinstance(record, log_records.RequestEnded):
            refusal = refusals.pop((line.source, record.request), None)
            counts = teams.setdefault(
                record.team or "",
                _TeamCounts(collections.Counter(), collections.Counter(), []),
            )
            _add(counts, line.at_s, record, refusal)
    return _rows(teams)


def text_lines(rows: Sequence[TeamRow]) -> list[str]:
    """Returns the table with aligned columns."""
    headings = [
        "team",
        "asked",
        *(result.value for result in Result),
        "median ms",
        "p99 ms",
        "share",
        "largest share",
        "in the second",
    ]
    return text_table.text_lines([headings, *(_cells(row) for row in rows)])


def _add(
    counts: _TeamCounts,
    at_s: float,
    record: log_records.RequestEnded,
    refusal: Result | None,
) -> None:
    duration_ms = record.duration_ms or 0.0
    result = _result(record, refusal)
    counts.results[result] += 1
    counts.seconds[math.floor(at_s - duration_ms / 1000.0)] += 1
    if result is Result.ANSWERED and record.duration_ms is not None:
        counts.durations_ms.append(duration_ms)


def _result(record: log_records.RequestEnded, refusal: Result | None) -> Result:
    code = _CODES.get(record.code)
    if record.cut:
        return Result.CUT
    if code is codes.Code.OK:
        return Result.ANSWERED
    if code in _LATE:
        return Result.LATE
    if code is None or code.run_state is not codes.RunState.NOT_RUN:
        return Result.OTHER
    # A larger model that can't end in time refuses nothing by itself: the line
    # counts only where the request ended as not run.
    return refusal or Result.REFUSED


def _rows(teams: dict[str, _TeamCounts]) -> list[TeamRow]:
    everyone: collections.Counter[int] = collections.Counter()
    for counts in teams.values():
        everyone.update(counts.seconds)
    median = statistics.median(everyone.values()) if everyone else 0.0
    compared = {
        second: requests
        for second, requests in everyone.items()
        if requests >= _MIN_PART_OF_MEDIAN * median
    }
    rows = [
        TeamRow(
            team=team,
            results=counts.results,
            share=counts.results.total() / everyone.total(),
            peak=_peak(counts.seconds, compared),
            durations_ms=sorted(counts.durations_ms),
        )
        for team, counts in teams.items()
    ]
    return sorted(rows, key=lambda row: (-row.asked, row.team))


def _peak(
    seconds: collections.Counter[int], compared: dict[int, int]
) -> PeakSecond | None:
    shares = [
        (requests / compared[second], -second)
        for second, requests in seconds.items()
        if second in compared
    ]
    if not shares:
        return None
    share, negated = max(shares)
    return PeakSecond(at_s=-negated, share=share, requests=seconds[-negated])


def _cells(row: TeamRow) -> list[str]:
    peak = row.peak
    return [
        row.team or text_table.EMPTY_CELL,
        str(row.asked),
        *(str(row.results[result]) for result in Result),
        _percentile(row.durations_ms, 0.5),
        _percentile(row.durations_ms, 0.99),
        f"{row.share:.3f}",
        f"{peak.share:.3f}" if peak else text_table.EMPTY_CELL,
        record_text.wall_time(peak.at_s) if peak else text_table.EMPTY_CELL,
    ]


def _percentile(ordered: Sequence[float], part: float) -> str:
    """Returns the smallest value that so large a part does not exceed."""
    if not ordered:
        return text_table.EMPTY_CELL
    return f"{ordered[math.ceil(part * len(ordered)) - 1]:.0f}"
