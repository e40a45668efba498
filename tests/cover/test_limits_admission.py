"""Admission under load: who runs, who is refused, and when they hear it."""

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
    """An admission on a fake clock, and what its callers saw."""

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
        """Starts a caller; `ran` or `refused` shows how it went."""
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
        """Lets it measure that one place serves 100 tokens a second."""
        for _ in range(5):
            self.ask()
            await self.clock.advance(1 * SECOND)
        self.ran.clear()


def _run(scenario):
    asyncio.run(scenario())


class RefusalTest(unittest.TestCase):
    """Refusals come at once, are true, and say when to come back."""

    def test_what_cannot_start_in_time_is_refused_on_arrival(self):
        """Thirty callers ask at one moment; ten can be served in time.

        The rest hear so at that same moment, not when their deadline comes,
        and are told different moments to return, so that they don't come
        back as one herd.
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

    def test_deadline_passing_in_the_queue_is_told_when_it_is_too_late(self):
        """Two requests hold both places much longer than measured.

        A third one, let in behind them, was promised a turn that doesn't
        come. It hears so while its caller still listens: before its deadline,
        as soon as it could not end in time any more.
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

        Nothing is refused by the engines, answers just stop coming. Callers
        must be refused at once as soon as this shows in what was measured;
        and when the engines are fast again, requests must be let in again,
        although the estimate still says that all would be late.
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
        """Lookups wait when a wave of dossier reviews arrives.

        The reviews take the places for longer than the lookups can wait. The
        lookups are refused when that is clear, not when they run out of time.
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
    """A template's token budget, as one of several instances holds it."""

    def test_budget_refuses_with_a_time_at_which_it_lets_in(self):
        async def scenario():
            harness = AdmissionHarness(slots=50, member_count=2)
            budget = {"tokens_per_minute": 1200, "cost_tokens": 100}
            for _ in range(10):
                harness.ask(**budget)
            await harness.clock.advance(0 * SECOND)
            # Half of the budget is this instance's.
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
    """Places are never lost, nor given twice."""

    def test_a_caller_that_goes_away_frees_what_it_holds(self):
        """Callers hang up at the very moment at which their turn comes.

        The place was given to the waiting request, and in the same turn of
        the event loop its task is cancelled, before it could run. If the
        place went with it, the instance would serve fewer and fewer.
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
    def test_every_caller_has_one_outcome_and_no_place_is_lost(
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
        """Nine teams ask for what is theirs, a tenth for ten times that.

        The queue is full of the large team's requests all the time. The small
        teams' callers must not notice.
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
