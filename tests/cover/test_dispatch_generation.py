"""A generation's outcome is complete, correct and billed once."""

import asyncio
import datetime
import unittest

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.routing import backends
from tests import fakes
from tests.cover import dispatch_errors


class FailureTest(unittest.IsolatedAsyncioTestCase):
    """Single failures."""

    def setUp(self):
        self.fixture = fakes.Fixture()
        self.sink = fakes.RecordingSink()
        self.first = self.fixture.engines["e1:1"]
        self.second = self.fixture.engines["e2:1"]

    def generate(self, **request_fields):
        return self.fixture.dispatcher().generate(
            fakes.generation_request(self.fixture, **request_fields),
            self.sink,
        )

    async def ended(self, **request_fields):
        return await fakes.to_end(
            self.fixture.clock, self.generate(**request_fields)
        )

    async def test_the_end_waits_for_the_bill(self):
        """The caller gets all text, but no end until the bill is durable."""
        self.fixture.ledger.finish_gate = asyncio.Event()
        ending = asyncio.ensure_future(self.generate())
        await fakes.settle()
        self.assertEqual(self.sink.text, "The boiler holds.")
        self.assertFalse(ending.done())
        self.fixture.ledger.finish_gate.set()
        await ending
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_an_unsettled_bill_withholds_the_answer(self):
        """The store takes no bill: the caller gets `ran` and no answer."""
        self.fixture.ledger.finish_error = errors.CodedError(
            code=codes.Code.BILL_UNSETTLED
        )
        with self.assertRaises(errors.CodedError) as caught:
            await self.ended(key="finding-7")
        self.assertEqual(caught.exception.run_state, codes.RunState.RAN)
        self.assertEqual(self.fixture.ledger.unknown, [])

    async def test_a_cut_stream_resumes_on_the_same_engine(self):
        """The connection breaks after one token.

        The engine still has the attempt and resumes it at the next token: no
        word is doubled or missing.
        """
        self.first.scripts.append(fakes.Script(cut_after=1))
        answer = await self.ended()
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(
            [(g.attempt_id, g.resume_at_token) for g in self.first.generations],
            [("req-1/1", 0), ("req-1/1", 1)],
        )
        self.assertEqual(self.second.generations, [])

    async def test_a_missing_chunk_is_requested_again(self):
        """Token 1 was skipped, on a connection that stays open.

        It must be requested at once; waiting for the connection's end would
        last until the deadline.
        """
        self.first.scripts.append(fakes.Script(order=[0, 2], goes_silent=True))
        answer = await self.ended()
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(self.first.generations[1].resume_at_token, 1)

    async def test_duplicate_and_foreign_chunks_are_dropped(self):
        """The connection carries a chunk of another request and a duplicate.

        The caller must get its own answer only, each word once.
        """
        self.first.scripts.append(fakes.Script(order=[0, -1, 0, 1, 2]))
        await self.ended()
        self.assertEqual(self.sink.text, "The boiler holds.")
        self.assertEqual(self.fixture.meter.counts["chunk dropped"], 2)

    async def test_an_engine_lost_before_the_first_token_is_replaced(self):
        """Another engine runs the same version, unnoticed by the caller."""
        self.first.scripts.append(fakes.Script(fails=dispatch_errors.lost()))
        answer = await self.ended(session="s-1")
        self.assertEqual(answer.text, "The boiler holds.")
        [repeat] = self.second.generations
        self.assertEqual(repeat.attempt_id, "req-1/2")
        self.assertEqual(repeat.model_version, fakes.LARGE)
        self.assertEqual(self.first.cancelled, ["req-1/1"])

    async def test_a_lost_engine_s_answer_continues_only_word_for_word(self):
        """An engine is lost for good after two tokens were relayed.

        The answer continues if the second engine's text begins with the same
        words, in other chunks. If it begins with other words, the caller gets
        an error: two texts must not be spliced.
        """
        gone = [fakes.Script(cut_after=2)] + [
            fakes.Script(fails=dispatch_errors.refused())
        ] * 20
        self.first.scripts.extend(gone)
        self.second.scripts.append(
            fakes.Script(words=("The boi", "ler holds", "."))
        )
        answer = await self.ended()
        self.assertEqual(self.sink.text, "The boiler holds.")
        self.assertEqual(answer.text, self.sink.text)
        self.setUp()
        self.first.scripts.extend(gone)
        self.second.scripts.append(fakes.Script(words=("The ", "tank ", "is")))
        with self.assertRaises(errors.CodedError) as caught:
            await self.ended()
        self.assertEqual(self.sink.text, "The boiler ")
        self.assertEqual(caught.exception.code, codes.Code.BACKEND_FAILED)
        self.assertEqual(self.fixture.ledger.bills, [])
        self.assertEqual(len(self.second.generations), 1)

    async def test_refusals_are_reported_by_kind(self):
        """A refusal says whether the engine is leaving or overloaded.

        Routing must be told, since it learns so before any list or load report
        says it.
        """
        leaving = failures.NotDoneError("shutting down", leaving=True)
        full = failures.NotDoneError("full", overloaded=True)
        self.first.scripts.append(fakes.Script(fails=leaving))
        self.second.scripts.append(fakes.Script(fails=full))
        await self.ended()
        outcomes = [outcome for _, outcome in self.fixture.backends.outcomes]
        self.assertEqual(
            outcomes,
            [
                backends.AttemptOutcome.REFUSED_LEAVING,
                backends.AttemptOutcome.REFUSED_OVERLOAD,
                backends.AttemptOutcome.ANSWERED,
            ],
        )

    async def test_retries_end_with_the_budget(self):
        """Both engines refuse, and the retry budget permits one retry.

        The caller gets `not_run` with a Retry-After at once.
        """
        self.fixture.budget.permits = 1
        for fake in (self.first, self.second):
            fake.scripts.extend(
                [fakes.Script(fails=dispatch_errors.refused())] * 9
            )
        with self.assertRaises(errors.CodedError) as caught:
            await self.ended(key="finding-7")
        self.assertEqual(caught.exception.code, codes.Code.BACKEND_REFUSED)
        self.assertEqual(caught.exception.run_state, codes.RunState.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after)
        calls = len(self.first.generations) + len(self.second.generations)
        self.assertEqual(calls, 2)
        self.assertEqual(self.fixture.ledger.released, ["finding-7"])

    async def test_a_budget_is_charged_what_was_used(self):
        """Callers of a small budget are served until it is actually spent.

        Each answer may take 104 tokens and takes 8. Of 120 tokens a minute,
        the last begins with 8 left; the next one gets `OVER_BUDGET`.
        """
        fixture = self.fixture = fakes.Fixture(tokens_per_minute=120)
        fixture.admission = fakes.fair_admission_with(
            fixture.clock, concurrency_limit.FixedLimit(slots=1)
        )
        for _ in range(15):
            await self.generate()
        with self.assertRaises(errors.CodedError) as caught:
            await self.generate()
        self.assertEqual(caught.exception.code, codes.Code.OVER_BUDGET)

    async def test_a_version_withdrawn_while_waiting_gets_no_work(self):
        """A version is withdrawn while its request waits for a retry.

        The check just before the send must notice; the caller gets the next
        version's answer.
        """
        newer = engine.ModelVersion(model="large", version="2")
        snapshot = self.fixture.config.snapshot
        template = snapshot.template("agency", "review")
        stage = template.stages[1]
        versions = (
            *stage.versions,
            msgspec.structs.replace(stage.versions[0], version="2"),
        )
        stages = (
            template.stages[0],
            msgspec.structs.replace(stage, versions=versions),
        )
        template = msgspec.structs.replace(template, stages=stages)
        self.fixture.config.current = msgspec.structs.replace(
            snapshot, templates={"agency/review": template}
        )
        gate = asyncio.Event()
        self.first.scripts.append(
            fakes.Script(gate=gate, fails=dispatch_errors.refused())
        )
        ending = asyncio.ensure_future(self.generate())
        await fakes.settle()
        self.fixture.versions.withdrawn.add(fakes.LARGE)
        gate.set()
        answer = await fakes.to_end(self.fixture.clock, ending)
        self.assertEqual(answer.model_version, newer)
        self.assertEqual(self.fixture.versions.released, [fakes.LARGE])
        [generation] = self.second.generations
        self.assertEqual(generation.model_version, newer)

    async def test_a_refusal_after_a_possible_run_is_not_called_not_run(self):
        """A connection breaks after the request was written.

        Before the retry the only version is withdrawn. The retry was not run,
        but the request may have been: the caller must get `unknown`.
        """
        gate = asyncio.Event()
        self.first.scripts.append(
            fakes.Script(gate=gate, fails=dispatch_errors.lost())
        )
        ending = asyncio.ensure_future(self.generate(key="finding-7"))
        await fakes.settle()
        self.fixture.versions.withdrawn.add(fakes.LARGE)
        gate.set()
        with self.assertRaises(errors.CodedError) as caught:
            await fakes.to_end(self.fixture.clock, ending)
        self.assertEqual(caught.exception.run_state, codes.RunState.UNKNOWN)
        self.assertEqual(self.fixture.ledger.unknown, ["finding-7"])

    async def test_the_deadline_ends_a_silent_attempt(self):
        """The caller gets `unknown` at its deadline; the run is cancelled."""
        self.first.scripts.append(fakes.Script(gate=asyncio.Event()))
        with self.assertRaises(errors.CodedError) as caught:
            await self.ended(deadline_s=2)
        self.assertEqual(caught.exception.code, codes.Code.DEADLINE_DURING_RUN)
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.first.generations[0].deadline_ms, 2000)
        self.assertEqual(self.fixture.versions.released, [fakes.LARGE])

    async def test_a_caller_that_disconnects_pays_what_it_received(self):
        """The engine's run is cancelled, and two tokens are billed."""
        gate = asyncio.Event()
        self.first.scripts.extend(
            [fakes.Script(cut_after=2), fakes.Script(gate=gate)]
        )
        ending = asyncio.ensure_future(self.generate())
        await self.fixture.clock.advance(datetime.timedelta(seconds=1))
        self.assertEqual(self.sink.text, "The boiler ")
        ending.cancel()
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        [bill] = self.fixture.ledger.bills
        self.assertEqual(bill.output_tokens, 2)
        self.assertEqual(self.fixture.versions.released, [])

    async def test_a_keyed_request_is_finished_for_its_retry(self):
        """The caller's connection breaks, and it retries with the same key.

        The first try continues, is billed and its answer stored; the retry gets
        that answer and nothing runs twice.
        """
        gate = asyncio.Event()
        self.first.scripts.append(fakes.Script(gate=gate))
        dispatcher = self.fixture.dispatcher()
        request = fakes.generation_request(self.fixture, key="finding-7")
        first_try = asyncio.ensure_future(
            dispatcher.generate(request, self.sink)
        )
        await fakes.settle()
        first_try.cancel()
        await fakes.settle()
        with self.assertRaises(errors.CodedError) as caught:
            await dispatcher.generate(request, self.sink)
        self.assertEqual(caught.exception.code, codes.Code.ALREADY_RUNNING)
        gate.set()
        await dispatcher.settled()
        kept = await dispatcher.generate(request, self.sink)
        self.assertEqual(kept.body, b"The boiler holds.")
        self.assertEqual(self.sink.text, "")
        self.assertEqual(len(self.first.generations), 1)
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_a_weak_answer_is_not_sent(self):
        """The cheap stage's answer is judged too weak.

        The caller gets only the strong model's answer and pays for that one;
        the cost of the other is counted as spent.
        """
        self.fixture.cascade = fakes.FakeCascade(
            first_stage=0, may_escalate=True
        )
        self.fixture.cascade.accepted = False
        self.first.scripts.append(fakes.Script(words=("No ", "idea.")))
        answer = await self.ended()
        self.assertEqual(answer.model_version, fakes.LARGE)
        self.assertEqual(self.sink.text, "The boiler holds.")
        [bill] = self.fixture.ledger.bills
        self.assertEqual(bill.cost_micros, 10 * 5 + 100 * 3)
        self.assertEqual(bill.spent_micros, bill.cost_micros + 5 + 10 * 2)

    async def test_a_full_rating_queue_does_not_affect_callers(self):
        """All callers are answered; unrated answers are counted."""
        self.fixture.cascade.rated = True
        for _ in range(3):
            await self.ended()
        self.assertEqual(self.fixture.meter.counts["rating dropped"], 1)
        submitting = asyncio.ensure_future(self.fixture.ratings.run())
        await fakes.settle()
        submitting.cancel()
        self.assertEqual(len(self.fixture.rating_service.tasks), 2)
