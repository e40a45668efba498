"""Calls of plain services run at most once unless repeatable."""

import asyncio
import datetime
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import adaptive_limit
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.limits import retry_budget
from tests import fakes
from tests.cover import plain_requests

OUTCOMES = {
    "refused": failures.NotDoneError("connection refused"),
    "lost": failures.OutcomeUnknownError("connection reset"),
    "error": 500,
    "answer": 200,
}


class PlainCallTest(unittest.TestCase):
    """Properties over all outcomes of sends."""

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        names=strategies.lists(
            strategies.sampled_from(sorted(OUTCOMES)), max_size=6
        ),
        repeatable=strategies.booleans(),
        key=strategies.sampled_from(["", "booking-7"]),
        permits=strategies.integers(0, 5),
    )
    @hypothesis.example(
        names=["lost"], repeatable=True, key="booking-7", permits=0
    )
    def test_run_at_most_once_and_reported_so(
        self, names, repeatable, key, permits
    ):
        """Each send is refused (provably not run), lost after it was written,
        answered with an error, or answered.

        A call that is not repeatable must not be sent again once a send may
        have run; `not_run` is reported exactly if every send was refused.
        """
        fixture = fakes.Fixture()
        fixture.budget.permits = permits
        fixture.services.outcomes.extend(OUTCOMES[name] for name in names)

        async def scenario():
            request = plain_requests.plain_request(
                fixture, repeatable=repeatable, key=key
            )
            try:
                return await fakes.to_end(
                    fixture.clock, fixture.dispatcher().call_plain(request)
                )
            except errors.CodedError as error:
                await fixture.clock.advance(datetime.timedelta(seconds=1))
                return error

        outcome = asyncio.run(scenario())
        sends = len(fixture.services.calls)
        maybe_run = [n for n in (*names, "answer")[:sends] if n != "refused"]
        self.assertLessEqual(sends, 1 + permits)
        if not repeatable:
            self.assertLessEqual(len(maybe_run), 1)
        if isinstance(outcome, errors.CodedError):
            not_run = outcome.run_state is codes.RunState.NOT_RUN
            self.assertEqual(not_run, not maybe_run)
            self.assertEqual(fixture.ledger.bills, [])
            released = ["booking-7"] if key and not_run else []
            self.assertEqual(fixture.ledger.released, released)
            if not not_run and (key or not repeatable):
                self.assertIsNone(outcome.retry_after)
        else:
            self.assertEqual(outcome.status, 200)
            self.assertEqual(len(fixture.ledger.bills), 1)


class PlainFailureTest(unittest.IsolatedAsyncioTestCase):
    """Single failures."""

    def setUp(self):
        self.fixture = fakes.Fixture()
        self.fixture.services.gate = asyncio.Event()

    async def test_a_call_continues_when_its_caller_disconnects(self):
        """A call that the service has received must be awaited and billed.

        Cancelling would not undo it.
        """
        dispatcher = self.fixture.dispatcher()
        calling = asyncio.ensure_future(
            dispatcher.call_plain(plain_requests.plain_request(self.fixture))
        )
        await fakes.settle()
        calling.cancel()
        await fakes.settle()
        self.fixture.services.gate.set()
        await dispatcher.settled()
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_a_removed_route_gets_no_call(self):
        """The route is removed after the first backend server has refused.

        The second must not be tried; the caller gets `not_run`.
        """
        services = self.fixture.services
        services.outcomes.append(OUTCOMES["refused"])
        calling = asyncio.ensure_future(
            self.fixture.dispatcher().call_plain(
                plain_requests.plain_request(self.fixture)
            )
        )
        await fakes.settle()
        snapshot = self.fixture.config.snapshot
        team = msgspec.structs.replace(
            snapshot.teams["agency"], plain_routes=()
        )
        self.fixture.config.current = msgspec.structs.replace(
            snapshot, teams={"agency": team}
        )
        services.gate.set()
        with self.assertRaises(errors.CodedError) as caught:
            await fakes.to_end(self.fixture.clock, calling)
        self.assertEqual(caught.exception.code, codes.Code.NOT_ALLOWED)
        self.assertEqual(caught.exception.run_state, codes.RunState.NOT_RUN)
        self.assertEqual(len(services.calls), 1)


class IsolationTest(unittest.IsolatedAsyncioTestCase):
    """Failures of plain services do not affect generations."""

    def setUp(self):
        self.fixture = fakes.Fixture()
        self.limit = adaptive_limit.AdaptiveLimit(ceiling=8)
        self.fixture.admission = fakes.fair_admission_with(
            self.fixture.clock, concurrency_limit.FixedLimit(slots=2)
        )
        self.fixture.plain_admission = fakes.fair_admission_with(
            self.fixture.clock, self.limit
        )

    async def call_together(self, dispatcher) -> None:
        """Makes 8 calls, all received before the first is answered."""
        gate = self.fixture.services.gate = asyncio.Event()
        calls = [
            asyncio.ensure_future(
                dispatcher.call_plain(
                    plain_requests.plain_request(self.fixture)
                )
            )
            for _ in range(8)
        ]
        await fakes.settle()
        gate.set()
        await asyncio.gather(*calls, return_exceptions=True)

    async def generated(self, dispatcher) -> str:
        answer = await fakes.to_end(
            self.fixture.clock,
            dispatcher.generate(
                fakes.generation_request(self.fixture), fakes.RecordingSink()
            ),
        )
        return answer.text

    async def test_slow_services_do_not_take_the_slots_of_generations(self):
        """More calls than there are slots hang in a slow service.

        A generation must still be answered at once by the idle engines.
        """
        self.fixture.services.gate = asyncio.Event()
        dispatcher = self.fixture.dispatcher()
        calls = [
            asyncio.ensure_future(
                dispatcher.call_plain(
                    plain_requests.plain_request(self.fixture)
                )
            )
            for _ in range(12)
        ]
        await fakes.settle()
        generating = asyncio.ensure_future(
            dispatcher.generate(
                fakes.generation_request(self.fixture), fakes.RecordingSink()
            )
        )
        await fakes.settle()
        self.assertTrue(generating.done())
        self.assertEqual(len(self.fixture.services.calls), 8)
        self.fixture.services.gate.set()
        for answer in await asyncio.gather(*calls):
            self.assertEqual(answer.status, 200)

    async def test_slots_of_calls_recover_after_an_overload(self):
        """A service refuses calls for overload, which cuts the slots.

        Once it answers again, the slots must grow back; if durations of calls
        were not reported to admission, the cut would be permanent.
        """
        dispatcher = self.fixture.dispatcher()
        busy = failures.NotDoneError("busy", overloaded=True)
        self.fixture.budget.permits = 0
        self.fixture.services.outcomes.extend([busy] * 80)
        for _ in range(10):
            await self.call_together(dispatcher)
        self.assertLess(self.limit.slots, 4)
        for _ in range(20):
            await self.call_together(dispatcher)
        self.assertEqual(self.limit.slots, 8)

    async def test_services_and_engines_have_separate_retry_budgets(self):
        """Calls of an unavailable service use up its retry budget.

        A generation that an engine refuses must still be retried on another.
        """
        self.fixture.budget = retry_budget.RetryBudgets()
        dispatcher = self.fixture.dispatcher()
        down = failures.NotDoneError("connection refused")
        self.fixture.services.outcomes.extend([down] * 30)
        for _ in range(10):
            with self.assertRaises(errors.CodedError):
                await fakes.to_end(
                    self.fixture.clock,
                    dispatcher.call_plain(
                        plain_requests.plain_request(self.fixture)
                    ),
                )
        self.fixture.engines["e1:1"].scripts.append(fakes.Script(fails=down))
        self.assertEqual(await self.generated(dispatcher), "The boiler holds.")
