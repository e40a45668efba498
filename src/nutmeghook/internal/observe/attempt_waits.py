"""Joins log lines into how long each attempt waited for its replica.

The `attempt:sent` line holds the forecast; a later line of the same instance
holds the result. Files and lines may come in any order.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import TypeVar

from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import state_records

# Statuses from here on are refusals and failures, which may come at once.
_FIRST_FAILED_STATUS = 400
# The outcome of an attempt that wrote nothing, and so did not wait.
_NOT_SENT = "NotSentError"

_Key = tuple[log_reading.Source, str]
_RecordT = TypeVar("_RecordT", bound=log_records.AttemptRecord)
_AttemptKey = tuple[log_reading.Source, str, int]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Wait:
    """One attempt that was answered, or waited without an answer.

    Attributes:
        instance: The instance that sent the attempt.
        service: The replica's service; empty if no log names it.
        model: The requested model; empty for plain services.
        route: The request's route; empty if its end is not in the log.
        sent_s: When it was sent, by the instance's wall clock.
        forecast_ms: The instance's forecast; 0 for plain services, which have
            none.
        expected_first_ms: The time to the first event that was expected of the
            replica; for logs without it, the forecast. None if nothing was
            forecast.
        waited_ms: Until the answer began; a lower bound if there was none.
        is_answered: An answer began.
        is_abandoned: The replica was given up as silent or unreachable.
        running: How many requests the replica reported to run.
        waiting: How many it reported to have queued.
    """

    instance: log_reading.Source
    request: str
    attempt: int
    replica: str
    version: str
    service: str
    model: str
    route: str
    configuration: int | None
    sent_s: float
    forecast_ms: float
    expected_first_ms: float | None
    waited_ms: float
    is_answered: bool
    is_abandoned: bool
    running: int | None
    waiting: int | None

    @property
    def group(self) -> tuple[str, str]:
        """Waits are compared within a group: the service and the model."""
        return self.service, self.model


@dataclasses.dataclass(slots=True)
class _LinesBySubject:
    """Lines by attempt, by request and by replica."""

    attempts: dict[_AttemptKey, list[tuple[float, log_records.AttemptRecord]]]
    ends: dict[_Key, list[tuple[float, str]]]
    services: dict[str, str]


def gather(lines: Iterable[log_reading.Line]) -> list[Wait]:
    """Returns all waits, ordered by when they began."""
    grouped = _group_lines(lines)
    waits = [
        wait
        for (source, request, _), events in grouped.attempts.items()
        for wait in _waits(
            source, events, sorted(grouped.ends.get((source, request), []))
        )
    ]
    waits = _with_services(waits, grouped.services)
    return sorted(waits, key=_order)


def _order(wait: Wait) -> tuple[float, log_reading.Source, str, int]:
    return wait.sent_s, wait.instance, wait.request, wait.attempt


def _group_lines(lines: Iterable[log_reading.Line]) -> _LinesBySubject:
    grouped = _LinesBySubject({}, {}, {})
    for line in lines:
        record = line.record
        if isinstance(record, log_records.AttemptRecord):
            key = line.source, record.request, record.attempt
            events = grouped.attempts.setdefault(key, [])
            events.append((line.at_s, record))
        elif isinstance(record, log_records.RequestEnded):
            ends = grouped.ends.setdefault((line.source, record.request), [])
            ends.append((line.at_s, record.route))
        elif (
            isinstance(record, state_records.ReplicaChange)
            and record.service is not None
        ):
            known = grouped.services.get(record.replica, record.service)
            grouped.services[record.replica] = min(known, record.service)
    return grouped


def _waits(
    source: log_reading.Source,
    events: list[tuple[float, log_records.AttemptRecord]],
    ends: list[tuple[float, str]],
) -> Iterator[Wait]:
    """Yields an attempt's waits; several if callers reused a request id."""
    sendings = sorted(
        (
            (at_s, record)
            for at_s, record in events
            if isinstance(record, log_records.AttemptSent)
        ),
        key=lambda sent: (sent[0], sent[1].replica),
    )
    for number, (at_s, sent) in enumerate(sendings):
        next_s = sendings[number + 1][0] if number + 1 < len(sendings) else None
        later = sorted(
            (event for event in events if _is_within(event[0], at_s, next_s)),
            key=lambda event: (event[0], event[1].event),
        )
        end = next((end for end in ends if end[0] >= at_s), None)
        wait = _wait(source, at_s, sent, later, end)
        if wait is not None:
            yield wait


def _is_within(at_s: float, from_s: float, until_s: float | None) -> bool:
    return from_s <= at_s and (until_s is None or at_s < until_s)


def _wait(
    source: log_reading.Source,
    sent_s: float,
    sent: log_records.AttemptSent,
    later: list[tuple[float, log_records.AttemptRecord]],
    end: tuple[float, str] | None,
) -> Wait | None:
    """Returns a wait; None if its length is not known."""
    answer = _first(later, log_records.AttemptAnswered)
    abandoned = _first(later, log_records.AttemptLeft)
    failed = _first(later, log_records.AttemptFailed)
    running, waiting = None, None
    if answer is not None:
        record = answer[1]
        waited_ms = record.after_ms
        if (record.status or 0) >= _FIRST_FAILED_STATUS:
            return None
        running, waiting = record.replica_running, record.replica_waiting
    else:
        if failed is not None and failed[1].outcome == _NOT_SENT:
            return None
        last_event = abandoned or failed or end
        waited_ms = (last_event[0] - sent_s) * 1000.0 if last_event else None
    if waited_ms is None:
        return None
    forecast_ms = (sent.waiting_ms or 0.0) + (sent.reading_ms or 0.0)
    return Wait(
        instance=source,
        request=sent.request,
        attempt=sent.attempt,
        replica=sent.replica,
        version=sent.version or "",
        service="",
        model=sent.model or "",
        route=end[1] if end is not None else "",
        configuration=sent.configuration,
        sent_s=sent_s,
        forecast_ms=forecast_ms,
        expected_first_ms=sent.expected_first_ms or forecast_ms or None,
        waited_ms=waited_ms,
        is_answered=answer is not None,
        is_abandoned=abandoned is not None,
        running=running,
        waiting=waiting,
    )


def _first(
    events: list[tuple[float, log_records.AttemptRecord]],
    wanted: type[_RecordT],
) -> tuple[float, _RecordT] | None:
    for at_s, record in events:
        if isinstance(record, wanted):
            return at_s, record
    return None


def _with_services(waits: list[Wait], services: dict[str, str]) -> list[Wait]:
    """Fills in the waits' services.

    A replica that no log lists gets the service of the listed replicas with
    waits of the same model (for plain services, of the same route), if they
    have one service in common. Collectors that keep only a log's end lose the
    `replica:listed` lines of earlier replicas; without this the replicas
    listed later could not be compared with them.
    """
    services_by_workload: dict[tuple[str, str], set[str]] = {}
    for wait in waits:
        if wait.replica in services:
            names = services_by_workload.setdefault(_workload(wait), set())
            names.add(services[wait.replica])
    unambiguous = {
        workload: min(names)
        for workload, names in services_by_workload.items()
        if len(names) == 1
    }
    return [
        dataclasses.replace(
            wait,
            service=services.get(wait.replica)
            or unambiguous.get(_workload(wait), ""),
        )
        for wait in waits
    ]


def _workload(wait: Wait) -> tuple[str, str]:
    return wait.model, "" if wait.model else wait.route
