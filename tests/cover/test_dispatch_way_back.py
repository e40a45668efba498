"""Begun answers whose engine is left, and the way back to it."""

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
# Refused resumes until an engine is left for another one.
_UNTIL_LEFT = 3
_FOR_GOOD = 40


def refusals(count: int) -> list[fakes.Script]:
    return [fakes.Script(fails=dispatch_errors.refused())] * count


class WayBackCase(unittest.IsolatedAsyncioTestCase):
    """The first engine gives a word; then it can't be reached for a while.

    The second is asked with the last of the retry budget.
    """

    def setUp(self):
        self.fixture = fakes.Fixture()
        self.fixture.budget.leave = 1
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
        """Starts a request, whose engine is left for the second one."""
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

    async def assert_first_goes_on(self) -> None:
        """The caller has one text, of one run, which is billed once."""
        answer = await self.ended(self.start())
        self.assertEqual(answer.text, _TEXT)
        self.assertEqual(self.sink.text, _TEXT)
        self.assertEqual(
            {sent.attempt_id for sent in self.first.generations}, {"req-1/1"}
        )
        self.assertEqual(self.first.generations[-1].resume_at_token, 1)
        self.assertEqual(len(self.second.generations), 1)
        self.assertEqual(self.fixture.budget.leave, 0)
        await fakes.settle()
        self.assertEqual(self.first.cancelled, [])
        self.assertEqual(len(self.fixture.ledger.bills), 1)


class WayBackTest(WayBackCase):
    """The engine that was left goes on if the next one doesn't."""

    async def test_the_next_one_refuses(self):
        """The caller reads on, though no leave is left.

        The run at the first engine is asked and paid for once, not as one
        that was left and one that came back.
        """
        undisturbed = fakes.Fixture()
        await undisturbed.dispatcher().generate(
            fakes.generation_request(undisturbed), fakes.RecordingSink()
        )
        self.lose_first(_UNTIL_LEFT)
        self.second.scripts.extend(refusals(1))
        await self.assert_first_goes_on()
        [bill] = self.fixture.ledger.bills
        [usual] = undisturbed.ledger.bills
        self.assertEqual(bill.cost_micros, usual.cost_micros)
        self.assertEqual(
            self.fixture.admission.used, undisturbed.admission.used
        )

    async def test_the_first_is_still_away_then(self):
        """The caller reads on: resumes are counted on, up to seven."""
        self.lose_first(_UNTIL_LEFT + 3)
        self.second.scripts.extend(refusals(1))
        await self.assert_first_goes_on()

    async def test_the_next_one_is_lost_before_it_covers_the_text(self):
        """The caller reads on; the other engine's run is cancelled."""
        for lost in (
            fakes.Script(fails=dispatch_errors.lost()),
            fakes.Script(words=("T", "he ", "boiler"), cut_after=1),
        ):
            self.lose_first(_UNTIL_LEFT)
            self.second.scripts.append(lost)
            if lost.cut_after:
                self.second.scripts.extend(refusals(_FOR_GOOD))
                await self.assert_text_given()
            else:
                await self.assert_first_goes_on()
            self.assertEqual(self.second.cancelled, ["req-1/2"])
            self.setUp()

    async def assert_text_given(self) -> None:
        answer = await self.ended(self.start())
        self.assertEqual(answer.text, _TEXT)
        self.assertEqual(self.sink.text, _TEXT)
        await fakes.settle()

    async def test_the_way_back_is_to_the_text_that_the_caller_has(self):
        """The caller reads on from the first engine, not from the second.

        The second is left for a third before it covers what the caller has,
        and the third refuses.
        """
        self.fixture.backends.addresses.append("e3:1")
        self.fixture.budget.leave = 2
        self.lose_first(_UNTIL_LEFT)
        self.second.scripts.append(
            fakes.Script(words=("T", "he ", "boiler"), cut_after=1)
        )
        self.second.scripts.extend(refusals(_UNTIL_LEFT))
        self.fixture.engines["e3:1"].scripts.extend(refusals(1))
        await self.assert_text_given()
        self.assertEqual(len(self.second.generations), 1 + _UNTIL_LEFT)
        self.assertEqual(self.first.cancelled, [])
        self.assertEqual(self.second.cancelled, ["req-1/2"])

    async def test_the_next_one_s_words_are_others(self):
        """The caller reads one engine's text to its end.

        Another engine seldom says the same word for word. Its text was not
        joined, but the caller's answer was cut, though the first engine had
        come back.
        """
        for words in (("A ", "tank ", "holds."), ("The",)):
            self.lose_first(_UNTIL_LEFT)
            self.second.scripts.append(fakes.Script(words=words))
            await self.assert_first_goes_on()
            self.setUp()

    async def test_a_held_answer_goes_on_too(self):
        """The caller gets the whole cheap answer; it was half done."""
        self.fixture.cascade = fakes.FakeCascade(
            first_stage=0, may_escalate=True
        )
        self.lose_first(_UNTIL_LEFT)
        self.second.scripts.extend(refusals(1))
        await self.assert_first_goes_on()

    async def test_a_hedged_answer_goes_on_too(self):
        """The caller reads on from the engine that won the race."""
        self.fixture = fakes.Fixture(hedge_after_ms=500)
        self.fixture.budget.leave = 1
        self.first = self.fixture.engines["e1:1"]
        self.second = self.fixture.engines["e2:1"]
        self.lose_first(_UNTIL_LEFT)
        self.second.scripts.extend(refusals(1))
        await self.assert_first_goes_on()

    async def test_leave_that_comes_later_serves_a_third_engine(self):
        """The caller reads on from it; each move was allowed by the budget."""
        self.fixture.backends.addresses.append("e3:1")
        self.fixture.budget.leave = 2
        self.lose_first(_FOR_GOOD)
        self.second.scripts.extend(refusals(1))
        await self.assert_text_given()
        self.assertEqual(self.fixture.budget.leave, 0)
        self.assertEqual(len(self.fixture.engines["e3:1"].generations), 1)
        self.assertEqual(self.first.cancelled, ["req-1/1"])


class OnlyOneTest(WayBackCase):
    """One engine's text only, and nothing is left running."""

    async def test_both_engines_come_back(self):
        """The caller reads one text: the engine asked last goes on.

        The first one could be reached again meanwhile. It keeps its run until
        the other has begun, and is cancelled then, not at the answer's end.
        """
        self.lose_first(_UNTIL_LEFT)
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

    async def test_the_other_one_s_answer_is_whole(self):
        """The caller reads on from the other engine; both runs are paid."""
        self.lose_first(_UNTIL_LEFT)
        self.second.scripts.append(fakes.Script(gate=self.gate))
        asking = await self.started()
        self.gate.set()
        answer = await self.ended(asking)
        self.assertEqual(answer.text, _TEXT)
        self.assertEqual(self.sink.text, _TEXT)
        self.assertEqual(len(self.first.generations), 1 + _UNTIL_LEFT)
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.second.cancelled, [])

    async def test_the_caller_leaves_meanwhile(self):
        """Nobody reads: both engines are told to stop."""
        self.lose_first(_UNTIL_LEFT)
        self.second.scripts.append(fakes.Script(gate=self.gate))
        asking = await self.started()
        asking.cancel()
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.second.cancelled, ["req-1/2"])

    async def test_the_caller_leaves_on_the_way_back(self):
        """Nobody reads: the run that was resumed is told to stop."""
        self.lose_first(_UNTIL_LEFT)
        self.first.scripts.append(fakes.Script(gate=self.gate))
        self.second.scripts.extend(refusals(1))
        asking = await self.started()
        asking.cancel()
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])

    async def test_the_deadline_passes_meanwhile(self):
        """The caller hears `unknown`; both engines are told to stop."""
        self.lose_first(_UNTIL_LEFT)
        self.second.scripts.append(fakes.Script(gate=self.gate))
        error = await self.refused(await self.started())
        self.assertIs(error.code, codes.Code.DEADLINE_DURING_RUN)
        self.assertEqual(self.sink.text, "The ")
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.second.cancelled, ["req-1/2"])

    async def test_no_way_back_once_the_other_has_begun(self):
        """The caller reads no third text: two words, then the error.

        The other engine adds a word and is lost for good. The first could go
        on by now, but behind its own words only.
        """
        self.lose_first(_UNTIL_LEFT)
        self.second.scripts.append(
            fakes.Script(words=("The ", "boiler ", "leaks."), cut_after=2)
        )
        self.second.scripts.extend(refusals(_FOR_GOOD))
        error = await self.refused(self.start())
        self.assertIs(error.code, codes.Code.BACKEND_FAILED)
        self.assertEqual(self.sink.text, "The boiler ")
        self.assertEqual(len(self.first.generations), 1 + _UNTIL_LEFT)
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.second.cancelled, ["req-1/2"])

    async def test_the_first_is_gone_for_good(self):
        """The caller hears `unknown` within 8 s, long before its deadline.

        The other engine refuses, and the first never comes back.
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


class AnyTroubleTest(unittest.TestCase):
    """Whatever three engines do, the promises hold."""

    @hypothesis.given(
        strategies.lists(
            strategies.lists(_SCRIPTS, max_size=9), min_size=3, max_size=3
        ),
        strategies.integers(0, 3),
        strategies.sampled_from([0, 500]),
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_one_text_within_the_budget(self, scripts, leave, hedge_after_ms):
        """The caller reads one engine's text, or the front of one.

        No more runs are asked for than the budget has leave for, and each run
        that gave no whole answer is cancelled, unless it never began.
        """
        asyncio.run(self.check(scripts, leave, hedge_after_ms))

    async def check(self, scripts, leave, hedge_after_ms) -> None:
        fixture = fakes.Fixture(hedge_after_ms=hedge_after_ms)
        fixture.budget.leave = leave
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
        self.assertLessEqual(len({s.attempt_id for s in sent}), 1 + leave)
        self.assert_nothing_runs_on(engines, answered=answer is not None)

    def assert_nothing_runs_on(
        self, engines: list[fakes.FakeEngine], *, answered: bool
    ) -> None:
        begun = {name for each in engines for name in each.texts}
        cancelled = {name for each in engines for name in each.cancelled}
        self.assertLessEqual(len(begun - cancelled), 1 if answered else 0)
