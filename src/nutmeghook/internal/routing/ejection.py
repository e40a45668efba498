"""Outlier detection: temporary ejection of failing or slow backend servers.

Outcomes are not shared between instances: one with a broken network would
eject healthy backend servers for all the others.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import math

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import directory as directory_module

FIRST_EJECTION = datetime.timedelta(seconds=1)
LONGEST_EJECTION = datetime.timedelta(seconds=60)
# An answer this long after the end of the last ejection resets the back-off.
EJECTIONS_RESET_AFTER = datetime.timedelta(minutes=3)
# At most this share of a service is ejected: if all of it fails (a bad
# network, a bad version, all slow), it is better used than given up.
LARGEST_EJECTED_SHARE = 0.5

FAILURES_IN_A_ROW = 3
# A refused connection is stronger evidence than a failed attempt.
UNREACHABLE_IN_A_ROW = 2
# Ejected as slow: above this multiple of the service's typical duration, after
# at least this many attempts. Answers differ in length, hence the large factor.
SLOW_FACTOR = 4.0
SLOW_ATTEMPTS = 20
_DURATION_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """What this instance remembers of a backend server.

    Attributes:
        log_duration: Moving average of the logarithm of durations in seconds.
        ejections: Number of consecutive ejections.
        awaits_report: It was unreachable, so its restoration waits for a load
            report.
    """

    failures: int = 0
    unreachable: int = 0
    attempts: int = 0
    log_duration: float = 0.0
    ejections: int = 0
    restored_at: datetime.timedelta = datetime.timedelta()
    ejected_at: datetime.timedelta = datetime.timedelta()
    awaits_report: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, order=True)
class _Restoration:
    """The scheduled end of an ejection."""

    at: datetime.timedelta
    order: int
    address: str


class OutlierEjector:
    """Counts outcomes, ejects, and restores the ejected on probation."""

    __slots__ = (
        "_clock",
        "_directory",
        "_ejected",
        "_events",
        "_order",
        "_records",
        "_restorations",
        "_service_log_duration",
    )

    def __init__(
        self,
        *,
        directory: directory_module.BackendDirectory,
        clock: clock_module.Clock,
        events: events_module.EventRing,
    ):
        self._directory = directory
        self._clock = clock
        self._events = events
        self._records: dict[str, _Record] = {}
        self._restorations: list[_Restoration] = []
        self._order = itertools.count()
        self._ejected: collections.Counter[str] = collections.Counter()
        self._service_log_duration: dict[str, float] = {}
        directory.on_forget(self._forget)

    def note(
        self,
        backend: backends.Backend,
        *,
        outcome: backends.AttemptOutcome,
        duration: datetime.timedelta,
    ) -> None:
        """Records how an attempt ended."""
        record = self._records.setdefault(backend.address, _Record())
        if outcome is backends.AttemptOutcome.ANSWERED:
            self._note_answer(backend, record, duration)
        elif outcome is backends.AttemptOutcome.FAILED:
            record.failures += 1
        elif outcome is backends.AttemptOutcome.UNREACHABLE:
            record.unreachable += 1
        reason = self._ejection_reason(backend, record)
        if reason and not backend.ejected:
            self._eject(backend, record, reason)

    def restore_due(self) -> None:
        """Restores those whose ejection is over; cheap if there are none."""
        if not self._restorations:
            return
        now = self._clock.monotonic()
        while self._restorations and self._restorations[0].at <= now:
            due = heapq.heappop(self._restorations)
            self._restore(due.address, now)

    def _forget(self, backend: backends.Backend) -> None:
        self._records.pop(backend.address, None)
        if backend.ejected:
            self._ejected[backend.service] -= 1

    def _is_silent(
        self, backend: backends.Backend, now: datetime.timedelta
    ) -> bool:
        """Tells whether an engine sent no load report since its ejection.

        Each attempt on a dead engine would cost a caller a retry, for as long
        as the list shows it. Its reports are polled anyway. In case that only
        the reports fail, it is restored after the longest ejection.
        """
        record = self._records[backend.address]
        return (
            record.awaits_report
            and backend.reported_at <= record.ejected_at
            and now - record.ejected_at < LONGEST_EJECTION
        )

    def _note_answer(
        self,
        backend: backends.Backend,
        record: _Record,
        duration: datetime.timedelta,
    ) -> None:
        backend.on_probation = False
        record.failures = 0
        record.unreachable = 0
        healthy_for = self._clock.monotonic() - record.restored_at
        if record.ejections and healthy_for > EJECTIONS_RESET_AFTER:
            record.ejections = 0
        log_duration = math.log(max(duration.total_seconds(), 1e-3))
        service = self._service_log_duration.setdefault(
            backend.service, log_duration
        )
        self._service_log_duration[backend.service] = service + (
            log_duration - service
        ) * (_DURATION_WEIGHT / 4)
        if record.attempts == 0:
            record.log_duration = service
        record.attempts += 1
        record.log_duration += _DURATION_WEIGHT * (
            log_duration - record.log_duration
        )

    def _ejection_reason(
        self, backend: backends.Backend, record: _Record
    ) -> str:
        if backend.on_probation and record.failures + record.unreachable:
            return "failed on trial"
        if record.unreachable >= UNREACHABLE_IN_A_ROW:
            return "unreachable"
        if record.failures >= FAILURES_IN_A_ROW:
            return "failures in a row"
        if record.attempts < SLOW_ATTEMPTS:
            return ""
        service = self._service_log_duration[backend.service]
        slower = record.log_duration - service > math.log(SLOW_FACTOR)
        return "slow" if slower else ""

    def _eject(
        self, backend: backends.Backend, record: _Record, reason: str
    ) -> None:
        known = self._directory.service_size(backend.service)
        ejected = self._ejected[backend.service] + 1
        if ejected > LARGEST_EJECTED_SHARE * known:
            return
        duration = min(FIRST_EJECTION * 2**record.ejections, LONGEST_EJECTION)
        self._ejected[backend.service] = ejected
        self._directory.eject(backend)
        self._restore_after(duration, backend.address)
        self._records[backend.address] = _Record(
            ejections=min(record.ejections + 1, 16),
            ejected_at=self._clock.monotonic(),
            awaits_report=record.unreachable > 0 and not backend.plain,
        )
        self._events.record(
            events_module.EventKind.BACKEND_EJECTED,
            backend.address,
            reason=reason,
            seconds=str(duration.total_seconds()),
        )

    def _restore_after(
        self, duration: datetime.timedelta, address: str
    ) -> None:
        heapq.heappush(
            self._restorations,
            _Restoration(
                at=self._clock.monotonic() + duration,
                order=next(self._order),
                address=address,
            ),
        )

    def _restore(self, address: str, now: datetime.timedelta) -> None:
        backend = self._directory.find(address)
        if backend is None or not backend.ejected:
            return
        if self._is_silent(backend, now):
            self._restore_after(FIRST_EJECTION, address)
            return
        self._ejected[backend.service] -= 1
        self._records[address].restored_at = now
        backend.on_probation = True
        self._directory.restore(backend)
        self._events.record(events_module.EventKind.BACKEND_RESTORED, address)
