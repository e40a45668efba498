"""A replica, its reported load and its observed health."""

import datetime

import msgspec
import xxhash

from nutmeghook.internal.replicas import backlog as backlog_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import health as health_module
from nutmeghook.internal.replicas import rate_limit as rate_limit_module
from nutmeghook.internal.replicas import replica_speed
from nutmeghook.internal.replicas import send_window

# Weight of one report in the moving average of its service's load: some ten
# reports count, a second or two of an instance's traffic.
_BASELINE_WEIGHT = 0.1
# No replica runs or queues more. Larger counts are errors, and those beyond 31
# bits do not fit peer messages.
MAX_REPORTED_REQUESTS = 1_000_000


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """A replica's own count of its requests from all instances.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        at: Monotonic time at which the replica reported it.
        work_time_percent: How long work takes on its machine, 100 as usual;
            None if it does not say.
    """

    running: int
    waiting: int
    at: datetime.timedelta
    work_time_percent: float | None = None


class BaselineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Moving average of the load reports of a service's replicas."""

    running: float = 0.0
    waiting: float = 0.0

    def after(self, report: LoadReport) -> "BaselineLoad":
        """Returns the average with one more report."""
        return BaselineLoad(
            running=self.running
            + _BASELINE_WEIGHT * (report.running - self.running),
            waiting=self.waiting
            + _BASELINE_WEIGHT * (report.waiting - self.waiting),
        )


class Replica:
    """One start of a replica.

    Attributes:
        entry: Its entry in the list.
        in_flight: Attempts of this instance that are under way there.
        health: Health by this instance's attempts.
        own_backlog: Prefill time that this instance's attempts wait for.
        report: Its last load report; None if there was none yet.
        in_flight_at_report: `in_flight` when the report was received.
        rate_limit: Its last known statement on its rate limit; None if it has
            made none.
        replaced_at: Monotonic time at which it replaced a former start under
            its id; None if it is the first one known.
        said_leaving_at: Monotonic time at which an instance heard in one of its
            answers that it leaves; None if none has.
        speed: Its speed relative to an average replica.
        sends: Recent and reserved sends of this instance to it.
        short_id: 31-bit hash that identifies this start in messages. Among
            4,400 replicas two collide once in 200 starts of the fleet; then one
            gets the other's load reports.
    """

    __slots__ = (
        "_cold_until",
        "_rest_until",
        "entry",
        "health",
        "in_flight",
        "in_flight_at_report",
        "own_backlog",
        "rate_limit",
        "replaced_at",
        "report",
        "said_leaving_at",
        "sends",
        "short_id",
        "speed",
    )

    def __init__(
        self,
        *,
        entry: entries.ReplicaEntry,
        health: health_module.ReplicaHealth,
    ):
        self.entry = entry
        self.health = health
        self.in_flight = 0
        self.own_backlog = backlog_module.Backlog()
        self.report: LoadReport | None = None
        self.in_flight_at_report = 0
        self.rate_limit: rate_limit_module.RateLimit | None = None
        self.sends = send_window.SendWindow()
        self.speed = replica_speed.ReplicaSpeed()
        self.replaced_at: datetime.timedelta | None = None
        self.said_leaving_at: datetime.timedelta | None = None
        self._cold_until = datetime.timedelta()
        self._rest_until = datetime.timedelta()
        start = f"{entry.replica_id}/{entry.started_ms}"
        self.short_id = xxhash.xxh32_intdigest(start.encode()) >> 1

    @property
    def rate_limit_per_s(self) -> float | None:
        """Requests a second that it takes from all; None for no limit."""
        return None if self.rate_limit is None else self.rate_limit.per_s

    @property
    def is_leaving(self) -> bool:
        """Tells whether it leaves, by its entry or by its own answers.

        The entry may be older than the answers: the list is not updated while
        the store is away.
        """
        return self.entry.leaving or self.said_leaving_at is not None

    def has_free_slot(self) -> bool:
        """Tells whether a request that is sent now begins to run at once.

        By the last report, and what this instance has sent since. A replica
        that has reported nothing has just started.
        """
        if self.report is None:
            return self.in_flight < self.entry.slots
        sent_since = max(0, self.in_flight - self.in_flight_at_report)
        running = self.report.running + sent_since
        return not self.report.waiting and running < self.entry.slots

    def is_resting(self, now: datetime.timedelta) -> bool:
        """Tells whether it has asked this instance for no requests now."""
        return now < self._rest_until

    @property
    def rest_until(self) -> datetime.timedelta:
        """Monotonic time until which it wants no requests."""
        return self._rest_until

    def note_rest(self, until: datetime.timedelta) -> None:
        """Records a rest; a shorter one never shortens it."""
        self._rest_until = max(self._rest_until, until)

    def is_cold(self, now: datetime.timedelta) -> bool:
        """Returns whether it is cold by its own reports."""
        return now < self._cold_until

    def note_cold(self, until: datetime.timedelta) -> None:
        """Records that it is cold; a late report never shortens the time."""
        self._cold_until = max(self._cold_until, until)

    def note_load(self, report: LoadReport) -> None:
        """Records a load report."""
        self.report = report
        self.in_flight_at_report = self.in_flight
        if report.work_time_percent is not None:
            self.speed.note_stated(report.work_time_percent, report.at)
