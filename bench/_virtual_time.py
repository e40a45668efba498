"""An event loop whose time jumps to the next timer instead of waiting.

Simulates hours of a fleet in seconds, in a deterministic order. Unlike a fake
clock, it needs no idle loop iterations to let tasks settle.
"""

import asyncio
import datetime
import selectors

from nutmeghook.internal.foundation import clock as clock_module

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop for code that waits only for timers."""

    def __init__(self):
        super().__init__(_VirtualTimeSelector(loop=self))
        self.elapsed_s = 0.0

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.elapsed_s


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self, *, loop: VirtualTimeLoop):
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is scheduled")
        self._loop.elapsed_s += max(0.0, timeout)
        return super().select(0)


class LoopClock(clock_module.Clock):
    """The running loop's time as a clock."""

    def now(self) -> datetime.datetime:
        """Returns a fixed start plus the loop's time."""
        return _START + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Returns the loop's time."""
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits on the loop's time."""
        await asyncio.sleep(duration.total_seconds())


def run(scenario):
    """Runs a coroutine on a virtual time loop and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(scenario)
