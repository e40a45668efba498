"""Answers that are held until the one that replaces them has begun."""

import asyncio
import datetime
import unittest

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.observe import events
from tests import fakes
from tests.cover import dispatch_errors
from tests.cover import revoked_access_case


class HeldAnswerTest(revoked_access_case.RevokedAccessCase):
    """A complete but weak answer is held until a better one begins."""

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
        """No backend server can run the strong model.

        The caller must get the cheap answer, not 502 `unknown`.
        """
        self.fixture.backends.model_addresses["large"] = ()
        await self.assert_held_answer_given(await self.started(self.generate()))

    async def test_each_failure_of_the_next_stage(self):
        """The strong model's engines refuse, are lost or end the generation.

        The caller must get the cheap answer each time.
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
            self.fixture.budget.permits = 0
            await self.assert_held_answer_given(
                await self.started(self.generate())
            )

    async def test_the_next_stage_is_revoked(self):
        """The strong model's engine refuses, and no other one may be tried.

        The template was removed, the model revoked, the configuration is too
        old, or a session's version is unknown. The caller gets the cheap
        answer.
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
        """The strong model has not begun to answer by the deadline.

        The caller must get the cheap answer then, not 504.
        """
        asking = await self.started(self.generate(deadline_s=2))
        answer = await fakes.to_end(self.fixture.clock, asking)
        self.assertEqual(answer.text, "Perhaps it does.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(len(self.fixture.ledger.bills), 1)
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/2"])

    async def test_a_begun_answer_is_not_followed_by_the_held_one(self):
        """The strong model's text has begun when its engine is lost for good.

        The caller gets that part and an error, not a second text.
        """
        self.strong.cut_after = 1
        refused = fakes.Script(fails=dispatch_errors.refused())
        self.first.scripts.extend([refused] * 20)
        self.second.scripts.extend([refused] * 20)
        asking = await self.started(self.generate())
        error = await self.refused(asking)
        self.assertIs(error.code, codes.Code.BACKEND_FAILED)
        self.assertEqual(self.sink.text, "The ")

    async def test_a_begun_answer_is_not_followed_at_the_deadline(self):
        """The caller gets part of one text and an error, not a second text."""
        self.strong.order = [0]
        self.strong.goes_silent = True
        self.gate.set()
        asking = await self.started(self.generate(deadline_s=2))
        error = await self.refused(asking)
        self.assertIs(error.code, codes.Code.DEADLINE_DURING_RUN)
        self.assertEqual(self.sink.text, "The ")

    async def test_a_caller_that_disconnects_pays_nothing(self):
        """A held answer that nobody gets must not be billed."""
        asking = await self.started(self.generate())
        asking.cancel()
        await fakes.settle()
        self.assertEqual(self.sink.text, "")
        self.assertEqual(self.fixture.ledger.bills, [])

    async def test_the_latest_weak_answer_is_given(self):
        """Two of three stages give weak answers: the later one is given."""
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


class BegunStreamTest(revoked_access_case.RevokedAccessCase):
    """A begun answer's engine is abandoned only for a permitted attempt.

    Its connection breaks after a word and four more are refused: the engine is
    unreachable for some 0.75 s. It keeps the attempt for longer. If it were
    abandoned after the third resume in any case, the answer would be cut.
    """

    def setUp(self):
        super().setUp()
        refused = fakes.Script(fails=dispatch_errors.refused())
        self.first.scripts.append(fakes.Script(gate=self.gate, cut_after=1))
        self.first.scripts.extend([refused] * 4)

    async def assert_resumed(self, asking: asyncio.Task) -> None:
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(self.second.generations, [])
        self.assertEqual(
            {g.attempt_id for g in self.first.generations}, {"req-1/1"}
        )
        self.assertEqual(self.first.generations[-1].resume_at_token, 1)
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_the_retry_budget_is_spent(self):
        """No other attempt is permitted: the engine is resumed."""
        self.fixture.budget.permits = 0
        await self.assert_resumed(await self.started(self.generate()))

    async def test_no_other_backend_server(self):
        """There is no other engine: this one is resumed."""
        self.fixture.backends.addresses = ["e1:1"]
        await self.assert_resumed(await self.started(self.generate()))
        self.assertEqual(self.fixture.budget.permits, 100)

    async def test_its_template_or_model_is_revoked(self):
        """No new work may be sent, but the engine already has this one.

        It must not be abandoned for another engine, to which nothing may be
        sent.
        """
        for refusal in (codes.Code.NOT_ALLOWED, codes.Code.NO_CANDIDATE):
            asking = await self.started(self.generate())
            self.fixture.versions.refusal = refusal
            await self.assert_resumed(asking)
            self.assertEqual(self.fixture.budget.permits, 100)
            self.setUp()
        asking = await self.started(self.generate())
        self.configure(templates={})
        await self.assert_resumed(asking)

    async def test_it_is_abandoned_once_another_attempt_is_permitted(self):
        """The retry budget is spent at first; a little later it permits one.

        The answer continues at another engine, to which it is sent once.
        """
        self.first.scripts.extend(
            [fakes.Script(fails=dispatch_errors.refused())] * 20
        )
        self.fixture.budget.permits = 0
        asking = await self.started(self.generate())
        self.gate.set()
        await self.fixture.clock.advance(datetime.timedelta(milliseconds=500))
        self.assertEqual(self.sink.text, "The ")
        self.assertFalse(asking.done())
        self.fixture.budget.permits = 1
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        [repeat] = self.second.generations
        self.assertEqual(repeat.attempt_id, "req-1/2")
        self.assertEqual(self.fixture.budget.permits, 0)

    async def test_a_granted_attempt_that_is_refused_cuts_no_answer(self):
        """An engine is abandoned with the last of the budget for one that
        refuses.

        The first is reachable again by then, and keeps an attempt for 10 s:
        the answer must continue there.
        """
        self.fixture.budget.permits = 1
        self.second.scripts.append(
            fakes.Script(fails=dispatch_errors.refused())
        )
        answer = await self.ended(await self.started(self.generate()))
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)

    async def test_an_engine_that_is_gone_ends_the_request(self):
        """An engine that nothing may replace is lost for good.

        Engines keep an attempt for some 10 s, so the caller gets `unknown`
        within 7 s, long before its deadline.
        """
        self.first.scripts.extend(
            [fakes.Script(fails=dispatch_errors.refused())] * 20
        )
        self.fixture.budget.permits = 0
        asking = await self.started(self.generate(deadline_s=600))
        error = await self.refused(asking)
        self.assertIs(error.run_state, codes.RunState.UNKNOWN)
        self.assertLess(
            self.fixture.clock.monotonic(), datetime.timedelta(seconds=7)
        )


if __name__ == "__main__":
    unittest.main()
