"""The directory of known replicas."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import itertools

import msgspec

from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import address_holders
from nutmeghook.internal.replicas import backlog as backlog_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import health as health_module
from nutmeghook.internal.replicas import lapsed_replicas
from nutmeghook.internal.replicas import peer_backlogs as peer_backlogs_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.routing import affinity
from nutmeghook.internal.table_replication import shared_table

LAPSE_GRACE = shared_table.LAPSE_GRACE

# Messages give ages in whole milliseconds and without the network delay, so a
# report that a peer sends back may look this much newer than it is.
_AGE_ERROR = datetime.timedelta(milliseconds=20)
# Replicas whose last start is remembered, also after they are gone: more than
# twice the largest fleet, at 100 bytes each.
_MAX_STARTS = 10_000
_NO_LOAD = replica_module.BaselineLoad()


class ReplicaDirectory(shared_table.DeletionGrace):
    """Replicas by service. Entries come from the replica list, in any order.

    Attributes:
        known: The list was read at least once.
        peer_backlogs: Backlogs that other instances have at replicas.
    """

    __slots__ = (
        "_baseline_load",
        "_by_id",
        "_by_service",
        "_by_short_id",
        "_clock",
        "_deletions_held_until",
        "_global_rings",
        "_holders",
        "_lapsed",
        "_last_starts_ms",
        "_on_gone",
        "_pending_removals",
        "_reported",
        "_rings",
        "_uneven",
        "_with_backlog",
        "known",
        "peer_backlogs",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        on_gone: Callable[[str], None] = lambda address: None,
    ):
        self._clock = clock
        self._on_gone = on_gone
        self._by_id: dict[str, replica_module.Replica] = {}
        self._by_service: dict[str, dict[str, replica_module.Replica]] = {}
        self._by_short_id: dict[int, replica_module.Replica] = {}
        # By service and data centre.
        self._rings: dict[str, dict[str, affinity.AffinityRing]] = {}
        # By service.
        self._global_rings: dict[str, affinity.AffinityRing] = (
            collections.defaultdict(affinity.AffinityRing)
        )
        self._holders = address_holders.AddressHolders()
        # Replicas with a backlog of this instance, by id.
        self._with_backlog: dict[str, replica_module.Replica] = {}
        # Replicas with a load report, the latest at the end.
        self._reported: collections.OrderedDict[str, replica_module.Replica] = (
            collections.OrderedDict()
        )
        # When replicas last started, by id; the latest recorded at the end.
        self._last_starts_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._lapsed = lapsed_replicas.LapsedReplicas()
        self._pending_removals: set[str] = set()
        self._deletions_held_until = datetime.timedelta()
        self._baseline_load: dict[str, replica_module.BaselineLoad] = {}
        # Services of which a replica has stated its work time.
        self._uneven: set[str] = set()
        self.known = False
        self.peer_backlogs = peer_backlogs_module.PeerBacklogs(clock=clock)

    def of_service(self, service: str) -> Iterable[replica_module.Replica]:
        """Returns the replicas of a service, including leaving ones."""
        self._drop_lapsed()
        return self._by_service.get(service, {}).values()

    def all(self) -> Iterable[replica_module.Replica]:
        """Returns the replicas of all services, including leaving ones."""
        return self._by_id.values()

    def data_centres(self, service: str) -> list[str]:
        """Returns the data centres of a service's replicas."""
        return list(self._rings.get(service, {}))

    def affinity_order(
        self, service: str, data_centre: str, key: str
    ) -> Iterator[replica_module.Replica]:
        """Yields replicas of a data centre in the affinity order of a key.

        The order comes from consistent hashing: all instances compute the same
        one, and when a replica goes, only its own keys move. Yielding a few
        takes time logarithmic in the number of replicas. The last ones in the
        order may be missing.
        """
        ring = self._rings.get(service, {}).get(data_centre)
        return self._walk(ring, service, key)

    def global_affinity_order(
        self, service: str, key: str
    ) -> Iterator[replica_module.Replica]:
        """Yields replicas of all data centres, like `affinity_order`."""
        return self._walk(self._global_rings.get(service), service, key)

    def _walk(
        self, ring: affinity.AffinityRing | None, service: str, key: str
    ) -> Iterator[replica_module.Replica]:
        self._drop_lapsed()
        if ring is None:
            return
        known = self._by_service[service]
        for replica_id in ring.owners(key, limit=len(known)):
            yield known[replica_id]

    def __len__(self) -> int:
        return len(self._by_id)

    def is_current(self, replica: replica_module.Replica) -> bool:
        """Tells whether a replica is listed and has not started again."""
        return self._by_id.get(replica.entry.replica_id) is replica

    def has_address(self, address: str) -> bool:
        """Tells whether a listed replica has an address."""
        return self._holders.holds(address)

    def by_short_id(self, short_id: int) -> replica_module.Replica | None:
        """Returns the replica that peers' messages name by this hash."""
        return self._by_short_id.get(short_id)

    def is_uneven(self, service: str) -> bool:
        """Tells whether replicas of a service share their machines.

        Such a replica states how long work takes there at this moment, and the
        replicas of one service differ in speed.
        """
        return service in self._uneven

    def note_load(
        self,
        replica: replica_module.Replica,
        *,
        running: int,
        waiting: int,
        work_time_percent: float | None = None,
    ) -> None:
        """Records a load report that a replica has just sent.

        A report of a former start is ignored: it says nothing about the process
        that runs under the same id now.
        """
        if not self.is_current(replica):
            return
        self._apply_report(
            replica,
            replica_module.LoadReport(
                running=running,
                waiting=waiting,
                at=self._clock.monotonic(),
                work_time_percent=work_time_percent,
            ),
        )

    def note_peer_report(
        self, short_id: int, report: replica_module.LoadReport
    ) -> None:
        """Records a peer's load report if it is newer than the known one."""
        replica = self.by_short_id(short_id)
        if replica is None:
            return
        known = replica.report
        if known is None or report.at - known.at > _AGE_ERROR:
            self._apply_report(replica, report)

    def _apply_report(
        self, replica: replica_module.Replica, report: replica_module.LoadReport
    ) -> None:
        replica.note_load(report)
        if report.work_time_percent is not None:
            self._uneven.add(replica.entry.service)
        self._reported[replica.entry.replica_id] = replica
        self._reported.move_to_end(replica.entry.replica_id)
        service = replica.entry.service
        baseline = self._baseline_load.get(service)
        if baseline is None:
            baseline = replica_module.BaselineLoad(
                running=report.running, waiting=report.waiting
            )
        self._baseline_load[service] = baseline.after(report)

    def note_cold(
        self, replica: replica_module.Replica, left: datetime.timedelta
    ) -> None:
        """Records a replica's report that it stays cold for some time."""
        now = self._clock.monotonic()
        if not replica.is_cold(now):
            logs.note(
                "replica:cold",
                replica=replica.entry.replica_id,
                cold_left_s=left.total_seconds(),
            )
        replica.note_cold(now + left)

    def recently_reported(
        self, max_count: int, *, age: datetime.timedelta
    ) -> list[replica_module.Replica]:
        """Returns the replicas with the latest load reports."""
        oldest = self._clock.monotonic() - age
        found = itertools.islice(reversed(self._reported.values()), max_count)
        return [replica for replica in found if replica.report.at >= oldest]

    def begin_prefill(
        self, replica: replica_module.Replica, prefill: backlog_module.Prefill
    ) -> None:
        """Records that an attempt waits for the prefill of its prompt."""
        replica.own_backlog = replica.own_backlog.with_prefill(prefill)
        self._with_backlog[replica.entry.replica_id] = replica

    def end_prefill(
        self, replica: replica_module.Replica, prefill: backlog_module.Prefill
    ) -> None:
        """Records that the attempt got its first event or has ended."""
        replica.own_backlog = replica.own_backlog.without_prefill(prefill)
        replica_id = replica.entry.replica_id
        if (
            not replica.own_backlog
            and self._with_backlog.get(replica_id) is replica
        ):
            del self._with_backlog[replica_id]

    def with_own_backlog(self, max_count: int) -> list[replica_module.Replica]:
        """Returns replicas with a backlog of this instance."""
        return list(itertools.islice(self._with_backlog.values(), max_count))

    def backlog(
        self, replica: replica_module.Replica
    ) -> backlog_module.Backlog:
        """Returns a replica's backlog from all instances."""
        return replica.own_backlog + self.peer_backlogs.of_replica(
            replica.short_id
        )

    def baseline_load(self, service: str) -> replica_module.BaselineLoad:
        """Returns the average of a service's recent load reports."""
        return self._baseline_load.get(service, _NO_LOAD)

    def remaining(self) -> datetime.timedelta:
        """Returns for how much longer deletions are held back."""
        left = self._deletions_held_until - self._clock.monotonic()
        return max(left, datetime.timedelta())

    def hold_deletions(self, until: datetime.timedelta) -> None:
        """Holds deletions back until a monotonic time."""
        if until <= max(self._deletions_held_until, self._clock.monotonic()):
            return
        self._deletions_held_until = until
        left = self.remaining()
        logs.note("replica:deletions_held", left_s=left.total_seconds())

    def hold_after_outage(
        self, outage_ended_at: datetime.timedelta | None
    ) -> None:
        """Holds deletions back while entries that expired are written again.

        Args:
            outage_ended_at: When the store's last outage for the whole fleet
                ended; None if there was none. While it refuses only some
                instances, the replicas reach it and no entry expires.
        """
        if outage_ended_at is not None:
            self.hold_deletions(outage_ended_at + LAPSE_GRACE)

    def replace(self, listed: Iterable[entries.ReplicaEntry]) -> None:
        """Replaces all entries by a complete list."""
        self.known = True
        fresh = {entry.replica_id: entry for entry in listed}
        for replica_id in [i for i in self._by_id if i not in fresh]:
            self.remove(replica_id)
        for entry in fresh.values():
            self.put(entry)

    def put(self, entry: entries.ReplicaEntry) -> None:
        """Adds or updates a replica.

        An entry of a newer start under the same id discards all state of the
        former one, including load, health and connections. An entry of an older
        start is dropped. So is one whose address a newer replica holds: the
        process there would refuse the requests, which uses up retry budget.
        """
        last_ms = self._last_starts_ms.get(entry.replica_id, 0)
        if entry.started_ms < last_ms:
            self._note_outdated(entry, last_ms)
            return
        if self._holders.has_successor(entry):
            self.reject(entry.replica_id)
            return
        self._pending_removals.discard(entry.replica_id)
        known = self._by_id.get(entry.replica_id)
        if known is not None and not known.entry.is_same_start(entry):
            self._forget(entry.replica_id)
            known = self._add(entry)
            known.replaced_at = self._clock.monotonic()
        if known is None:
            known = self._add(entry)
        entry = _with_known_leaving(entry, known.entry)
        if entry.leaving and not known.entry.leaving:
            logs.note("replica:leaving", replica=entry.replica_id)
        known.entry = entry
        replaced = self._holders.add(entry)
        if replaced is not None:
            logs.note(
                "replica:replaced",
                replica=replaced,
                successor=entry.replica_id,
            )
            self.reject(replaced)
        if entry.cold_left_s > 0:
            self.note_cold(known, datetime.timedelta(seconds=entry.cold_left_s))

    def reject(self, replica_id: str) -> None:
        """Drops a replica at once, also while deletions are held back.

        Its entry is invalid, outdated or replaced, so the row may not be of the
        replica that first wrote it. A live replica writes its row again within
        seconds.
        """
        if replica_id in self._by_id:
            self._forget(replica_id)

    def _note_outdated(self, entry: entries.ReplicaEntry, last_ms: int) -> None:
        """Handles an entry that is older than the replica's last known start.

        A replica that has stated its start always states it, so an entry
        without one was written by something else.
        """
        logs.note(
            "replica:outdated_entry",
            replica=entry.replica_id,
            started_ms=entry.started_ms,
            last_started_ms=last_ms,
        )
        if not entry.started_ms:
            self.reject(entry.replica_id)

    def _add(self, entry: entries.ReplicaEntry) -> replica_module.Replica:
        replica = self._lapsed.take(entry) or replica_module.Replica(
            entry=entry, health=health_module.ReplicaHealth()
        )
        self._by_id[entry.replica_id] = replica
        self._by_service.setdefault(entry.service, {})[entry.replica_id] = (
            replica
        )
        self._by_short_id[replica.short_id] = replica
        self._ring_of(entry).add(entry.replica_id)
        self._global_rings[entry.service].add(entry.replica_id)
        self._remember_start(entry)
        logs.note(
            "replica:listed",
            replica=entry.replica_id,
            service=entry.service,
            address=entry.address,
            version=entry.version,
            leaving=entry.leaving,
            started_ms=entry.started_ms,
            cold_left_s=entry.cold_left_s,
        )
        return replica

    def _remember_start(self, entry: entries.ReplicaEntry) -> None:
        if not entry.started_ms:
            return
        self._last_starts_ms[entry.replica_id] = entry.started_ms
        self._last_starts_ms.move_to_end(entry.replica_id)
        if len(self._last_starts_ms) > _MAX_STARTS:
            self._last_starts_ms.popitem(last=False)

    def remove(self, replica_id: str) -> None:
        """Removes a replica, at once or when deletions are no longer held.

        During an outage of the store, entries of live replicas expire.
        """
        if replica_id not in self._by_id:
            return
        if self._clock.monotonic() < self._deletions_held_until:
            self._pending_removals.add(replica_id)
            return
        self._forget(replica_id)

    def _ring_of(self, entry: entries.ReplicaEntry) -> affinity.AffinityRing:
        rings = self._rings.setdefault(entry.service, {})
        return rings.setdefault(entry.data_centre, affinity.AffinityRing())

    def _drop_lapsed(self) -> None:
        if not self._pending_removals:
            return
        if self._clock.monotonic() < self._deletions_held_until:
            return
        for replica_id in list(self._pending_removals):
            self._forget(replica_id)

    def _forget(self, replica_id: str) -> None:
        gone = self._by_id.pop(replica_id, None)
        if gone is None:
            return
        self._by_service[gone.entry.service].pop(replica_id, None)
        if self._by_short_id.get(gone.short_id) is gone:
            del self._by_short_id[gone.short_id]
        self._holders.release(gone.entry)
        self._pending_removals.discard(replica_id)
        self._ring_of(gone.entry).remove(replica_id)
        self._global_rings[gone.entry.service].remove(replica_id)
        self._with_backlog.pop(replica_id, None)
        self._reported.pop(replica_id, None)
        self._lapsed.remember(gone)
        self._on_gone(gone.entry.address)
        logs.note("replica:gone", replica=replica_id)


def _with_known_leaving(
    entry: entries.ReplicaEntry, known: entries.ReplicaEntry
) -> entries.ReplicaEntry:
    """Returns an entry with what is known of its start's leaving.

    An entry that a restored store has from its copy may be older than the one
    known from before. A replica that leaves never stays.
    """
    is_restored = revisions.epoch_of(known.row_version) < revisions.epoch_of(
        entry.row_version
    )
    if not (known.leaving and is_restored):
        return entry
    return msgspec.structs.replace(entry, leaving=True)
