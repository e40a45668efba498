"""Notices that this process stood still, and holds back new work then."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module

# A busy event loop is late by tens of milliseconds; a pause of the machine
# that is shorter than this costs less knowledge than the list's own lag.
MIN_PAUSE = datetime.timedelta(seconds=2)
# The list is read and the configuration's digests are exchanged each second,
# but reports come from peers, who took a long sleeper for dead and have to take
# it in again first. 2 s were tried: an engine that had left got work 3.2 s
# after the wake-up. Peers repeat all reports within 5 s.
CATCH_UP = datetime.timedelta(seconds=5)
TICK = datetime.timedelta(milliseconds=250)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class StallDetector:
    """Tells whether what this instance knows may date from before a pause.

    The failure: an instance is paused for seconds (SIGSTOP, a migrated
    virtual machine) with requests waiting in its sockets. It wakes, and sends
    them by what it knew: to backend servers that left meanwhile, on versions
    that were withdrawn meanwhile. Their age alone can't be the judge, since
    during an outage of the list or the store everybody's knowledge is old
    and must be used. The gap between two of its own ticks shows the pause at
    the first question after it, before any timer or socket was served; the
    callers are refused as not run for the little time that catching up takes.

    It is asked at the choice and once more as a generation is handed to the
    connection. What is left is a process that is stopped between that and the
    system call. Calls to plain services are asked for at the choice only.
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
        """Tells whether new work may be sent; always true until it runs."""
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
