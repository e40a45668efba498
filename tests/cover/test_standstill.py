"""Standstills of a process, and suspensions of its machine."""

import asyncio
import datetime
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import standstill

_SECOND = datetime.timedelta(seconds=1)


class SuspendedClock(clock_module.FakeClock):
    """A clock of a machine that was suspended for some time."""

    suspended = datetime.timedelta()

    def elapsed(self) -> datetime.timedelta:
        return self.monotonic() + self.suspended


class StandstillTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = SuspendedClock()
        self.monitor = standstill.StandstillMonitor(clock=self.clock)
        running = asyncio.create_task(self.monitor.run())
        self.addCleanup(running.cancel)
        for _ in range(10):
            await self.clock.advance(_SECOND / 5)

    async def test_time_that_passes_turn_by_turn_is_no_standstill(self):
        self.assertFalse(self.monitor.has_ended_since(datetime.timedelta()))

    async def test_a_suspension_that_the_monotonic_clock_misses_is_one(self):
        began_at = self.clock.monotonic()
        self.clock.suspended = 4 * _SECOND
        self.assertTrue(self.monitor.has_ended_since(began_at))
        await self.clock.advance(_SECOND / 5)
        await self.clock.advance(_SECOND / 5)
        self.assertTrue(self.monitor.has_ended_since(began_at))
        now = self.clock.monotonic()
        self.assertFalse(self.monitor.has_ended_since(now))


if __name__ == "__main__":
    unittest.main()
