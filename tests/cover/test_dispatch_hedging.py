"""A second attempt beside a silent one gives one text and one bill."""

import asyncio
import datetime
import unittest

from tests import fakes


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    """A second attempt when the first is silent."""

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
        """The caller reads the hedge's answer only, billed once."""
        self.gates[1].set()
        answer = await self.ending
        self.gates[0].set()
        await fakes.settle()
        self.assertEqual(answer.text, "Second text.")
        self.assertEqual(self.sink.text, "Second text.")
        self.assertEqual(self.fixture.engines["e1:1"].cancelled, ["req-1/1"])
        self.assertEqual(len(self.fixture.ledger.bills), 1)
        self.assertEqual(self.fixture.budget.leave, 99)
        self.assertEqual(self.fixture.versions.given_back, [])

    async def test_both_tokens_at_once_still_give_one_text(self):
        """The caller reads the hedge's text: both come in one turn.

        The first attempt's token is a moment later; that it lost must not
        become the request's own failure.
        """
        for gate in reversed(self.gates):
            gate.set()
        answer = await self.ending
        self.assertEqual(self.sink.text, "Second text.")
        self.assertEqual(self.sink.text, answer.text)
