"""Hedged attempts give one text and one bill."""

import asyncio
import datetime
import unittest

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from tests import fakes
from tests.cover import dispatch_errors


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    """Both attempts of a hedged request give text."""

    async def asyncSetUp(self):
        self.fixture = fakes.Fixture(hedge_after_ms=100)
        self.sink = fakes.RecordingSink()
        self.gates = [asyncio.Event(), asyncio.Event()]
        words = (("First ", "text."), ("Second ", "text."))
        for address, gate, text in zip(
            ("e1:1", "e2:1"), self.gates, words, strict=True
        ):
            self.fixture.engines[address].scripts.append(
                fakes.Script(gate=gate, words=text)
            )
        self.ending = asyncio.ensure_future(
            self.fixture.dispatcher().generate(
                fakes.generation_request(self.fixture), self.sink
            )
        )
        await self.fixture.clock.advance(datetime.timedelta(milliseconds=150))

    async def test_the_first_token_wins_and_the_loser_is_cancelled(self):
        """The caller gets the hedge's answer only, billed once."""
        self.gates[1].set()
        answer = await self.ending
        self.gates[0].set()
        await fakes.settle()
        self.assertEqual(answer.text, "Second text.")
        self.assertEqual(self.sink.text, "Second text.")
        self.assertEqual(self.fixture.engines["e1:1"].cancelled, ["req-1/1"])
        self.assertEqual(len(self.fixture.ledger.bills), 1)
        self.assertEqual(self.fixture.budget.permits, 99)
        self.assertEqual(self.fixture.versions.released, [])

    async def test_both_tokens_at_once_still_give_one_text(self):
        """Both first tokens arrive in one iteration of the event loop.

        The hedge's is first; the first attempt's LostRaceError must not fail
        the request.
        """
        for gate in reversed(self.gates):
            gate.set()
        answer = await self.ending
        self.assertEqual(self.sink.text, "Second text.")
        self.assertEqual(self.sink.text, answer.text)


class FirstAttemptTest(unittest.IsolatedAsyncioTestCase):
    """A silent attempt is not abandoned for one without a token."""

    def setUp(self):
        self.fixture = fakes.Fixture(hedge_after_ms=100)
        self.sink = fakes.RecordingSink()
        self.gate = asyncio.Event()
        self.first = self.fixture.engines["e1:1"]
        self.second = self.fixture.engines["e2:1"]
        self.first.scripts.append(fakes.Script(gate=self.gate))

    async def silent(self) -> asyncio.Task:
        """Starts a request whose first engine is silent until hedged."""
        asking = asyncio.ensure_future(
            self.fixture.dispatcher().generate(
                fakes.generation_request(self.fixture), self.sink
            )
        )
        await fakes.settle()
        return asking

    async def assert_first_answers(self, asking: asyncio.Task) -> None:
        await self.fixture.clock.advance(datetime.timedelta(milliseconds=500))
        self.assertFalse(asking.done())
        self.assertEqual(self.first.cancelled, [])
        self.gate.set()
        await fakes.to_end(self.fixture.clock, asking)
        self.assertEqual(self.sink.text, "The boiler holds.")
        self.assertEqual(len(self.first.generations), 1)

    async def test_a_failed_hedge_leaves_the_first_attempt_running(self):
        """The hedge refuses, is lost, or ends before its first token.

        The caller must get the first engine's answer.
        """
        for script in (
            fakes.Script(fails=dispatch_errors.refused()),
            fakes.Script(fails=dispatch_errors.lost()),
            fakes.Script(cut_after=0),
            fakes.Script(words=("",), finish=engine.FinishReason.FAILED),
        ):
            self.second.scripts.append(script)
            await self.assert_first_answers(await self.silent())
            self.assertEqual(len(self.second.generations), 1)
            self.setUp()

    async def test_no_retry_is_spent_without_a_backend_server(self):
        """There is no backend server for a hedge.

        The retry budget must be kept for requests that can use it.
        """
        self.fixture.backends.addresses = ["e1:1"]
        await self.assert_first_answers(await self.silent())
        self.assertEqual(self.fixture.budget.permits, 100)

    async def test_a_revoked_model_ends_no_running_attempt(self):
        """The model is revoked or the template removed before the hedge.

        The caller gets the first engine's answer, and no hedge is sent.
        """
        for code in (codes.Code.NOT_ALLOWED, None):
            asking = await self.silent()
            self.fixture.versions.refusal = code
            if code is None:
                self.fixture.config.current = msgspec.structs.replace(
                    self.fixture.config.snapshot, templates={}
                )
            await self.assert_first_answers(asking)
            self.assertEqual(self.second.generations, [])
            self.assertEqual(self.fixture.budget.permits, 100)
            self.setUp()
