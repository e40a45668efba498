"""Tells the cell's peers what this instance has in flight and has polled."""

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
from nutmeghook.internal.routing import load_book
from nutmeghook.internal.routing import load_digests

# With nothing to tell, this often a digest says that the sender lives.
SILENT_PERIOD = datetime.timedelta(seconds=1)
# What a peer had in flight no longer counts after so much silence: it died,
# or is cut off. From then on only reports show it.
FORGET_PEER_AFTER = datetime.timedelta(seconds=5)
CALL_TIMEOUT = datetime.timedelta(seconds=1)
# A report is told again after this long, or when it shows this much more or
# less work from outside the cell, as a share of the batch.
REPORT_REPEAT = datetime.timedelta(seconds=5)
TOLD_DIFFERENCE_SHARE = 0.15
# One age is sent for all reports of a digest.
SAME_AGE = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Outbox:
    """What one peer was not told yet.

    Attributes:
        complete: Tell everything: the peer may have missed something.
    """

    changed: set[str] = dataclasses.field(default_factory=set)
    reports: set[str] = dataclasses.field(default_factory=set)
    complete: bool = True
    told_at: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(slots=True, kw_only=True)
class _Heard:
    """What one peer said it has in flight."""

    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
    heard_at: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Told:
    """A report as the peers were last told of it."""

    at: datetime.timedelta
    report: engine.LoadReport
    outside: float


class LoadSharer:
    """One task for each peer sends digests; the handler takes theirs in."""

    __slots__ = (
        "_book",
        "_by_hash",
        "_caller",
        "_cells",
        "_clock",
        "_directory",
        "_generation",
        "_heard",
        "_my_address",
        "_outboxes",
        "_tasks",
        "_told",
    )

    def __init__(
        self,
        *,
        caller: peers_module.PeerCaller,
        handlers: peers_module.PeerHandlers,
        my_address: str,
        cells: cells_module.CellView,
        directory: directory_module.BackendDirectory,
        book: load_book.LoadBook,
        clock: clock_module.Clock,
    ):
        self._caller = caller
        self._my_address = my_address
        self._cells = cells
        self._directory = directory
        self._book = book
        self._clock = clock
        self._outboxes: dict[str, _Outbox] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._heard: dict[str, _Heard] = {}
        self._told: dict[str, _Told] = {}
        self._by_hash: dict[int, backends.Backend | None] = {}
        self._generation = -1
        handlers.register(ttypes.LoadDigest, self.receive)
        directory.on_forget(self._forget_backend)

    def note_own_change(self, backend: backends.Backend) -> None:
        """Has the peers told that the own attempts in flight changed."""
        for outbox in self._outboxes.values():
            outbox.changed.add(backend.address)

    def note_report(self, backend: backends.Backend) -> None:
        """Has the peers told of a report, if it says something new."""
        now = self._clock.monotonic()
        told = self._told.get(backend.address)
        if told is not None and not _is_news(backend, told, now):
            return
        self._told[backend.address] = _Told(
            at=now, report=backend.report, outside=backend.outside
        )
        for outbox in self._outboxes.values():
            outbox.reports.add(backend.address)

    async def run(self) -> None:
        """Keeps the cell and a task for each of its peers until cancelled."""
        try:
            while True:
                self.refresh()
                await self._clock.sleep(SILENT_PERIOD)
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()

    def refresh(self) -> None:
        """Follows changes of the cell; forgets peers that fell silent."""
        self._cells.refresh()
        peers = set(self._cells.cell.peers)
        for address in self._tasks.keys() - peers:
            self._tasks.pop(address).cancel()
            del self._outboxes[address]
        for address in peers:
            task = self._tasks.get(address)
            if task is not None and not task.done():
                continue
            self._outboxes[address] = _Outbox(reports=set(self._told))
            self._tasks[address] = asyncio.create_task(
                self._tell_peer(address, self._outboxes[address])
            )
        long_ago = self._clock.monotonic() - FORGET_PEER_AFTER
        for address, heard in list(self._heard.items()):
            if heard.heard_at < long_ago:
                self._apply(heard, dict.fromkeys(heard.in_flight, 0))
                del self._heard[address]

    async def receive(self, digest: ttypes.LoadDigest) -> ttypes.Empty:
        """Takes in a peer's digest."""
        sender = digest.sender_address or ""
        heard = self._heard.setdefault(sender, _Heard())
        heard.heard_at = self._clock.monotonic()
        in_flight = dict.fromkeys(heard.in_flight, 0) if digest.complete else {}
        for number, count in zip(
            digest.address_hashes or (), digest.in_flight or (), strict=True
        ):
            backend = self._backend_by_hash(number)
            if backend is not None:
                in_flight[backend.address] = count
        self._apply(heard, in_flight)
        self._apply_reports(digest)
        return ttypes.Empty()

    def _apply(self, heard: _Heard, in_flight: dict[str, int]) -> None:
        for address, count in in_flight.items():
            backend = self._directory.find(address)
            before = heard.in_flight.pop(address, 0)
            if count:
                heard.in_flight[address] = count
            if backend is not None and count != before:
                self._book.note_peers(backend, count - before)

    def _apply_reports(self, digest: ttypes.LoadDigest) -> None:
        age = datetime.timedelta(milliseconds=digest.age_ms or 0)
        for told in load_digests.read_reports(digest):
            backend = self._directory.find(told.address)
            if backend is not None:
                self._directory.note_report(
                    backend,
                    told.report,
                    measured_at=self._clock.monotonic() - age,
                )

    async def _tell_peer(self, address: str, outbox: _Outbox) -> None:
        while True:
            now = self._clock.monotonic()
            silent_for = now - outbox.told_at
            pending = outbox.changed or outbox.reports or outbox.complete
            period = load_digests.SHORTEST_PERIOD
            if pending or silent_for >= SILENT_PERIOD:
                digest = self._take_digest(outbox)
                outbox.told_at = now
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
        """Moves the oldest reports, and those of about their age, over."""
        found = map(self._directory.find, outbox.reports)
        told = [b for b in found if b is not None and b.report is not None]
        if not told:
            outbox.reports.clear()
            return
        oldest = min(b.reported_at for b in told)
        told = [b for b in told if b.reported_at - oldest <= SAME_AGE]
        outbox.reports.difference_update(b.address for b in told)
        load_digests.add_reports(
            digest, told, age=self._clock.monotonic() - oldest
        )

    def _backend_by_hash(self, number: int) -> backends.Backend | None:
        if self._generation != self._directory.generation:
            self._generation = self._directory.generation
            self._by_hash = {}
            for backend in self._directory.known():
                key = load_digests.address_hash(backend.address)
                # Two with one hash: neither can be told of, and reports show
                # what the peers run there.
                taken = key in self._by_hash
                self._by_hash[key] = None if taken else backend
        return self._by_hash.get(number)

    def _forget_backend(self, backend: backends.Backend) -> None:
        self._told.pop(backend.address, None)
        for heard in self._heard.values():
            heard.in_flight.pop(backend.address, None)


def _is_news(
    backend: backends.Backend, told: _Told, now: datetime.timedelta
) -> bool:
    report = backend.report
    if (report.loaded, report.leaving, report.capacity) != (
        told.report.loaded,
        told.report.leaving,
        told.report.capacity,
    ):
        return True
    if now - told.at >= REPORT_REPEAT:
        return True
    difference = abs(backend.outside - told.outside)
    return difference > TOLD_DIFFERENCE_SHARE * report.capacity
