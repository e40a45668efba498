"""Admission under load: which requests run, are refused, and when."""

import asyncio
import collections
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.limits import fair_admission
from nutmeghook.internal.limits import token_budget
from nutmeghook.internal.membership import members

SECOND = datetime.timedelta(seconds=1)


def _members(count):
    made = [
        members.Member(
            inner_address=f"10.0.0.{i}:7000",
            incarnation=f"{i}",
            region="r",
            data_centre="d",
        )
        for i in range(count)
    ]
    return members.FixedMemberView(myself=made[0], others=tuple(made[1:]))


class AdmissionHarness:
    """An admission on a fake clock, and the outcomes of its callers."""

    def __init__(self, *, slots=2, member_count=1):
        self.clock = clock_module.FakeClock()
        self.limit = concurrency_limit.FixedLimit(slots=slots)
        self.admission = fair_admission.FairAdmission(
            clock=self.clock,
            randomness=random.Random(1),
            limit=self.limit,
            budgets=token_budget.TokenBudgets(
                clock=self.clock,
                members=_members(member_count),
            ),
        )
        self.ran = []
        self.refused = []
        self.most_running = 0

    def ask(self, team="a", *, deadline_s=10.0, runs_s=1.0, **fields):
        """Starts a caller, whose outcome goes to `ran` or `refused`."""
        request = admission.AdmissionRequest(
            **{
                "team": team,
                "template": "t",
                "weight": 1.0,
                "priority": 5,
                "deadline": self.clock.monotonic() + deadline_s * SECOND,
                "cost_tokens": 100,
                **fields,
            }
        )
        return asyncio.ensure_future(self._caller(request, runs_s))

    async def _caller(self, request, runs_s):
        try:
            async with self.admission.admitted(request):
                running = self.admission.running
                self.most_running = max(self.most_running, running)
                await self.clock.sleep(runs_s * SECOND)
                self.ran.append((request, self.clock.monotonic()))
        except errors.CodedError as error:
            self.refused.append((request, self.clock.monotonic(), error))

    async def warm_up(self):
        """Lets it measure that one slot serves 100 tokens a second."""
        for _ in range(5):
            self.ask()
            await self.clock.advance(1 * SECOND)
        self.ran.clear()


def _run(scenario):
    asyncio.run(scenario())


class RefusalTest(unittest.TestCase):
    """Refusals are immediate and correct, and have a Retry-After."""

    def test_what_cannot_start_in_time_is_refused_on_arrival(self):
        """Of thirty simultaneous requests ten can be served in time.

        The others must be refused at once, not at their deadline, each with a
        different Retry-After, so that they do not retry together.
        """

        async def scenario():
            harness = AdmissionHarness(slots=1)
            await harness.warm_up()
            asked_at = harness.clock.monotonic()
            for _ in range(30):
                harness.ask()
            await harness.clock.advance(0 * SECOND)
            at_once = len(harness.refused)
            self.assertGreaterEqual(at_once, 20)
            returns = {error.retry_after for _, _, error in harness.refused}
            self.assertEqual(len(returns), at_once)
            span = max(returns) - min(returns)
            self.assertGreater(span, 10 * SECOND)
            await harness.clock.advance(20 * SECOND)
            for _, at, error in harness.refused[:at_once]:
                self.assertEqual(at, asked_at)
                self.assertIs(error.code, codes.Code.OVERLOADED)
                self.assertIs(error.run_state, codes.RunState.NOT_RUN)
            self.assertEqual(len(harness.ran) + len(harness.refused), 30)
            for request, at in harness.ran:
                self.assertLessEqual(at, request.deadline)

        _run(scenario)

    def test_a_request_that_becomes_too_late_is_refused_before_its_deadline(
        self,
    ):
        """Two requests hold both slots much longer than measured.

        A third one that was queued behind them must be refused as soon as it
        can no longer end in time, before its deadline.
        """

        async def scenario():
            harness = AdmissionHarness(slots=2)
            await harness.warm_up()
            for _ in range(2):
                harness.ask(runs_s=60, deadline_s=90)
            waiting = harness.ask(deadline_s=10)
            await harness.clock.advance(9 * SECOND)
            self.assertTrue(waiting.done())
            request, at, error = harness.refused[0]
            self.assertIs(error.code, codes.Code.DEADLINE_BEFORE_RUN)
            self.assertGreater(error.retry_after, 0 * SECOND)
            self.assertLess(at, request.deadline)
            self.assertEqual(harness.admission.waiting, 0)

        _run(scenario)

    def test_all_engines_slow_at_once(self):
        """Every engine becomes ten times slower under steady traffic.

        The engines refuse nothing. Requests must be refused at once as soon as
        the measurements show the slowdown, and admitted again when the engines
        are fast again, although the estimate is still too high.
        """

        async def scenario():
            harness = AdmissionHarness(slots=2)
            await harness.warm_up()
            for _ in range(60):
                harness.ask(runs_s=10, deadline_s=10)
                await harness.clock.advance(1 * SECOND)
            late = harness.refused[-20:]
            for request, at, _ in late:
                self.assertLess(at, request.deadline - 5 * SECOND)
            await harness.clock.advance(20 * SECOND)
            harness.ran.clear()
            harness.refused.clear()
            for _ in range(60):
                harness.ask(runs_s=0.5)
                await harness.clock.advance(1 * SECOND)
            self.assertEqual(harness.refused, [])

        _run(scenario)

    def test_an_overtaken_request_is_shed_before_its_deadline(self):
        """Many urgent requests arrive while ordinary ones wait.

        They take the slots for longer than the ordinary ones can wait, which
        must be refused when that is certain, not at their deadline.
        """

        async def scenario():
            harness = AdmissionHarness(slots=1)
            await harness.warm_up()
            for _ in range(6):
                harness.ask("lookups", deadline_s=12)
            await harness.clock.advance(0.5 * SECOND)
            self.assertEqual(harness.refused, [])
            for _ in range(40):
                harness.ask("reviews", priority=8, deadline_s=90)
            await harness.clock.advance(0.5 * SECOND)
            shed = [r for r, _, _ in harness.refused if r.team == "lookups"]
            self.assertGreaterEqual(len(shed), 2)

        _run(scenario)


class BudgetTest(unittest.TestCase):
    """A template's token budget, at one of several instances."""

    def test_budget_refuses_with_a_retry_after_at_which_it_admits(self):
        async def scenario():
            harness = AdmissionHarness(slots=50, member_count=2)
            budget = {"tokens_per_minute": 1200, "cost_tokens": 100}
            for _ in range(10):
                harness.ask(**budget)
            await harness.clock.advance(0 * SECOND)
            # This instance has half of the budget.
            self.assertEqual(len(harness.refused), 4)
            error = harness.refused[0][2]
            self.assertIs(error.code, codes.Code.OVER_BUDGET)
            await harness.clock.advance(error.retry_after)
            harness.ask(**budget)
            await harness.clock.advance(0 * SECOND)
            self.assertEqual(len(harness.refused), 4)

        _run(scenario)

    def test_estimates_are_replaced_by_what_was_used(self):
        async def scenario():
            harness = AdmissionHarness(slots=50)
            budget = {"tokens_per_minute": 600, "cost_tokens": 100}
            for _ in range(6):
                harness.ask(**budget)
            await harness.clock.advance(0 * SECOND)
            used = admission.AdmissionRequest(
                team="a",
                template="t",
                weight=1.0,
                priority=5,
                deadline=9 * SECOND,
                **budget,
            )
            harness.admission.reconcile(used, used_tokens=1)
            harness.ask(**budget)
            await harness.clock.advance(0 * SECOND)
            self.assertEqual(harness.refused, [])

        _run(scenario)


class SlotsTest(unittest.TestCase):
    """Slots are never leaked, nor given twice."""

    def test_a_caller_that_disconnects_frees_what_it_holds(self):
        """Callers disconnect just as they get their slots.

        A request gets its slot and is cancelled in the same iteration of the
        event loop, before it can run. The slot must not be leaked.
        """

        async def scenario():
            harness = AdmissionHarness(slots=1)
            harness.ask(runs_s=1)
            await harness.clock.advance(0 * SECOND)
            first, second = harness.ask(), harness.ask()
            await asyncio.sleep(0)
            while harness.admission.waiting == 2:
                await harness.clock.advance(0.1 * SECOND)
            first.cancel()
            second.cancel()
            await asyncio.gather(first, second, return_exceptions=True)
            await harness.clock.advance(5 * SECOND)
            self.assertEqual(harness.admission.running, 0)
            self.assertEqual(harness.admission.waiting, 0)

        _run(scenario)

    @hypothesis.given(
        slots=strategies.integers(1, 4),
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["ask", "ask", "cancel", "limit"]),
                strategies.integers(0, 9),
                strategies.integers(1, 8),
                strategies.sampled_from([0.0, 0.0, 0.05, 0.7]),
            ),
            max_size=60,
        ),
    )
    def test_every_caller_has_one_outcome_and_no_slot_is_leaked(
        self, slots, steps
    ):
        async def scenario():
            harness = AdmissionHarness(slots=slots)
            max_slots = slots
            callers = []
            for step, priority, number, wait_s in steps:
                if step == "ask":
                    callers.append(
                        harness.ask(
                            f"{number % 3}",
                            priority=priority,
                            runs_s=number / 4,
                            deadline_s=number,
                        )
                    )
                elif step == "cancel" and callers:
                    callers[number % len(callers)].cancel()
                elif step == "limit":
                    harness.limit.set_slots(number)
                    max_slots = max(max_slots, number)
                if wait_s:
                    await harness.clock.advance(wait_s * SECOND)
                else:
                    await asyncio.sleep(0)
            await harness.clock.advance(60 * SECOND)
            done = await asyncio.gather(*callers, return_exceptions=True)
            cancelled = sum(isinstance(d, BaseException) for d in done)
            self.assertEqual(
                len(harness.ran) + len(harness.refused) + cancelled,
                len(callers),
            )
            self.assertLessEqual(harness.most_running, max_slots)
            self.assertEqual(harness.admission.running, 0)
            self.assertEqual(harness.admission.waiting, 0)

        _run(scenario)

    def test_one_team_at_ten_times_its_share(self):
        """Nine teams use their share, and a tenth asks for ten times its own.

        The queue is always full of the large team's requests; the small teams
        must be served all the same.
        """

        async def scenario():
            harness = AdmissionHarness(slots=10)
            await harness.warm_up()
            for _ in range(30):
                for _ in range(10):
                    harness.ask("large", deadline_s=6)
                for index in range(9):
                    harness.ask(f"small-{index}", deadline_s=6)
                await harness.clock.advance(1 * SECOND)
            await harness.clock.advance(10 * SECOND)
            served = collections.Counter(r.team for r, _ in harness.ran)
            for index in range(9):
                self.assertGreaterEqual(served[f"small-{index}"], 28)
            self.assertGreater(served["large"], 20)

        _run(scenario)
