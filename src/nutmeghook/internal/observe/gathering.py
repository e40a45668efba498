"""Gathers the events of all instances for one timeline.

An operator may be able to reach only the load balancer, so the instance that
is asked fetches the events of the others over the inner protocol.
"""

import asyncio
import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.observe import timeline

# A page of 1,000 events is about 200 KB, far below the frame size limit.
EVENTS_PER_PAGE = 1000
MAX_PAGES = 100
MAX_CONCURRENT_PEERS = 8
_TIMEOUT = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[events_module.Event])


class EventsGatherer:
    """Serves this instance's events, and fetches those of all instances."""

    __slots__ = ("_caller", "_clock", "_members", "_ring")

    def __init__(
        self,
        *,
        ring: events_module.EventRing,
        members: members_module.MemberView,
        caller: peers.PeerCaller,
        handlers: peers.PeerHandlers,
        clock: clock_module.Clock,
    ):
        self._ring = ring
        self._members = members
        self._caller = caller
        self._clock = clock
        handlers.register(ttypes.EventsPull, self.handle)

    async def handle(self, message: ttypes.EventsPull) -> ttypes.EventsPage:
        """Returns a page of this instance's events."""
        kept = self._ring.since(message.after_sequence)[:EVENTS_PER_PAGE]
        return ttypes.EventsPage(
            incarnation=self._members.myself.incarnation,
            events=_encoder.encode(kept),
            monotonic_ms=self._clock.monotonic() / _MILLISECOND,
            wall_ms=self._clock.now().timestamp() * 1000,
        )

    async def gather(self) -> list[timeline.ProcessEvents]:
        """Returns the kept events of every reachable instance.

        An unreachable instance is left out; it keeps its events for a later
        call.
        """
        slots = asyncio.Semaphore(MAX_CONCURRENT_PEERS)

        async def fetch(
            member: members_module.Member,
        ) -> timeline.ProcessEvents | None:
            async with slots:
                try:
                    return await self._fetch(member)
                except (peers.PeerUnreachableError, peers.PeerRefusedError):
                    return None

        fetched = await asyncio.gather(
            *(fetch(member) for member in self._members.members())
        )
        return [process for process in fetched if process is not None]

    async def _fetch(
        self, member: members_module.Member
    ) -> timeline.ProcessEvents:
        gathered: list[events_module.Event] = []
        best = _ClockReading(offset_ms=0.0, uncertainty_ms=float("inf"))
        incarnation = member.incarnation
        for _ in range(MAX_PAGES):
            after = gathered[-1].sequence if gathered else 0
            page, reading = await self._pull(member, after)
            best = min(best, reading, key=lambda r: r.uncertainty_ms)
            incarnation = page.incarnation
            newer = _decoder.decode(page.events)
            gathered += newer
            if len(newer) < EVENTS_PER_PAGE:
                break
        return timeline.ProcessEvents(
            process=f"{member.data_centre} {member.inner_address}"
            f" {incarnation}",
            offset_ms=best.offset_ms,
            uncertainty_ms=best.uncertainty_ms,
            events=gathered,
        )

    async def _pull(
        self, member: members_module.Member, after: int
    ) -> tuple[ttypes.EventsPage, "_ClockReading"]:
        request = ttypes.EventsPull(after_sequence=after)
        myself = self._members.myself
        if member.inner_address == myself.inner_address:
            page = await self.handle(request)
            return page, _ClockReading(offset_ms=0.0, uncertainty_ms=0.0)
        asked_ms = self._clock.now().timestamp() * 1000
        started = self._clock.monotonic()
        page = await self._caller.call(
            member.inner_address, request, timeout=_TIMEOUT
        )
        round_trip_ms = (self._clock.monotonic() - started) / _MILLISECOND
        # The peer read its clock at some time within the round trip, so that
        # its middle is wrong by at most half the round trip.
        middle_ms = asked_ms + round_trip_ms / 2
        return page, _ClockReading(
            offset_ms=middle_ms - page.wall_ms,
            uncertainty_ms=round_trip_ms / 2,
        )


class _ClockReading(msgspec.Struct, frozen=True, kw_only=True):
    """A peer's wall clock offset, and its uncertainty."""

    offset_ms: float
    uncertainty_ms: float
