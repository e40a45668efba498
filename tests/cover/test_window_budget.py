"""Retry budgets over a window: attempts reserved for later."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import window_budget
from tests import relay_fixture

SECOND = relay_fixture.SECOND
BURST = 4
WINDOW = 10 * SECOND


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    def budget(self, clock) -> window_budget.WindowRetryBudget:
        """Returns a budget that does not depend on requests."""
        return window_budget.WindowRetryBudget(
            ratio=0.0, window=WINDOW, burst=BURST, clock=clock
        )

    async def test_a_released_reservation_frees_no_other_attempt(self):
        """A reservation is released after a window. That must not uncount an
        attempt that another request made meanwhile.
        """
        clock = clock_module.FakeClock()
        budget = self.budget(clock)
        self.assertTrue(budget.try_reserve())
        await clock.advance(WINDOW)
        sent = 0
        while budget.try_spend():
            sent += 1
        budget.release_reserved()
        self.assertEqual(budget.remaining(), BURST - sent)

    async def test_a_released_reservation_expires_no_attempt_early(self):
        """A reservation is released within its window. The other attempt must
        count for a whole window, not only until the reservation's would end.
        """
        clock = clock_module.FakeClock()
        budget = self.budget(clock)
        self.assertTrue(budget.try_reserve())
        await clock.advance(WINDOW / 2)
        self.assertTrue(budget.try_spend())
        budget.release_reserved()
        await clock.advance(WINDOW * 0.6)
        self.assertEqual(budget.remaining(), BURST - 1)

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                ["spend", "take", "take", "use", "give back", "wait", "wait"]
            ),
            min_size=12,
            max_size=60,
        )
    )
    def test_no_window_gets_more_attempts_than_are_allowed(self, steps):
        """Requests reserve attempts and spend or release them later, while
        others are retried. An attempt must count from when it is made, not from
        when it was reserved.
        """
        sent_s = asyncio.run(self.sent_s(steps))
        for last_s in sent_s:
            within = [s for s in sent_s if last_s - WINDOW.total_seconds() < s]
            within = [s for s in within if s <= last_s]
            self.assertLessEqual(len(within), BURST, sent_s)

    async def sent_s(self, steps: list[str]) -> list[float]:
        """Performs steps and returns when further attempts were made."""
        clock = clock_module.FakeClock()
        budget = self.budget(clock)
        taken = 0
        sent_s = []
        for step in steps:
            now_s = clock.monotonic().total_seconds()
            if step == "wait":
                await clock.advance(3 * SECOND)
            elif step == "spend" and budget.try_spend():
                sent_s.append(now_s)
            elif step == "take" and budget.try_reserve():
                taken += 1
            elif step == "use" and taken:
                taken -= 1
                budget.spend_reserved()
                sent_s.append(now_s)
            elif step == "give back" and taken:
                taken -= 1
                budget.release_reserved()
        return sent_s


if __name__ == "__main__":
    unittest.main()
