"""An interface to clocks, with a fake that tests advance by hand."""

import abc
import asyncio
from collections.abc import Awaitable
import datetime
import heapq
import itertools
import time
from typing import TypeVar

_T = TypeVar("_T")


class Clock(abc.ABC):
    """Reads time and waits for it to pass.

    Deadlines and leases use `monotonic`; `now` is for people and for rows
    that other processes read, and may jump.
    """

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the wall time in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary start; it never goes back."""

    def elapsed(self) -> datetime.timedelta:
        """Returns a monotonic time that counts suspensions of the machine."""
        return self.monotonic()

    def processor_time(self) -> datetime.timedelta:
        """Returns the processor time of this process; 0 where not measured."""
        return datetime.timedelta()

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits until `duration` has passed on this clock."""

    async def wait_for(
        self, awaitable: Awaitable[_T], duration: datetime.timedelta
    ) -> _T:
        """Awaits a result for at most `duration`.

        Raises:
            TimeoutError: The time ran out; the awaitable was cancelled.
        """
        work = asyncio.ensure_future(awaitable)
        timer = asyncio.ensure_future(self.sleep(duration))
        try:
            await asyncio.wait(
                {work, timer}, return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                return work.result()
            raise TimeoutError(f"no result within {duration}")
        finally:
            timer.cancel()
            if not work.done():
                work.cancel()
                # As with `asyncio.timeout`, the cancelled work cleans up before
                # the caller continues.
                await asyncio.wait({work})
            if not work.cancelled():
                # If the caller was cancelled, nobody else asks for its failure.
                work.exception()


class SystemClock(Clock):
    """The clocks of the machine."""

    __slots__ = ()

    def now(self) -> datetime.datetime:
        """Returns the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the machine's arbitrary start."""
        return datetime.timedelta(seconds=time.monotonic())

    def elapsed(self) -> datetime.timedelta:
        """Returns the time since the machine's start, suspensions included."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    def processor_time(self) -> datetime.timedelta:
        """Returns the processor time that this process has used."""
        return datetime.timedelta(seconds=time.process_time())

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits until `duration` has passed."""
        await asyncio.sleep(duration.total_seconds())

    async def wait_for(
        self, awaitable: Awaitable[_T], duration: datetime.timedelta
    ) -> _T:
        """Awaits a result for at most `duration`."""
        async with asyncio.timeout(duration.total_seconds()):
            return await awaitable


class FakeClock(Clock):
    """A clock that moves only when a test advances it."""

    __slots__ = ("_elapsed", "_order", "_sleepers", "_start")

    def __init__(
        self,
        *,
        start: datetime.datetime = datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        ),
    ):
        self._start = start
        self._elapsed = datetime.timedelta()
        self._order = itertools.count()
        self._sleepers: list[
            tuple[datetime.timedelta, int, asyncio.Future[None]]
        ] = []

    def now(self) -> datetime.datetime:
        """Returns the start plus all that the test has advanced."""
        return self._start + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """Returns all that the test has advanced."""
        return self._elapsed

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits until the test has advanced the clock by `duration`."""
        if duration <= datetime.timedelta():
            await asyncio.sleep(0)
            return
        waker: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._sleepers,
            (self._elapsed + duration, next(self._order), waker),
        )
        await waker

    async def advance(self, duration: datetime.timedelta) -> None:
        """Advances the time, waking each sleeper in order at its moment."""
        end = self._elapsed + duration
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            moment, _, waker = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, moment)
            if not waker.done():
                waker.set_result(None)
            await self._settle()
        self._elapsed = end

    async def _settle(self) -> None:
        # Woken tasks may start others. This fixed number of turns of the event
        # loop suffices for in-process fakes to run to their next sleep.
        for _ in range(50):
            await asyncio.sleep(0)
