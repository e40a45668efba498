"""Counts how requests ended, by route, result code and reason."""

from collections.abc import Iterable
import dataclasses

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import record_text
from nutmeghook.internal.observe import text_table

_HEADINGS = (
    "route",
    "code",
    "reason",
    "requests",
    "cut",
    "first",
    "last",
    "one of them",
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, order=True)
class RowKey:
    """What the requests of one row have in common."""

    route: str
    code: int
    reason: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Example:
    """A request to show; the smallest is preferred: the first cut answer."""

    whole: bool
    at_s: float
    request: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Row:
    """One way in which requests ended.

    Attributes:
        requests: How many requests ended in this way.
        cut: How many of them had an answer that began and broke off.
        unknown_cuts: For how many the log lacks the field `cut`.
        first_s: When the first of them ended.
        last_s: When the last of them ended.
    """

    key: RowKey
    requests: int = 0
    cut: int = 0
    unknown_cuts: int = 0
    first_s: float
    last_s: float
    example: Example

    def add(self, record: log_records.RequestEnded, at_s: float) -> None:
        """Counts one more request."""
        self.requests += 1
        self.cut += bool(record.cut)
        self.unknown_cuts += record.cut is None
        self.first_s = min(self.first_s, at_s)
        self.last_s = max(self.last_s, at_s)
        self.example = min(self.example, _example(record, at_s))


@dataclasses.dataclass(slots=True, kw_only=True)
class Endings:
    """All endings.

    Attributes:
        rows: Most cut answers first, then failures, disconnected callers and
            successes.
        open_requests: Requests with a line of an attempt but none of the end.
    """

    rows: list[Row]
    open_requests: list[str]


def count(lines: Iterable[log_reading.Line]) -> Endings:
    """Counts the endings among the lines of all logs."""
    rows: dict[RowKey, Row] = {}
    unfinished: set[tuple[log_reading.Source, str]] = set()
    for line in lines:
        record = line.record
        if not isinstance(record, log_records.RequestRecord):
            continue
        if isinstance(record, log_records.RequestEnded):
            _row(rows, record, line.at_s).add(record, line.at_s)
            unfinished.discard((line.source, record.request))
        else:
            unfinished.add((line.source, record.request))
    return Endings(
        rows=sorted(rows.values(), key=_rank),
        open_requests=sorted({request for _, request in unfinished}),
    )


def text_lines(endings: Endings) -> list[str]:
    """Returns the table with aligned columns, and notes on it."""
    lines = text_table.text_lines(
        [_HEADINGS, *(_cells(row) for row in endings.rows)]
    )
    if any(row.unknown_cuts for row in endings.rows):
        lines.append("# ?: not all of these lines say if an answer was cut")
    if endings.open_requests:
        first = record_text.printable(endings.open_requests[0])
        lines.append(
            f"# {len(endings.open_requests)} requests with attempts have no end"
            f" in these logs, one of them {first}"
        )
    return lines


def _row(
    rows: dict[RowKey, Row], record: log_records.RequestEnded, at_s: float
) -> Row:
    key = RowKey(route=record.route, code=record.code, reason=record.outcome)
    row = rows.get(key)
    if row is None:
        row = rows[key] = Row(
            key=key,
            first_s=at_s,
            last_s=at_s,
            example=_example(record, at_s),
        )
    return row


def _example(record: log_records.RequestEnded, at_s: float) -> Example:
    return Example(
        whole=not record.cut,
        at_s=at_s,
        request=record.request,
    )


def _rank(row: Row) -> tuple[int, bool, bool, int, RowKey]:
    return (
        -row.cut,
        row.key.code == codes.Code.OK.number,
        row.key.code == codes.Code.CALLER_GONE.number,
        -row.requests,
        row.key,
    )


def _cells(row: Row) -> tuple[str, ...]:
    unsure_mark = "?" if row.unknown_cuts else ""
    return (
        row.key.route or text_table.EMPTY_CELL,
        f"{row.key.code} {record_text.code_name(row.key.code)}".rstrip(),
        row.key.reason,
        str(row.requests),
        f"{row.cut}{unsure_mark}",
        record_text.wall_time(row.first_s),
        record_text.wall_time(row.last_s),
        row.example.request or text_table.EMPTY_CELL,
    )
