"""The fake clock behaves like a real one, so that tests can rely on it."""

import asyncio
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock


class FakeClockTest(unittest.TestCase):
    """Sleepers wake in order and in time."""

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 1000), min_size=1)
    )
    def test_sleepers_wake_in_order_each_at_its_moment(self, sleeps_ms):
        woken = []

        async def scenario():
            fake = clock.FakeClock()

            async def sleeper(sleep_ms):
                await fake.sleep(datetime.timedelta(milliseconds=sleep_ms))
                woken.append((sleep_ms, fake.monotonic()))

            tasks = [asyncio.ensure_future(sleeper(s)) for s in sleeps_ms]
            await fake.advance(datetime.timedelta(seconds=1))
            await asyncio.gather(*tasks)

        asyncio.run(scenario())
        self.assertEqual([w[0] for w in woken], sorted(sleeps_ms))
        for sleep_ms, moment in woken:
            self.assertEqual(moment, datetime.timedelta(milliseconds=sleep_ms))
        woken.clear()

    def test_wait_for_gives_up_on_the_fake_clock(self):
        async def scenario():
            fake = clock.FakeClock()
            never = asyncio.get_running_loop().create_future()
            waiting = asyncio.ensure_future(
                fake.wait_for(never, datetime.timedelta(seconds=2))
            )
            await fake.advance(datetime.timedelta(seconds=1))
            self.assertFalse(waiting.done())
            await fake.advance(datetime.timedelta(seconds=1))
            with self.assertRaises(TimeoutError):
                await waiting
            self.assertTrue(never.cancelled())

        asyncio.run(scenario())
