"""Claims wait for the store no longer than a caller should be kept."""

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
    """A ledger whose store does not answer within any timeout."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    async def claim(self, identity, *, request_id, timeout):
        await self._clock.sleep(timeout)
        raise errors.CodedError(code=codes.Code.STORE_OUT)


class ClaimTimeoutTest(unittest.TestCase):
    """How long a caller waits to hear that its claim can't be made."""

    @hypothesis.given(strategies.integers(1, 60_000))
    def test_a_silent_store_is_told_within_a_second(self, deadline_ms):
        """The table service goes silent. A caller with a long deadline sends
        a keyed request; its claim waits in a commit whose outcome is in
        doubt. The caller must hear "not run, come back" within a second, not
        when the store is back 10 s later: it holds a connection meanwhile,
        and the first token would be long too late.
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
    """A ledger that could make no bill durable."""

    def accepting_work(self):
        return False


class UnbillableWorkTest(unittest.TestCase):
    @hypothesis.given(strategies.booleans())
    def test_nothing_runs_that_could_not_be_billed(self, keyed):
        """Both of the platform's stores are out. Work sent to an engine now
        could not be billed, so its answer would be held back until the
        deadline and then be refused. The caller hears "not run" at once, and
        when to come back, with an idempotency key or without.
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
