"""A plain service's call runs at most once unless it may be repeated."""

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
    """Properties over all ways in which sends can end."""

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
    def test_run_at_most_once_and_said_so(
        self, names, repeatable, key, permits
    ):
        """A crew is booked once, or the caller knows what it can't know.

        Each send is refused (provably not run), lost after it was written,
        answered with an error, or answered. A call that may not be repeated
        must never be sent again once a send may have run; `not_run` is said
        exactly when every send was refused.
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
    """Single failures, told one by one."""

    def setUp(self):
        self.fixture = fakes.Fixture()
        self.fixture.services.gate = asyncio.Event()

    async def test_a_call_goes_on_when_its_caller_goes(self):
        """The caller hangs up; the booking is made, and billed, once.

        Cancelling would not undo a call that the service has. So it is
        awaited, for the sake of its bill.
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

    async def test_a_route_taken_away_meanwhile_gets_no_call(self):
        """The caller is refused, `not_run`: its team lost the route.

        The first backend server refuses; before the second is tried, an
        operator has removed the route.
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


class ApartTest(unittest.IsolatedAsyncioTestCase):
    """Trouble of a plain service stays away from the engines' work."""

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
        """Makes 8 calls, all there before the first is answered."""
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

    async def test_slow_services_leave_the_engines_their_places(self):
        """Calls hang in a slow service; generations are answered at once.

        More calls than there are places for generations wait for the
        service, and more still for a place among calls. The engines are idle.
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

    async def test_places_of_calls_come_back_after_an_overload(self):
        """Callers wait for few places, but only while the service refuses.

        A service refuses calls for overload, which cuts the places. Then it
        answers again; without a note of that the cut would last for ever.
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

    async def test_a_service_s_retries_are_not_the_engines(self):
        """A service is down; a caller of an engine still gets its retry.

        The calls of the service use up all retries that they may. Then one
        engine refuses a generation, which the next engine would take.
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
