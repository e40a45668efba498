"""The replicas known here, and what this instance knows of each."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime

from nutmeghook.internal.following import gossip
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import health as health_module

# Entries lapse while the store is away and are back within two seconds of
# its return. Until then, and some slack, a missing entry proves nothing.
LAPSE_GRACE = datetime.timedelta(milliseconds=2200)

# Of each report in the usual load of its service: some ten reports, a second
# or two of an instance's traffic.
_USUAL_WEIGHT = 0.1


class Replica:
    """One start of a replica.

    Attributes:
        entry: What the list says of it.
        in_flight: Attempts of this instance that it works on.
        health: What this instance's attempts tell of it.
        reported_total: Running and waiting requests by its own count.
        reported_at: When that was heard; None if never.
        in_flight_at_report: `in_flight` at that moment.
    """

    __slots__ = (
        "entry",
        "health",
        "in_flight",
        "in_flight_at_report",
        "reported_at",
        "reported_total",
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
        self.reported_total = 0
        self.reported_at: datetime.timedelta | None = None
        self.in_flight_at_report = 0

    def note_load(self, total: int, now: datetime.timedelta) -> None:
        """Takes in the replica's own count, which includes ours."""
        self.reported_total = total
        self.reported_at = now
        self.in_flight_at_report = self.in_flight


class ReplicaDirectory(gossip.DeletionGrace):
    """Replicas by service; entries come from the list, in any order.

    Attributes:
        known: The list was read at least once.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_clock",
        "_missing_since_return",
        "_on_gone",
        "_trusted_from",
        "_usual_load",
        "known",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        on_gone: Callable[[str], None] = lambda address: None,
    ):
        self._clock = clock
        self._on_gone = on_gone
        self._by_id: dict[str, Replica] = {}
        self._by_service: dict[str, dict[str, Replica]] = {}
        self._missing_since_return: set[str] = set()
        self._trusted_from = datetime.timedelta()
        self._usual_load: dict[str, float] = {}
        self.known = False

    def of_service(self, service: str) -> Iterable[Replica]:
        """Returns the replicas of a service, leaving ones too."""
        self._drop_lapsed()
        return self._by_service.get(service, {}).values()

    def __len__(self) -> int:
        return len(self._by_id)

    def note_load(self, replica: Replica, total: int) -> None:
        """Takes in a replica's own count of its running and waiting work."""
        replica.note_load(total, self._clock.monotonic())
        service = replica.entry.service
        usual = self._usual_load.get(service, float(total))
        self._usual_load[service] = usual + _USUAL_WEIGHT * (total - usual)

    def usual_load(self, service: str) -> float:
        """Returns what replicas of a service have reported lately."""
        return self._usual_load.get(service, 0.0)

    def left(self) -> datetime.timedelta:
        """Returns for how much longer deletions are held back."""
        left = self._trusted_from - self._clock.monotonic()
        return max(left, datetime.timedelta())

    def distrust_deletions(self, until: datetime.timedelta) -> None:
        """Holds deletions back until a monotonic time."""
        self._trusted_from = max(self._trusted_from, until)

    def replace(self, listed: Iterable[entries.ReplicaEntry]) -> None:
        """Takes in the whole list."""
        self.known = True
        fresh = {entry.replica_id: entry for entry in listed}
        for replica_id in [i for i in self._by_id if i not in fresh]:
            self.remove(replica_id)
        for entry in fresh.values():
            self.put(entry)

    def put(self, entry: entries.ReplicaEntry) -> None:
        """Adds or updates a replica."""
        self._missing_since_return.discard(entry.replica_id)
        known = self._by_id.get(entry.replica_id)
        if known is None:
            known = Replica(entry=entry, health=health_module.ReplicaHealth())
            self._by_id[entry.replica_id] = known
            logs.note(
                "replica:listed",
                replica=entry.replica_id,
                service=entry.service,
                address=entry.address,
                version=entry.version,
                leaving=entry.leaving,
            )
        elif entry.leaving and not known.entry.leaving:
            logs.note("replica:leaving", replica=entry.replica_id)
        known.entry = entry
        self._by_service.setdefault(entry.service, {})[entry.replica_id] = known

    def remove(self, replica_id: str) -> None:
        """Takes a replica out, or waits for it while entries may lapse.

        The failure: the store was away for some seconds, and on its return
        half the list is missing though the replicas live. Dropped at once,
        the rest would be swamped, and requests refused for no reason.
        """
        if replica_id not in self._by_id:
            return
        if self._clock.monotonic() < self._trusted_from:
            self._missing_since_return.add(replica_id)
            return
        self._forget(replica_id)

    def _drop_lapsed(self) -> None:
        if not self._missing_since_return:
            return
        if self._clock.monotonic() < self._trusted_from:
            return
        for replica_id in list(self._missing_since_return):
            self._forget(replica_id)
        self._missing_since_return.clear()

    def _forget(self, replica_id: str) -> None:
        gone = self._by_id.pop(replica_id, None)
        if gone is None:
            return
        self._by_service[gone.entry.service].pop(replica_id, None)
        self._on_gone(gone.entry.address)
        logs.note("replica:gone", replica=replica_id)
