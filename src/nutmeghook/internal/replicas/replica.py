"""One replica, and what it said and shows of its load."""

import dataclasses
import datetime

import xxhash

from nutmeghook.internal.replicas import backlog as backlog_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import health as health_module
from nutmeghook.internal.replicas import send_window

# Of each report in the usual load of its service: some ten reports, a second
# or two of an instance's traffic.
_BASELINE_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """A replica's own count of its requests, those of others included.

    Attributes:
        waiting: Requests that have not begun to run.
        at: Monotonic time at which the replica told it.
    """

    running: int
    waiting: int
    at: datetime.timedelta


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BaselineLoad:
    """What a service's replicas have reported lately, on average."""

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
        entry: What the list says of it.
        in_flight: Attempts of this instance that it works on.
        health: What this instance's attempts tell of it.
        own_backlog: The reading that this instance's attempts wait for.
        report: What it last said of its load; None if nothing yet.
        in_flight_at_report: `in_flight` when that was heard.
        sends: What was sent to it lately from here.
        short_id: Names this start in a few bytes. Of 4,400 replicas two share
            one once in 200 starts of the fleet; then one is told the other's
            load.
    """

    __slots__ = (
        "_cold_until",
        "entry",
        "health",
        "in_flight",
        "in_flight_at_report",
        "own_backlog",
        "report",
        "sends",
        "short_id",
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
        self.sends = send_window.SendWindow()
        self._cold_until = datetime.timedelta()
        start = f"{entry.replica_id}/{entry.started_ms}"
        self.short_id = xxhash.xxh32_intdigest(start.encode()) >> 1

    def is_cold(self, now: datetime.timedelta) -> bool:
        """Tells whether it bears few requests only, as far as it said."""
        return now < self._cold_until

    def note_cold(self, until: datetime.timedelta) -> None:
        """Takes in that it is cold; a word that came late shortens nothing."""
        self._cold_until = max(self._cold_until, until)

    def note_load(self, report: LoadReport) -> None:
        """Takes in what it says of its load."""
        self.report = report
        self.in_flight_at_report = self.in_flight
