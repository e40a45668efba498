"""Limits that follow service, and the bound on retries."""

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
    """However many attempts fail, few are repeated."""

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
        """A pool goes down and every attempt on it fails.

        Each request would retry twice and hedge once: four times the load on
        a pool that is down because of load. Over any stretch of requests,
        those allowed are their share plus what a small bucket holds.
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

    def test_a_pool_in_trouble_leaves_the_others_their_retries(self):
        budgets = retry_budget.RetryBudgets()
        while budgets.budget_for("down").try_spend():
            pass
        self.assertTrue(budgets.budget_for("healthy").try_spend())


class ServiceRateTest(unittest.TestCase):
    """What requests that were broken off tell of the service."""

    def test_only_long_ones_count(self):
        """Callers hang up: some at once, some after a very long wait.

        The first say nothing of the service, and would make it look fast.
        The second may be all there is to learn from when every answer takes
        longer than its deadline.
        """
        rate = service_rate.ServiceRate()
        rate.note(cost_tokens=100, duration=SECOND, completed=True)
        for _ in range(50):
            rate.note(cost_tokens=100, duration=0.1 * SECOND, completed=False)
        self.assertEqual(rate.tokens_per_s(1), 100)
        for _ in range(50):
            rate.note(cost_tokens=100, duration=9 * SECOND, completed=False)
        self.assertLess(rate.tokens_per_s(1), 20)


class FollowingLimitTest(unittest.TestCase):
    """The places through overload, a brown-out and their ends."""

    def test_refusals_cut_deep_and_the_limit_recovers(self):
        """The engines refuse nearly everything, then all is well again.

        Callers see refusals either way; but while they last they must come
        from here and not from engines that are kept busy refusing, and
        afterwards the places must all come back.
        """
        limit = adaptive_limit.AdaptiveLimit(ceiling=40)
        _serve(limit, pace_s=0.03, count=100)
        self.assertEqual(limit.slots, 40)
        _serve(limit, pace_s=0, count=400, overloaded=True)
        self.assertLessEqual(limit.slots, 4)
        _serve(limit, pace_s=0.03, count=100)
        self.assertEqual(limit.slots, 40)

    @hypothesis.given(strategies.integers(1, 60), strategies.integers(0, 40))
    def test_places_come_back_from_any_cut(self, most, refusals):
        """Callers of a healthy engine pool wait for places that stay cut.

        Refusals cut the places to a fraction over a whole number. All whole
        places are taken from then on, and the places must all come back.
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

    def test_a_lasting_change_of_pace_is_accepted_in_the_end(self):
        """Prompts become longer for good, and each token twice as slow.

        If the first pace were remembered for ever, half of the engines would
        stand idle from then on.
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
    def test_the_places_stay_between_one_and_the_ceiling(self, steps):
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

    def test_it_follows_engines_and_survives_the_loss_of_all_reports(self):
        """Half of the engines leave; later all reports are missing.

        The first must be felt at once. The second is a fault of reporting:
        if it closed all places, no request would be served by engines that
        are well.
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
        follower = ceiling.CeilingUpdater(
            limit=limit,
            known=lambda: known,
            members=members.FixedMemberView(myself=myself, others=(myself,)),
            clock=clock.FakeClock(),
            max_slots=500,
        )
        follower.update()
        self.assertEqual(limit.slots, 68)
        for backend in known[:4]:
            backend.leaving = True
        follower.update()
        self.assertEqual(limit.slots, 35)
        for backend in known:
            backend.report = None
        follower.update()
        self.assertEqual(limit.slots, 35)
