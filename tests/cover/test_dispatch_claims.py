"""Claims that cannot be made are refused without a long wait."""

import asyncio
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.dispatch import claims
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger as ledger_module
from nutmeghook.internal.observe import events
from tests import fake_platform

IDENTITY = ledger_module.RequestIdentity(
    team="agency", key="k", given_by_caller=True
)


class SilentStoreLedger(fake_platform.FakeLedger):
    """A ledger whose store never answers in time."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    async def claim(self, identity, *, request_id, timeout):
        await self._clock.sleep(timeout)
        raise errors.CodedError(code=codes.Code.STORE_OUT)


class ClaimTimeoutTest(unittest.TestCase):
    """How long a caller waits for the refusal of a claim."""

    @hypothesis.given(strategies.integers(1, 60_000))
    def test_a_silent_store_is_reported_within_a_second(self, deadline_ms):
        """The store goes silent, and a keyed request's claim waits for an
        in-doubt commit. The caller must get `not_run` with a Retry-After within
        a second, not when the store answers again 10 s later.
        """

        async def scenario():
            clock = clock_module.FakeClock()
            claimed = claims.Claims(
                ledger=SilentStoreLedger(clock),
                events=events.EventRing(clock=clock),
            )
            claiming = asyncio.ensure_future(
                claimed.claim(
                    IDENTITY,
                    request_id="req-1",
                    timeout=datetime.timedelta(milliseconds=deadline_ms),
                )
            )
            await clock.advance(datetime.timedelta(seconds=1))
            self.assertTrue(claiming.done())
            with self.assertRaises(errors.CodedError) as caught:
                await claiming
            self.assertIs(caught.exception.run_state, codes.RunState.NOT_RUN)

        asyncio.run(scenario())


class FullLedger(fake_platform.FakeLedger):
    """A ledger that can make no bill durable."""

    def accepting_work(self):
        return False


class UnbillableWorkTest(unittest.TestCase):
    @hypothesis.given(strategies.booleans())
    def test_nothing_runs_that_could_not_be_billed(self, keyed):
        """Both of the platform's stores are unavailable. Work could not be
        billed, so its answer would be withheld until the deadline. The caller
        must get `not_run` with a Retry-After at once, with or without a key.
        """
        claimed = claims.Claims(
            ledger=FullLedger(),
            events=events.EventRing(clock=clock_module.FakeClock()),
        )
        identity = ledger_module.RequestIdentity(
            team="agency", key="k", given_by_caller=keyed
        )
        with self.assertRaises(errors.CodedError) as caught:
            asyncio.run(
                claimed.claim(
                    identity,
                    request_id="req-1",
                    timeout=datetime.timedelta(seconds=30),
                )
            )
        self.assertIs(caught.exception.run_state, codes.RunState.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after)
