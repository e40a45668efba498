"""Compares replicas by their believed and by their measured speed."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import statistics

from nutmeghook.internal.observe import attempt_waits
from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import record_text
from nutmeghook.internal.observe import state_records
from nutmeghook.internal.observe import text_table

# A median of fewer answers tells nothing of a replica; the same number as for
# `slow_replicas`.
MIN_ANSWERS = 9
_AVERAGE = 1.0
_HEADINGS = (
    "replica",
    "service",
    "version",
    "believed",
    "since",
    "source",
    "taken/expected",
    "answers",
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Belief:
    """The last logged slowness of a replica.

    Attributes:
        at_s: When it was logged, by the instance's wall clock.
        slowness: The factor by which the replica's work was believed to take
            longer than an average one's.
        source: How the instance learnt it.
    """

    at_s: float
    slowness: float
    source: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaRow:
    """One replica's speed.

    Attributes:
        service: Empty if no log names it.
        belief: The last one of any instance; None if none is logged.
        ratio: The median of time taken over time expected until the answer
            began; None without an answer that had a forecast.
        answers: How many answers had a forecast.
    """

    replica: str
    service: str
    version: str
    belief: Belief | None
    ratio: float | None
    answers: int


def report(lines: Iterable[log_reading.Line]) -> list[ReplicaRow]:
    """Returns the replicas, those that are believed slowest first."""
    beliefs: dict[str, Belief] = {}
    by_replica: dict[str, list[attempt_waits.Wait]] = collections.defaultdict(
        list
    )
    for wait in attempt_waits.gather(_noting_beliefs(lines, beliefs)):
        by_replica[wait.replica].append(wait)
    rows = [
        _row(replica, by_replica.get(replica, []), beliefs.get(replica))
        for replica in beliefs.keys() | by_replica.keys()
    ]
    return sorted(rows, key=_rank)


def text_lines(rows: Sequence[ReplicaRow]) -> list[str]:
    """Returns the table with aligned columns, and the spread of its medians."""
    lines = text_table.text_lines([_HEADINGS, *(_cells(row) for row in rows)])
    ratios = sorted(
        row.ratio
        for row in rows
        if row.ratio is not None and row.answers >= MIN_ANSWERS
    )
    if not ratios:
        lines.append(
            f"# no replica has {MIN_ANSWERS} answers with a forecast; the"
            " spread is not known"
        )
        return lines
    lines.append(
        f"# taken/expected over {len(ratios)} replicas with at least"
        f" {MIN_ANSWERS} answers: {ratios[0]:.2f} to {ratios[-1]:.2f}, median"
        f" {statistics.median(ratios):.2f}"
    )
    return lines


def _noting_beliefs(
    lines: Iterable[log_reading.Line], beliefs: dict[str, Belief]
) -> Iterator[log_reading.Line]:
    """Passes lines on; stores the last belief of any instance by replica."""
    for line in lines:
        yield line
        record = line.record
        if (
            not isinstance(record, state_records.ReplicaChange)
            or record.event != log_decoding.REPLICA_SPEED
            or record.slowness is None
        ):
            continue
        belief = Belief(
            at_s=line.at_s,
            slowness=record.slowness,
            source=record.source or "",
        )
        known = beliefs.get(record.replica, belief)
        beliefs[record.replica] = max(known, belief, key=_age_order)


def _age_order(belief: Belief) -> tuple[float, float, str]:
    return belief.at_s, belief.slowness, belief.source


def _row(
    replica: str, waits: Sequence[attempt_waits.Wait], belief: Belief | None
) -> ReplicaRow:
    ratios = [
        wait.waited_ms / wait.expected_first_ms
        for wait in waits
        if wait.is_answered and wait.expected_first_ms
    ]
    return ReplicaRow(
        replica=replica,
        service=waits[-1].service if waits else "",
        version=waits[-1].version if waits else "",
        belief=belief,
        ratio=statistics.median(ratios) if ratios else None,
        answers=len(ratios),
    )


def _rank(row: ReplicaRow) -> tuple[float, float, str]:
    believed = row.belief.slowness if row.belief else _AVERAGE
    return -believed, -(row.ratio or 0.0), row.replica


def _cells(row: ReplicaRow) -> tuple[str, ...]:
    belief = row.belief
    empty = text_table.EMPTY_CELL
    return (
        row.replica,
        row.service or empty,
        row.version or empty,
        f"{belief.slowness:.2f}" if belief else empty,
        record_text.wall_time(belief.at_s) if belief else empty,
        (belief.source if belief else "") or empty,
        empty if row.ratio is None else f"{row.ratio:.2f}",
        str(row.answers),
    )
