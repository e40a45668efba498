"""When callers that a store outage turned away are told to come back."""

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
    """Probes a store that stays out."""


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
        """The table service is out for an hour. Every refused caller was told
        to come back after one second, so at the planned peak the refused of
        many seconds came back in each. They must be told later the longer it
        lasts, never all the same moment, and never after the bound: the store
        may be back any time.
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
