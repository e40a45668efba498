"""Answers in hand that are kept until what replaces them has begun."""

import asyncio
import datetime
import unittest

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.observe import events
from tests import fakes
from tests.cover import dispatch_errors
from tests.cover import taken_away_case


class HeldAnswerTest(taken_away_case.TakenAwayCase):
    """A whole answer that was judged weak is kept until a better one comes."""

    def setUp(self):
        super().setUp()
        self.fixture.cascade = fakes.FakeCascade(
            first_stage=0, may_escalate=True
        )
        self.fixture.cascade.accepted = False
        self.first.scripts.append(fakes.Script(words=("Perhaps ", "it does.")))
        self.strong = fakes.Script(gate=self.gate)
        self.first.scripts.append(self.strong)

    async def assert_held_answer_given(self, asking: asyncio.Task) -> None:
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "Perhaps it does.")
        self.assertEqual(answer.model_version, fakes.SMALL)
        self.assertEqual(self.sink.text, answer.text)
        [bill] = self.fixture.ledger.bills
        self.assertEqual(bill.model_version, str(fakes.SMALL))
        self.assertEqual(self.fixture.ledger.unknown, [])
        ends = [event.kind for event in self.fixture.events.since(0)]
        self.assertIn(events.EventKind.HELD_ANSWER_GIVEN, ends)

    async def test_no_backend_server_for_the_next_stage(self):
        """The caller gets the cheap answer that the instance has in hand.

        It was judged weak, and dropped; then no backend server had a place
        for the strong model, and the caller was told 502 `unknown`.
        """
        self.fixture.backends.model_addresses["large"] = ()
        await self.assert_held_answer_given(await self.started(self.generate()))

    async def test_each_end_of_the_next_stage(self):
        """The caller gets the cheap answer, whatever the strong model meets.

        It refuses, is lost, ends the generation or falls out of the
        template; the team loses it, or no instance may choose a version.
        """
        for scripts in (
            [fakes.Script(fails=dispatch_errors.refused())] * 4,
            [fakes.Script(fails=dispatch_errors.lost())] * 4,
        ):
            with self.subTest(str(scripts[0].fails)):
                self.first.scripts.pop()
                self.first.scripts.extend(scripts)
                self.second.scripts.extend(scripts)
                await self.assert_held_answer_given(
                    await self.started(self.generate())
                )
            self.setUp()
        with self.subTest("failed before a word"):
            self.strong.words = ("",)
            self.strong.finish = engine.FinishReason.FAILED
            self.fixture.budget.leave = 0
            await self.assert_held_answer_given(
                await self.started(self.generate())
            )

    async def test_the_next_stage_is_taken_away(self):
        """The caller gets the cheap answer; the strong model is forbidden.

        The strong model's engine refuses; before another one is tried, the
        template is gone, the model is taken from the team, the configuration
        is too old, or a session's version can't be found out.
        """
        for refusal in (
            codes.Code.UNKNOWN_TEMPLATE,
            codes.Code.NOT_ALLOWED,
            codes.Code.STALE_CONFIG,
            codes.Code.STORE_OUT,
        ):
            with self.subTest(refusal.name):
                self.strong.fails = dispatch_errors.refused()
                asking = await self.started(self.generate(key="finding-7"))
                self.fixture.versions.refusal = refusal
                if refusal is codes.Code.UNKNOWN_TEMPLATE:
                    self.configure(templates={})
                await self.assert_held_answer_given(asking)
            self.setUp()

    async def test_the_deadline_passes_in_the_next_stage(self):
        """The caller gets the cheap answer at its deadline, not 504.

        The strong model has not begun to answer by then.
        """
        asking = await self.started(self.generate(deadline_s=2))
        answer = await fakes.to_end(self.fixture.clock, asking)
        self.assertEqual(answer.text, "Perhaps it does.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(len(self.fixture.ledger.bills), 1)
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/2"])

    async def test_a_begun_answer_is_not_followed_by_the_held_one(self):
        """The caller reads one text only: half an answer, then the error.

        The strong model's text has begun when its engine is lost for good.
        """
        self.strong.cut_after = 1
        refused = fakes.Script(fails=dispatch_errors.refused())
        self.first.scripts.extend([refused] * 20)
        self.second.scripts.extend([refused] * 20)
        asking = await self.started(self.generate())
        error = await self.refused(asking)
        self.assertIs(error.code, codes.Code.BACKEND_FAILED)
        self.assertEqual(self.sink.text, "The ")

    async def test_nor_is_it_at_the_deadline(self):
        """The caller reads one text only: half an answer, then the error."""
        self.strong.order = [0]
        self.strong.goes_silent = True
        self.gate.set()
        asking = await self.started(self.generate(deadline_s=2))
        error = await self.refused(asking)
        self.assertIs(error.code, codes.Code.DEADLINE_DURING_RUN)
        self.assertEqual(self.sink.text, "The ")

    async def test_a_caller_that_leaves_gets_and_pays_nothing(self):
        """Nobody reads: the held answer is no reason to bill."""
        asking = await self.started(self.generate())
        asking.cancel()
        await fakes.settle()
        self.assertEqual(self.sink.text, "")
        self.assertEqual(self.fixture.ledger.bills, [])

    async def test_a_larger_model_s_weak_answer_goes_first(self):
        """The caller gets the last weak answer of three stages' first two."""
        snapshot = self.fixture.config.snapshot
        template = snapshot.template("agency", "review")
        largest = msgspec.structs.replace(template.stages[1], model="largest")
        template = msgspec.structs.replace(
            template, stages=(*template.stages, largest)
        )
        self.configure(templates={"agency/review": template})
        self.fixture.backends.model_addresses["largest"] = ()
        answer = await self.ended(await self.started(self.generate()))
        self.assertEqual(answer.model_version, fakes.LARGE)
        self.assertEqual(self.sink.text, "The boiler holds.")


class BegunStreamTest(taken_away_case.TakenAwayCase):
    """A begun answer's engine is left only for an attempt that may follow.

    Its connection breaks after a word, and four more are refused: the engine
    can't be reached for some 0.75 s. It keeps the attempt for longer. The
    third try used to be the last, whatever came then.
    """

    def setUp(self):
        super().setUp()
        refused = fakes.Script(fails=dispatch_errors.refused())
        self.first.scripts.append(fakes.Script(gate=self.gate, cut_after=1))
        self.first.scripts.extend([refused] * 4)

    async def assert_goes_on(self, asking: asyncio.Task) -> None:
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(self.second.generations, [])
        self.assertEqual(
            {g.attempt_id for g in self.first.generations}, {"req-1/1"}
        )
        self.assertEqual(self.first.generations[-1].resume_at_token, 1)
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_no_leave_for_a_further_attempt(self):
        """The caller reads on; the retry budget is spent."""
        self.fixture.budget.leave = 0
        await self.assert_goes_on(await self.started(self.generate()))

    async def test_no_other_backend_server(self):
        """The caller reads on; there is nobody else to ask."""
        self.fixture.backends.addresses = ["e1:1"]
        await self.assert_goes_on(await self.started(self.generate()))
        self.assertEqual(self.fixture.budget.leave, 100)

    async def test_its_template_or_model_is_taken_away(self):
        """The caller reads on: its engine has had the work for long.

        No new work may go out for it, so it is not left for another engine,
        which would have been refused in mid-answer.
        """
        for refusal in (codes.Code.NOT_ALLOWED, codes.Code.NO_CANDIDATE):
            asking = await self.started(self.generate())
            self.fixture.versions.refusal = refusal
            await self.assert_goes_on(asking)
            self.assertEqual(self.fixture.budget.leave, 100)
            self.setUp()
        asking = await self.started(self.generate())
        self.configure(templates={})
        await self.assert_goes_on(asking)

    async def test_it_is_left_once_another_attempt_is_granted(self):
        """The caller reads on from another engine, asked for once.

        The budget is spent at first; a little later it has leave for one.
        """
        self.first.scripts.extend(
            [fakes.Script(fails=dispatch_errors.refused())] * 20
        )
        self.fixture.budget.leave = 0
        asking = await self.started(self.generate())
        self.gate.set()
        await self.fixture.clock.advance(datetime.timedelta(milliseconds=500))
        self.assertEqual(self.sink.text, "The ")
        self.assertFalse(asking.done())
        self.fixture.budget.leave = 1
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        [repeat] = self.second.generations
        self.assertEqual(repeat.attempt_id, "req-1/2")
        self.assertEqual(self.fixture.budget.leave, 0)

    async def test_a_granted_attempt_that_is_refused_cuts_no_answer(self):
        """The caller reads on.

        Its engine can't be reached for a moment, and is left for another one
        with the last of the retry budget. That one refuses. The first is back
        by then, and would have kept the attempt for 10 s.
        """
        self.fixture.budget.leave = 1
        self.second.scripts.append(
            fakes.Script(fails=dispatch_errors.refused())
        )
        answer = await self.ended(await self.started(self.generate()))
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)

    async def test_an_engine_that_is_gone_ends_the_request(self):
        """The caller hears `unknown` in 7 s, long before its deadline.

        Nothing may replace the engine, and it does not come back; engines
        keep an attempt for some 10 s.
        """
        self.first.scripts.extend(
            [fakes.Script(fails=dispatch_errors.refused())] * 20
        )
        self.fixture.budget.leave = 0
        asking = await self.started(self.generate(deadline_s=600))
        error = await self.refused(asking)
        self.assertIs(error.run_state, codes.RunState.UNKNOWN)
        self.assertLess(
            self.fixture.clock.monotonic(), datetime.timedelta(seconds=7)
        )


if __name__ == "__main__":
    unittest.main()
