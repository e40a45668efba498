"""Bodies that stall give up their room to others."""

import datetime
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import held_bytes
from nutmeghook.internal.relay import request_bytes

SECOND = datetime.timedelta(seconds=1)
MEGABYTE = 1_000_000


class ArrivingBodiesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.account = held_bytes.HeldBytes(
            bound_bytes=40 * MEGABYTE,
            metrics=metrics_module.Metrics(),
            clock=self.clock,
        )

    def arriving(
        self, *, refuse=lambda: None, time_left=60 * SECOND
    ) -> request_bytes.RequestBytes:
        """Returns a request whose body is not complete."""
        held = self.account.begin(
            measure_writes=lambda: request_bytes.WriteProgress(
                read_bytes=0, unsent_bytes=0
            ),
            cut=lambda: None,
        )
        context = held.arriving(
            deadline=self.clock.monotonic() + time_left, refuse=refuse
        )
        context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        return held

    async def test_the_slowest_body_goes_first(self):
        """Bodies that stopped short kept out all that came after them."""
        refused = []
        stalled = self.arriving(refuse=lambda: refused.append("stalled"))
        self.assertTrue(stalled.try_hold_body(15 * MEGABYTE))
        await self.clock.advance(10 * SECOND)
        steady = self.arriving(refuse=lambda: refused.append("steady"))
        self.assertTrue(steady.try_hold_body(15 * MEGABYTE))
        await self.clock.advance(2 * SECOND)
        self.assertTrue(self.arriving().try_hold_body(4 * MEGABYTE))
        self.assertEqual(refused, ["stalled"])

    def test_a_body_that_has_just_begun_is_refused_for_nobody(self):
        """A body must not be refused before it had the time to come."""
        refuse = mock.Mock()
        self.assertTrue(
            self.arriving(refuse=refuse).try_hold_body(30 * MEGABYTE)
        )
        self.assertFalse(self.arriving().try_hold_body(4 * MEGABYTE))
        refuse.assert_not_called()

    async def test_a_body_is_refused_at_its_deadline(self):
        """A stalled body was waited for as long as its caller liked."""
        refuse = mock.Mock()
        held = self.arriving(refuse=refuse, time_left=3 * SECOND)
        held.try_hold_body(1000)
        for _ in range(2):
            await self.clock.advance(SECOND)
            self.account.sweep()
        refuse.assert_not_called()
        await self.clock.advance(SECOND)
        self.account.sweep()
        refuse.assert_called_once()
        self.assertEqual(self.account.total_bytes, 0)

    @hypothesis.given(
        sizes=strategies.lists(
            strategies.integers(1, 8 * MEGABYTE), min_size=1, max_size=40
        )
    )
    def test_small_bodies_fit_beside_any_large_ones(self, sizes):
        """Large bodies that filled the bound kept out ordinary requests."""
        self.setUp()
        for size in sizes:
            self.arriving().try_hold_body(size)
        self.assertLessEqual(self.account.total_bytes, 40 * MEGABYTE)
        large = [size for size in sizes if size > 64 * 1024]
        if len(large) == len(sizes):
            self.assertTrue(self.arriving().try_hold_body(64 * 1024))


if __name__ == "__main__":
    unittest.main()
