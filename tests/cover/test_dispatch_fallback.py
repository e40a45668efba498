"""Begun answers whose engine is abandoned, and the fallback to it."""

import asyncio
import contextlib
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from tests import fakes
from tests.cover import dispatch_errors

_TEXT = "The boiler holds."
# Refused resumes until an engine is abandoned for another one.
_REFUSED_UNTIL_ABANDONED = 3
_FOR_GOOD = 40


def refusals(count: int) -> list[fakes.Script]:
    return [fakes.Script(fails=dispatch_errors.refused())] * count


class FallbackCase(unittest.IsolatedAsyncioTestCase):
    """The first engine gives a word; then it is unreachable for a while.

    The last of the retry budget is spent on the second one.
    """

    def setUp(self):
        self.fixture = fakes.Fixture()
        self.fixture.budget.permits = 1
        self.gate = asyncio.Event()
        self.sink = fakes.RecordingSink()
        self.first = self.fixture.engines["e1:1"]
        self.second = self.fixture.engines["e2:1"]

    def lose_first(self, refused_resumes: int) -> None:
        self.first.scripts.append(fakes.Script(cut_after=1))
        self.first.scripts.extend(refusals(refused_resumes))

    def start(self) -> asyncio.Task:
        dispatcher = self.fixture.dispatcher()
        request = fakes.generation_request(self.fixture)
        return asyncio.ensure_future(dispatcher.generate(request, self.sink))

    async def started(self) -> asyncio.Task:
        """Starts a request whose engine is abandoned for the second one."""
        asking = self.start()
        for _ in range(20):
            await self.fixture.clock.advance(datetime.timedelta(seconds=0.05))
        self.assertEqual(len(self.second.generations), 1)
        return asking

    async def ended(self, asking: asyncio.Task):
        return await fakes.to_end(self.fixture.clock, asking)

    async def refused(self, asking: asyncio.Task) -> errors.CodedError:
        with self.assertRaises(errors.CodedError) as caught:
            await self.ended(asking)
        await fakes.settle()
        return caught.exception

    async def assert_first_resumed(self) -> None:
        """Checks that the caller has one text, of one run, billed once."""
        answer = await self.ended(self.start())
        self.assertEqual(answer.text, _TEXT)
        self.assertEqual(self.sink.text, _TEXT)
        self.assertEqual(
            {sent.attempt_id for sent in self.first.generations}, {"req-1/1"}
        )
        self.assertEqual(self.first.generations[-1].resume_at_token, 1)
        self.assertEqual(len(self.second.generations), 1)
        self.assertEqual(self.fixture.budget.permits, 0)
        await fakes.settle()
        self.assertEqual(self.first.cancelled, [])
        self.assertEqual(len(self.fixture.ledger.bills), 1)


class FallbackTest(FallbackCase):
    """The abandoned engine is resumed if the next one fails."""

    async def test_the_next_one_refuses(self):
        """The first engine is resumed, though the retry budget is spent.

        Its run is billed once, not once as abandoned and once as resumed.
        """
        undisturbed = fakes.Fixture()
        await undisturbed.dispatcher().generate(
            fakes.generation_request(undisturbed), fakes.RecordingSink()
        )
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.extend(refusals(1))
        await self.assert_first_resumed()
        [bill] = self.fixture.ledger.bills
        [usual] = undisturbed.ledger.bills
        self.assertEqual(bill.cost_micros, usual.cost_micros)
        self.assertEqual(
            self.fixture.admission.used, undisturbed.admission.used
        )

    async def test_the_first_is_still_unreachable_then(self):
        """It is resumed until it is reachable, up to seven times in all."""
        self.lose_first(_REFUSED_UNTIL_ABANDONED + 3)
        self.second.scripts.extend(refusals(1))
        await self.assert_first_resumed()

    async def test_the_next_one_is_lost_before_it_covers_the_text(self):
        """The first engine is resumed; the other one's run is cancelled."""
        for lost in (
            fakes.Script(fails=dispatch_errors.lost()),
            fakes.Script(words=("T", "he ", "boiler"), cut_after=1),
        ):
            self.lose_first(_REFUSED_UNTIL_ABANDONED)
            self.second.scripts.append(lost)
            if lost.cut_after:
                self.second.scripts.extend(refusals(_FOR_GOOD))
                await self.assert_text_given()
            else:
                await self.assert_first_resumed()
            self.assertEqual(self.second.cancelled, ["req-1/2"])
            self.setUp()

    async def assert_text_given(self) -> None:
        answer = await self.ended(self.start())
        self.assertEqual(answer.text, _TEXT)
        self.assertEqual(self.sink.text, _TEXT)
        await fakes.settle()

    async def test_the_fallback_is_the_attempt_whose_text_the_caller_has(self):
        """The second engine is abandoned before it covers the caller's text,
        and the third refuses.

        The first engine must be resumed, not the second.
        """
        self.fixture.backends.addresses.append("e3:1")
        self.fixture.budget.permits = 2
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.append(
            fakes.Script(words=("T", "he ", "boiler"), cut_after=1)
        )
        self.second.scripts.extend(refusals(_REFUSED_UNTIL_ABANDONED))
        self.fixture.engines["e3:1"].scripts.extend(refusals(1))
        await self.assert_text_given()
        self.assertEqual(
            len(self.second.generations), 1 + _REFUSED_UNTIL_ABANDONED
        )
        self.assertEqual(self.first.cancelled, [])
        self.assertEqual(self.second.cancelled, ["req-1/2"])

    async def test_the_next_one_s_text_differs(self):
        """Another engine seldom gives the same text, so it cannot continue.

        The answer must not be cut if the first engine is reachable again.
        """
        for words in (("A ", "tank ", "holds."), ("The",)):
            self.lose_first(_REFUSED_UNTIL_ABANDONED)
            self.second.scripts.append(fakes.Script(words=words))
            await self.assert_first_resumed()
            self.setUp()

    async def test_a_buffered_answer_is_resumed_too(self):
        """The answer of a stage that is still to be judged is resumed."""
        self.fixture.cascade = fakes.FakeCascade(
            first_stage=0, may_escalate=True
        )
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.extend(refusals(1))
        await self.assert_first_resumed()

    async def test_a_hedged_answer_is_resumed_too(self):
        """The engine that won the race is resumed."""
        self.fixture = fakes.Fixture(hedge_after_ms=500)
        self.fixture.budget.permits = 1
        self.first = self.fixture.engines["e1:1"]
        self.second = self.fixture.engines["e2:1"]
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.extend(refusals(1))
        await self.assert_first_resumed()

    async def test_a_further_retry_goes_to_a_third_engine(self):
        """Each move is permitted by the budget."""
        self.fixture.backends.addresses.append("e3:1")
        self.fixture.budget.permits = 2
        self.lose_first(_FOR_GOOD)
        self.second.scripts.extend(refusals(1))
        await self.assert_text_given()
        self.assertEqual(self.fixture.budget.permits, 0)
        self.assertEqual(len(self.fixture.engines["e3:1"].generations), 1)
        self.assertEqual(self.first.cancelled, ["req-1/1"])


class OnlyOneTest(FallbackCase):
    """The caller gets one engine's text only, and no run continues."""

    async def test_both_engines_are_reachable_again(self):
        """The engine asked last continues the answer.

        The first one keeps its run until the other has begun, and is cancelled
        then, not at the answer's end.
        """
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.append(
            fakes.Script(gate=self.gate, order=[0], goes_silent=True)
        )
        asking = await self.started()
        self.assertEqual(self.first.cancelled, [])
        self.gate.set()
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertFalse(asking.done())
        asking.cancel()
        await fakes.settle()

    async def test_the_other_one_s_answer_is_complete(self):
        """The answer continues there, and the first run is cancelled."""
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.append(fakes.Script(gate=self.gate))
        asking = await self.started()
        self.gate.set()
        answer = await self.ended(asking)
        self.assertEqual(answer.text, _TEXT)
        self.assertEqual(self.sink.text, _TEXT)
        self.assertEqual(
            len(self.first.generations), 1 + _REFUSED_UNTIL_ABANDONED
        )
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.second.cancelled, [])

    async def test_the_caller_disconnects_meanwhile(self):
        """Both engines' runs are cancelled."""
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.append(fakes.Script(gate=self.gate))
        asking = await self.started()
        asking.cancel()
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.second.cancelled, ["req-1/2"])

    async def test_the_caller_disconnects_during_the_fallback(self):
        """The resumed run is cancelled."""
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.first.scripts.append(fakes.Script(gate=self.gate))
        self.second.scripts.extend(refusals(1))
        asking = await self.started()
        asking.cancel()
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])

    async def test_the_deadline_passes_meanwhile(self):
        """The caller gets `unknown`; both engines' runs are cancelled."""
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.append(fakes.Script(gate=self.gate))
        error = await self.refused(await self.started())
        self.assertIs(error.code, codes.Code.DEADLINE_DURING_RUN)
        self.assertEqual(self.sink.text, "The ")
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.second.cancelled, ["req-1/2"])

    async def test_no_fallback_once_the_other_has_begun(self):
        """The other engine adds a word and is lost for good.

        The first is reachable again, but could only continue its own text. The
        caller gets two words and an error.
        """
        self.lose_first(_REFUSED_UNTIL_ABANDONED)
        self.second.scripts.append(
            fakes.Script(words=("The ", "boiler ", "leaks."), cut_after=2)
        )
        self.second.scripts.extend(refusals(_FOR_GOOD))
        error = await self.refused(self.start())
        self.assertIs(error.code, codes.Code.BACKEND_FAILED)
        self.assertEqual(self.sink.text, "The boiler ")
        self.assertEqual(
            len(self.first.generations), 1 + _REFUSED_UNTIL_ABANDONED
        )
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.second.cancelled, ["req-1/2"])

    async def test_the_first_is_gone_for_good(self):
        """The other engine refuses, and the first is lost for good.

        The caller gets `unknown` within 8 s, long before its deadline.
        """
        self.lose_first(_FOR_GOOD)
        self.second.scripts.extend(refusals(1))
        error = await self.refused(self.start())
        self.assertIs(error.run_state, codes.RunState.UNKNOWN)
        self.assertLess(
            self.fixture.clock.monotonic(), datetime.timedelta(seconds=8)
        )
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(len(self.first.generations), 8)
        self.assertEqual(len(self.second.generations), 1)


_WORDS = (
    ("The ", "boiler ", "holds."),
    ("T", "he ", "boiler ", "holds."),
    ("The ", "tank ", "is ", "sound."),
)
_SCRIPTS = strategies.one_of(
    strategies.just(refusals(1)[0]),
    strategies.just(fakes.Script(fails=dispatch_errors.lost())),
    strategies.builds(
        fakes.Script,
        words=strategies.sampled_from(_WORDS),
        cut_after=strategies.sampled_from([None, 0, 1, 2]),
    ),
)


class AnyFailureTest(unittest.TestCase):
    """Properties over all failures of three engines."""

    @hypothesis.given(
        strategies.lists(
            strategies.lists(_SCRIPTS, max_size=9), min_size=3, max_size=3
        ),
        strategies.integers(0, 3),
        strategies.sampled_from([0, 500]),
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_one_text_within_the_budget(self, scripts, permits, hedge_after_ms):
        """The caller gets one engine's text, or a prefix of one.

        No more attempts are made than the budget permits, and each run that
        began and gave no complete answer is cancelled.
        """
        asyncio.run(self.check(scripts, permits, hedge_after_ms))

    async def check(self, scripts, permits, hedge_after_ms) -> None:
        fixture = fakes.Fixture(hedge_after_ms=hedge_after_ms)
        fixture.budget.permits = permits
        addresses = ["e1:1", "e2:1", "e3:1"]
        fixture.backends.addresses = addresses
        engines = [fixture.engines[address] for address in addresses]
        for each, played in zip(engines, scripts, strict=True):
            each.scripts.extend(played)
        sink = fakes.RecordingSink()
        answer = None
        with contextlib.suppress(errors.CodedError):
            answer = await fakes.to_end(
                fixture.clock,
                fixture.dispatcher().generate(
                    fakes.generation_request(fixture), sink
                ),
            )
        await fakes.settle()
        texts = ["".join(words) for words in _WORDS]
        if answer is not None:
            self.assertIn(sink.text, texts)
            self.assertEqual(answer.text, sink.text)
        self.assertTrue(any(text.startswith(sink.text) for text in texts))
        sent = [send for each in engines for send in each.generations]
        self.assertLessEqual(len({s.attempt_id for s in sent}), 1 + permits)
        self.assert_no_run_left(engines, answered=answer is not None)

    def assert_no_run_left(
        self, engines: list[fakes.FakeEngine], *, answered: bool
    ) -> None:
        begun = {name for each in engines for name in each.texts}
        cancelled = {name for each in engines for name in each.cancelled}
        self.assertLessEqual(len(begun - cancelled), 1 if answered else 0)
