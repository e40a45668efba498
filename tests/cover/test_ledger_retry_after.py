"""The retry delay of callers refused during a store outage."""

import asyncio
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.ledger import store_health
from nutmeghook.internal.observe import events

REFUSED_CALLERS = 400


async def probe_never_answers():
    """Stands for the probe of a store that stays out."""


def health_of(clock):
    return store_health.StoreHealth(
        name="table service",
        clock=clock,
        events=events.EventRing(clock=clock),
        rng=random.Random(1),
        failures_to_out=1,
        probe=probe_never_answers,
        probe_every=datetime.timedelta(seconds=1),
    )


class RetryAfterTest(unittest.TestCase):
    @hypothesis.given(strategies.integers(4, 3600))
    def test_retry_after_grows_and_spreads_as_an_outage_lasts(self, age_s):
        """With a fixed retry delay of one second, the callers refused over
        many seconds of an outage would all retry in each second. The delay
        must grow with the outage's age, be spread, and stay bounded, as the
        store may be back at any time.
        """
        clock = clock_module.FakeClock()
        health = health_of(clock)
        health.record_failure()
        asyncio.run(clock.advance(datetime.timedelta(seconds=age_s)))
        waits = [health.suggested_retry_after() for _ in range(REFUSED_CALLERS)]
        least = min(
            store_health.MAX_RETRY_AFTER, datetime.timedelta(seconds=age_s / 2)
        )
        self.assertGreaterEqual(min(waits), least)
        self.assertLessEqual(max(waits), store_health.MAX_RETRY_AFTER * 1.5)
        self.assertGreater(max(waits) - min(waits), least / 4)

    def test_retry_after_is_short_once_the_store_is_back(self):
        clock = clock_module.FakeClock()
        health = health_of(clock)
        health.record_failure()
        asyncio.run(clock.advance(datetime.timedelta(minutes=10)))
        health.record_success()
        self.assertLessEqual(
            health.suggested_retry_after(), store_health.MIN_RETRY_AFTER * 1.5
        )
