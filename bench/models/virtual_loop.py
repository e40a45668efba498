"""An event loop on virtual time, for models of asyncio code.

Product code that sleeps and waits runs on it unchanged: instead of waiting
for the next timer, the loop advances its time to it. Events therefore run as
fast as they compute, always in the same order.
"""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any

from nutmeghook.internal.foundation import clock


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the time instead of waiting; there are no sockets."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the time by the timeout."""
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is scheduled")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """The loop; its time starts at 0."""

    def __init__(self):
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._time_selector.now_s


class LoopClock(clock.Clock):
    """The clock of a virtual loop."""

    __slots__ = ("_loop",)

    def __init__(self, *, loop: VirtualLoop):
        self._loop = loop

    def now(self) -> datetime.datetime:
        """Returns the virtual time as a wall time."""
        start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        return start + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Returns the virtual time."""
        return datetime.timedelta(seconds=self._loop.time())

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits until `duration` has passed."""
        await asyncio.sleep(duration.total_seconds())


def run(loop: VirtualLoop, main: Coroutine[Any, Any, None]) -> None:
    """Runs a simulation to its end and cancels the remaining tasks."""
    try:
        loop.run_until_complete(main)
        remaining = asyncio.all_tasks(loop)
        for task in remaining:
            task.cancel()
        loop.run_until_complete(
            asyncio.gather(*remaining, return_exceptions=True)
        )
    finally:
        loop.close()
