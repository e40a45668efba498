"""Notices that this process stood still.

A process that is stopped, or whose machine is suspended, sees all that happened
meanwhile at once when it goes on. What it then learns by asking says nothing of
the time at which things happened.
"""

import datetime

from nutmeghook.internal.foundation import clock as clock_module

_PERIOD = datetime.timedelta(milliseconds=200)
# Longer than a busy event loop takes for one turn, and shorter than a replica
# takes to start again.
SHORTEST = datetime.timedelta(seconds=1)


class StandstillMonitor:
    """Remembers when this process last went on after a standstill."""

    __slots__ = ("_clock", "_ended_at", "_last_at", "_last_elapsed")

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        # Monotonic; None before the first standstill.
        self._ended_at: datetime.timedelta | None = None
        # Monotonic time and elapsed time when this process last checked; None
        # while nothing is watched.
        self._last_at: datetime.timedelta | None = None
        self._last_elapsed = datetime.timedelta()

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            self.check()
            self._last_at = self._clock.monotonic()
            self._last_elapsed = self._clock.elapsed()
            await self._clock.sleep(_PERIOD)

    def check(self) -> None:
        """Notes a standstill that has just ended."""
        if self._last_at is None:
            return
        if self._clock.elapsed() - self._last_elapsed > _PERIOD + SHORTEST:
            self._ended_at = self._clock.monotonic()

    def has_ended_since(self, at: datetime.timedelta) -> bool:
        """Tells whether a standstill has ended since a monotonic time."""
        self.check()
        return self._ended_at is not None and self._ended_at >= at
