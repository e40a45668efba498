"""Gossips attempts in flight and polled load reports to the cell's peers."""

import asyncio
import dataclasses
import datetime

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers as peers_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cells as cells_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import load_digests
from nutmeghook.internal.routing import load_tracker

# Period of empty digests, which show that the sender is alive.
KEEPALIVE_PERIOD = datetime.timedelta(seconds=1)
# A peer's attempts in flight no longer count this long after its last digest:
# it is dead or partitioned. From then on only load reports show them.
PEER_TTL = datetime.timedelta(seconds=5)
CALL_TIMEOUT = datetime.timedelta(seconds=1)
# A report is sent again after this long, or when the attempts from outside the
# cell that it shows changed by this share of the capacity.
REPORT_REPEAT = datetime.timedelta(seconds=5)
REPORT_CHANGE_SHARE = 0.15
# A digest has one age for all its reports, which may differ by this much.
MAX_AGE_SPREAD = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Outbox:
    """Updates that were not sent to one peer yet.

    Attributes:
        complete: Send all attempts in flight: the peer may have missed some.
    """

    changed: set[str] = dataclasses.field(default_factory=set)
    reports: set[str] = dataclasses.field(default_factory=set)
    complete: bool = True
    sent_at: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(slots=True, kw_only=True)
class _PeerLoad:
    """Attempts in flight that one peer reported, by backend server."""

    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
    received_at: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _SentReport:
    """A load report as last sent to the peers."""

    at: datetime.timedelta
    report: engine.LoadReport
    external_in_flight: float


class LoadGossiper:
    """Sends digests with one task for each peer, and receives theirs."""

    __slots__ = (
        "_by_hash",
        "_caller",
        "_cells",
        "_clock",
        "_directory",
        "_generation",
        "_my_address",
        "_outboxes",
        "_peer_loads",
        "_sent_reports",
        "_tasks",
        "_tracker",
    )

    def __init__(
        self,
        *,
        caller: peers_module.PeerCaller,
        handlers: peers_module.PeerHandlers,
        my_address: str,
        cells: cells_module.CellView,
        directory: directory_module.BackendDirectory,
        tracker: load_tracker.LoadTracker,
        clock: clock_module.Clock,
    ):
        self._caller = caller
        self._my_address = my_address
        self._cells = cells
        self._directory = directory
        self._tracker = tracker
        self._clock = clock
        self._outboxes: dict[str, _Outbox] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._peer_loads: dict[str, _PeerLoad] = {}
        self._sent_reports: dict[str, _SentReport] = {}
        self._by_hash: dict[int, backends.Backend | None] = {}
        self._generation = -1
        handlers.register(ttypes.LoadDigest, self.receive)
        directory.on_forget(self._forget_backend)

    def note_own_change(self, backend: backends.Backend) -> None:
        """Queues a change of the own attempts in flight for all peers."""
        for outbox in self._outboxes.values():
            outbox.changed.add(backend.address)

    def note_report(self, backend: backends.Backend) -> None:
        """Queues a load report for all peers, if it changed enough."""
        now = self._clock.monotonic()
        sent = self._sent_reports.get(backend.address)
        if sent is not None and not _is_worth_sending(backend, sent, now):
            return
        self._sent_reports[backend.address] = _SentReport(
            at=now,
            report=backend.report,
            external_in_flight=backend.external_in_flight,
        )
        for outbox in self._outboxes.values():
            outbox.reports.add(backend.address)

    async def run(self) -> None:
        """Maintains the cell and a task for each peer until cancelled."""
        try:
            while True:
                self.refresh()
                await self._clock.sleep(KEEPALIVE_PERIOD)
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()

    def refresh(self) -> None:
        """Applies changes of the cell; drops the load of silent peers."""
        self._cells.refresh()
        peers = set(self._cells.cell.peers)
        for address in self._tasks.keys() - peers:
            self._tasks.pop(address).cancel()
            del self._outboxes[address]
        for address in peers:
            task = self._tasks.get(address)
            if task is not None and not task.done():
                continue
            self._outboxes[address] = _Outbox(reports=set(self._sent_reports))
            self._tasks[address] = asyncio.create_task(
                self._gossip_to_peer(address, self._outboxes[address])
            )
        long_ago = self._clock.monotonic() - PEER_TTL
        for address, peer_load in list(self._peer_loads.items()):
            if peer_load.received_at < long_ago:
                self._apply(peer_load, dict.fromkeys(peer_load.in_flight, 0))
                del self._peer_loads[address]

    async def receive(self, digest: ttypes.LoadDigest) -> ttypes.Empty:
        """Applies a peer's digest."""
        sender = digest.sender_address or ""
        peer_load = self._peer_loads.setdefault(sender, _PeerLoad())
        peer_load.received_at = self._clock.monotonic()
        in_flight = (
            dict.fromkeys(peer_load.in_flight, 0) if digest.complete else {}
        )
        for number, count in zip(
            digest.address_hashes or (), digest.in_flight or (), strict=True
        ):
            backend = self._backend_by_hash(number)
            if backend is not None:
                in_flight[backend.address] = count
        self._apply(peer_load, in_flight)
        self._apply_reports(digest)
        return ttypes.Empty()

    def _apply(self, peer_load: _PeerLoad, in_flight: dict[str, int]) -> None:
        for address, count in in_flight.items():
            backend = self._directory.find(address)
            before = peer_load.in_flight.pop(address, 0)
            if count:
                peer_load.in_flight[address] = count
            if backend is not None and count != before:
                self._tracker.note_peers(backend, count - before)

    def _apply_reports(self, digest: ttypes.LoadDigest) -> None:
        age = datetime.timedelta(milliseconds=digest.age_ms or 0)
        for received in load_digests.read_reports(digest):
            backend = self._directory.find(received.address)
            if backend is not None:
                self._directory.note_report(
                    backend,
                    received.report,
                    measured_at=self._clock.monotonic() - age,
                )

    async def _gossip_to_peer(self, address: str, outbox: _Outbox) -> None:
        while True:
            now = self._clock.monotonic()
            idle_for = now - outbox.sent_at
            pending = outbox.changed or outbox.reports or outbox.complete
            period = load_digests.SHORTEST_PERIOD
            if pending or idle_for >= KEEPALIVE_PERIOD:
                digest = self._take_digest(outbox)
                outbox.sent_at = now
                try:
                    await self._caller.call(
                        address, digest, timeout=CALL_TIMEOUT
                    )
                except (
                    peers_module.PeerUnreachableError,
                    peers_module.PeerRefusedError,
                ):
                    outbox.complete = True
                    outbox.reports.update(digest.addresses)
                period = load_digests.period_for(
                    peers=len(self._outboxes),
                    entries=len(digest.in_flight),
                    reports=len(digest.addresses),
                )
            await self._clock.sleep(period)

    def _take_digest(self, outbox: _Outbox) -> ttypes.LoadDigest:
        complete = outbox.complete
        outbox.complete = False
        if complete:
            changed = [b for b in self._directory.known() if b.in_flight]
        else:
            found = map(self._directory.find, outbox.changed)
            changed = [b for b in found if b is not None]
        outbox.changed.clear()
        digest = load_digests.write_in_flight(
            changed, complete=complete, sender_address=self._my_address
        )
        self._add_reports(digest, outbox)
        return digest

    def _add_reports(self, digest: ttypes.LoadDigest, outbox: _Outbox) -> None:
        """Moves the oldest reports, and those of similar age, to `digest`."""
        found = map(self._directory.find, outbox.reports)
        reported = [b for b in found if b is not None and b.report is not None]
        if not reported:
            outbox.reports.clear()
            return
        oldest = min(b.reported_at for b in reported)
        reported = [
            b for b in reported if b.reported_at - oldest <= MAX_AGE_SPREAD
        ]
        outbox.reports.difference_update(b.address for b in reported)
        load_digests.add_reports(
            digest, reported, age=self._clock.monotonic() - oldest
        )

    def _backend_by_hash(self, number: int) -> backends.Backend | None:
        if self._generation != self._directory.generation:
            self._generation = self._directory.generation
            self._by_hash = {}
            for backend in self._directory.known():
                key = load_digests.address_hash(backend.address)
                # If two have the same hash, entries for neither are applied;
                # load reports show what the peers run there.
                taken = key in self._by_hash
                self._by_hash[key] = None if taken else backend
        return self._by_hash.get(number)

    def _forget_backend(self, backend: backends.Backend) -> None:
        self._sent_reports.pop(backend.address, None)
        for peer_load in self._peer_loads.values():
            peer_load.in_flight.pop(backend.address, None)


def _is_worth_sending(
    backend: backends.Backend, sent: _SentReport, now: datetime.timedelta
) -> bool:
    report = backend.report
    if (report.loaded, report.leaving, report.capacity) != (
        sent.report.loaded,
        sent.report.leaving,
        sent.report.capacity,
    ):
        return True
    if now - sent.at >= REPORT_REPEAT:
        return True
    difference = abs(backend.external_in_flight - sent.external_in_flight)
    return difference > REPORT_CHANGE_SHARE * report.capacity
