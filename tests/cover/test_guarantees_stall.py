"""An instance that was paused sends nothing by its stale knowledge."""

import asyncio
import contextlib
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import stall_detector

MS = datetime.timedelta(milliseconds=1)
ADDRESS = "10.0.0.1:7000"


class StallTest(unittest.TestCase):
    """The stall detector of one instance that is frozen and thawed."""

    @hypothesis.given(
        ran_ms=strategies.integers(0, 5_000),
        pause_ms=strategies.integers(0, 10_000),
        asked_first=strategies.booleans(),
    )
    @hypothesis.example(ran_ms=0, pause_ms=10_000, asked_first=True)
    @hypothesis.example(ran_ms=10, pause_ms=10_000, asked_first=False)
    def test_a_long_pause_holds_back_new_work(
        self, ran_ms, pause_ms, asked_first
    ):
        """After a pause of 2 s or more, work would be sent by old knowledge.

        Whether a request or the detector's own timer is served first, new
        work is held back until `CATCH_UP` is over. After a shorter pause it
        is sent at once.
        """
        asyncio.run(self.pause(ran_ms * MS, pause_ms * MS, asked_first))

    async def pause(self, ran, pause, asked_first):
        clock = clock_module.FakeClock()
        network = local.LocalNetwork(clock=clock)
        own = network.clock_of(ADDRESS)
        events = events_module.EventRing(clock=own)
        detector = stall_detector.StallDetector(clock=own, events=events)
        self.assertTrue(detector.may_send())
        ticking = asyncio.create_task(detector.run())
        await clock.advance(ran)
        self.assertTrue(detector.may_send())
        network.freeze(ADDRESS)
        await clock.advance(pause)
        if not asked_first:
            network.thaw(ADDRESS)
            await clock.advance(0 * MS)
        is_stall = pause >= stall_detector.MIN_PAUSE
        self.assertEqual(detector.may_send(), not is_stall)
        network.thaw(ADDRESS)
        await clock.advance(stall_detector.CATCH_UP - MS)
        self.assertEqual(detector.may_send(), not is_stall)
        await clock.advance(MS)
        self.assertTrue(detector.may_send())
        kinds = [event.kind for event in events.since(0)]
        stalled = [events_module.EventKind.PROCESS_STOOD_STILL]
        self.assertEqual(kinds, stalled if is_stall else [])
        ticking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await ticking
