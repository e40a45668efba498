"""Detects pauses of this process and holds back new work after them."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module

# A busy event loop is late by tens of milliseconds. A pause shorter than this
# makes knowledge less stale than the instance list's own lag does.
MIN_PAUSE = datetime.timedelta(seconds=2)
# The list is read and the configuration's digests are exchanged each second,
# but load reports come from peers, which took a long-paused instance for dead
# and must first accept it again. They repeat all reports within 5 s; with a
# delay of 2 s, an engine that had left could get work 3.2 s after the pause.
CATCH_UP = datetime.timedelta(seconds=5)
TICK = datetime.timedelta(milliseconds=250)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class StallDetector:
    """Tells whether what this instance knows may date from before a pause.

    After a pause of seconds (SIGSTOP, a migrated virtual machine) an instance
    would send the requests waiting in its sockets to backend servers that
    left meanwhile, on versions that were withdrawn meanwhile. The age of its
    knowledge can't show that, since during an outage of the list or the store
    all knowledge is old and must be used. The gap between two of its own
    ticks shows the pause at the first call after it, before any timer or
    socket is served; until knowledge is fresh, callers are refused as not run.

    It is checked when a backend server is chosen and, for generations, again
    just before the first byte is written to the connection. A pause between
    the last check and the system call is not detected.
    """

    __slots__ = ("_clock", "_events", "_last_tick", "_may_send_at")

    def __init__(
        self, *, clock: clock_module.Clock, events: events_module.EventRing
    ):
        self._clock = clock
        self._events = events
        self._last_tick: datetime.timedelta | None = None
        self._may_send_at = clock.monotonic()

    def may_send(self) -> bool:
        """Tells whether new work may be sent; always true before `run`."""
        now = self._clock.monotonic()
        if self._last_tick is not None:
            self._check_pause(self._last_tick, now)
        return now >= self._may_send_at

    async def run(self) -> None:
        """Ticks until cancelled."""
        self._last_tick = self._clock.monotonic()
        while True:
            await self._clock.sleep(TICK)
            self._check_pause(self._last_tick, self._clock.monotonic())

    def _check_pause(
        self, last_tick: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        pause = now - last_tick
        self._last_tick = now
        if pause < MIN_PAUSE:
            return
        self._may_send_at = now + CATCH_UP
        self._events.record(
            events_module.EventKind.PROCESS_STOOD_STILL,
            "routing",
            pause_ms=str(pause // _MILLISECOND),
        )
