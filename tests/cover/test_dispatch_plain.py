"""A plain service's call runs at most once unless it may be repeated."""

import asyncio
import datetime
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.platform import failures
from nutmeghook.internal.platform import plain
from tests import fakes

OUTCOMES = {
    "refused": failures.NotDoneError("connection refused"),
    "lost": failures.OutcomeUnknownError("connection reset"),
    "error": 500,
    "answer": 200,
}


def plain_request(
    fixture: fakes.Fixture, *, repeatable: bool = False, key: str = ""
) -> requests.PlainRequest:
    team = fixture.config.snapshot.teams["agency"]
    arrived = fixture.clock.monotonic()
    return requests.PlainRequest(
        identity=ledger.RequestIdentity(
            team="agency", key=key or "req-1", given_by_caller=bool(key)
        ),
        team=team,
        route=team.plain_routes[int(repeatable)],
        call=plain.PlainCall(
            request_id="req-1", method="POST", path="/bookings"
        ),
        priority=5,
        arrived=arrived,
        deadline=arrived + datetime.timedelta(seconds=10),
    )


class PlainCallTest(unittest.TestCase):
    """Properties over all ways in which sends can end."""

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        names=strategies.lists(
            strategies.sampled_from(sorted(OUTCOMES)), max_size=6
        ),
        repeatable=strategies.booleans(),
        key=strategies.sampled_from(["", "booking-7"]),
        leave=strategies.integers(0, 5),
    )
    @hypothesis.example(
        names=["lost"], repeatable=True, key="booking-7", leave=0
    )
    def test_run_at_most_once_and_said_so(self, names, repeatable, key, leave):
        """A crew is booked once, or the caller knows what it can't know.

        Each send is refused (provably not run), lost after it was written,
        answered with an error, or answered. A call that may not be repeated
        must never be sent again once a send may have run; `not_run` is said
        exactly when every send was refused.
        """
        fixture = fakes.Fixture()
        fixture.budget.leave = leave
        fixture.services.outcomes.extend(OUTCOMES[name] for name in names)

        async def scenario():
            request = plain_request(fixture, repeatable=repeatable, key=key)
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
        self.assertLessEqual(sends, 1 + leave)
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
            dispatcher.call_plain(plain_request(self.fixture))
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
            self.fixture.dispatcher().call_plain(plain_request(self.fixture))
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
