"""Limits that adapt to service, and the bound on retries."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock
from nutmeghook.internal.limits import adaptive_limit
from nutmeghook.internal.limits import ceiling
from nutmeghook.internal.limits import retry_budget
from nutmeghook.internal.limits import service_rate
from nutmeghook.internal.membership import members
from nutmeghook.internal.routing import backends

SECOND = datetime.timedelta(seconds=1)


def _serve(limit, *, pace_s, count, overloaded=False):
    for _ in range(count):
        limit.note(
            duration=100 * pace_s * SECOND,
            overloaded=overloaded,
            work_tokens=100,
            running=limit.slots,
        )


class RetryStormTest(unittest.TestCase):
    """However many attempts fail, few are retried."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(), strategies.integers(1, 80)
            ),
            max_size=8,
        ),
        strategies.sampled_from([0.02, 0.08, 0.1]),
    )
    def test_retries_stay_within_their_share(self, phases, share):
        """Every attempt on a pool fails, and each request would retry twice
        and hedge once: four times the load on an overloaded pool.

        Over any run of requests, no more may be permitted than their share
        plus what the bucket holds.
        """
        wants_retry = [wants for wants, count in phases for _ in range(count)]
        budget = retry_budget.TokenBucketRetryBudget(
            share=share, burst_attempts=2
        )
        spent_at = []
        for number, wants in enumerate(wants_retry):
            budget.note_request()
            for _ in range(3 if wants else 0):
                if budget.try_spend():
                    spent_at.append(number)
        for index, start in enumerate(spent_at):
            for later, end in enumerate(spent_at[index:], start=1):
                allowed = 2 + share * (end - start + 1)
                self.assertLessEqual(later, allowed + 1e-6)

    def test_pools_have_separate_retry_budgets(self):
        budgets = retry_budget.RetryBudgets()
        while budgets.budget_for("down").try_spend():
            pass
        self.assertTrue(budgets.budget_for("healthy").try_spend())


class ServiceRateTest(unittest.TestCase):
    """What requests that did not complete say about the service rate."""

    def test_only_long_ones_count(self):
        """Callers disconnect, some at once, some after a very long wait.

        The first would make the service look fast, and must not count. The
        second must count: they are all there is to learn from when every
        answer takes longer than its deadline.
        """
        rate = service_rate.ServiceRate()
        rate.note(cost_tokens=100, duration=SECOND, completed=True)
        for _ in range(50):
            rate.note(cost_tokens=100, duration=0.1 * SECOND, completed=False)
        self.assertEqual(rate.tokens_per_s(1), 100)
        for _ in range(50):
            rate.note(cost_tokens=100, duration=9 * SECOND, completed=False)
        self.assertLess(rate.tokens_per_s(1), 20)


class AdaptiveLimitTest(unittest.TestCase):
    """The slots during and after overload and brown-outs."""

    def test_refusals_cut_deep_and_the_limit_recovers(self):
        """The engines refuse everything for a while, then recover.

        Meanwhile requests must be refused here, so that engines are not kept
        busy refusing; afterwards all slots must be restored.
        """
        limit = adaptive_limit.AdaptiveLimit(ceiling=40)
        _serve(limit, pace_s=0.03, count=100)
        self.assertEqual(limit.slots, 40)
        _serve(limit, pace_s=0, count=400, overloaded=True)
        self.assertLessEqual(limit.slots, 4)
        _serve(limit, pace_s=0.03, count=100)
        self.assertEqual(limit.slots, 40)

    @hypothesis.given(strategies.integers(1, 60), strategies.integers(0, 40))
    def test_slots_recover_from_any_cut(self, most, refusals):
        """Refusals cut the slots to a fractional number.

        All whole slots are in use from then on, and that must count as full
        use, so that all slots are restored.
        """
        limit = adaptive_limit.AdaptiveLimit(ceiling=most)
        _serve(limit, pace_s=0, count=10 * refusals, overloaded=True)
        _serve(limit, pace_s=0.03, count=400)
        self.assertEqual(limit.slots, most)

    def test_a_brown_out_cuts_to_half_and_no_further(self):
        limit = adaptive_limit.AdaptiveLimit(ceiling=40)
        _serve(limit, pace_s=0.03, count=100)
        _serve(limit, pace_s=0.3, count=200)
        self.assertEqual(limit.slots, 20)
        _serve(limit, pace_s=0.03, count=100)
        self.assertEqual(limit.slots, 40)

    def test_a_lasting_change_of_pace_becomes_the_baseline(self):
        """Prompts become longer for good, and each token twice as slow.

        If the baseline never changed, half of the engines would stay idle.
        """
        limit = adaptive_limit.AdaptiveLimit(ceiling=40)
        _serve(limit, pace_s=0.03, count=100)
        _serve(limit, pace_s=0.06, count=200)
        self.assertEqual(limit.slots, 20)
        _serve(limit, pace_s=0.06, count=20_000)
        self.assertEqual(limit.slots, 40)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 10),
                strategies.booleans(),
                strategies.integers(0, 1000),
                strategies.integers(1, 100),
            ),
            max_size=200,
        )
    )
    def test_the_slots_stay_between_one_and_the_ceiling(self, steps):
        limit = adaptive_limit.AdaptiveLimit(ceiling=50)
        for duration_s, overloaded, work_tokens, number in steps:
            limit.note(
                duration=duration_s * SECOND,
                overloaded=overloaded,
                work_tokens=work_tokens,
                running=number,
            )
            if work_tokens % 50 == 7:
                limit.set_ceiling(number)
                self.assertLessEqual(limit.slots, number)
            self.assertGreaterEqual(limit.slots, 1)


class CeilingTest(unittest.TestCase):
    """The instance's share of what the engines can hold."""

    def test_it_follows_engines_but_ignores_the_loss_of_all_reports(self):
        """Half of the engines leave; later all reports are missing.

        The first must take effect at once. The second is a fault of reporting:
        if it closed all slots, healthy engines would serve nothing.
        """
        known = [
            backends.Backend(
                address=f"10.0.1.{i}:80",
                region="r",
                data_centre="c",
                service="pool",
                report=engine.LoadReport(
                    loaded=(), running=0, waiting=0, capacity=16
                ),
            )
            for i in range(8)
        ]
        limit = adaptive_limit.AdaptiveLimit(ceiling=1000)
        myself = members.Member(
            inner_address="a", incarnation="i", region="r", data_centre="c"
        )
        updater = ceiling.CeilingUpdater(
            limit=limit,
            known=lambda: known,
            members=members.FixedMemberView(myself=myself, others=(myself,)),
            clock=clock.FakeClock(),
            max_slots=500,
        )
        updater.update()
        self.assertEqual(limit.slots, 68)
        for backend in known[:4]:
            backend.leaving = True
        updater.update()
        self.assertEqual(limit.slots, 35)
        for backend in known:
            backend.report = None
        updater.update()
        self.assertEqual(limit.slots, 35)
