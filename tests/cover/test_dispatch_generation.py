"""A generation's outcome is whole, true and billed once, whatever fails."""

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
    """Single failures, told one by one."""

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
        """The caller reads all text but not the end while the store is slow.

        The engine's last chunk is relayed; the ledger has not yet made the
        bill durable. Only its return lets the request end.
        """
        self.fixture.ledger.finish_gate = asyncio.Event()
        ending = asyncio.ensure_future(self.generate())
        await fakes.settle()
        self.assertEqual(self.sink.text, "The boiler holds.")
        self.assertFalse(ending.done())
        self.fixture.ledger.finish_gate.set()
        await ending
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_an_unsettled_bill_holds_the_answer_back(self):
        """The caller is told `ran` and gets no end: the store took no bill."""
        self.fixture.ledger.finish_error = errors.CodedError(
            code=codes.Code.BILL_UNSETTLED
        )
        with self.assertRaises(errors.CodedError) as caught:
            await self.ended(key="finding-7")
        self.assertEqual(caught.exception.run_state, codes.RunState.RAN)
        self.assertEqual(self.fixture.ledger.unknown, [])

    async def test_a_cut_stream_resumes_on_the_same_engine(self):
        """The caller reads on after a pause; no word twice, none missing.

        The connection breaks after one token. The engine still has the
        attempt, and is asked for it from the next token on.
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

    async def test_a_missing_chunk_is_asked_for_again(self):
        """The caller misses nothing: token 1 was skipped, and is fetched.

        The connection stays open; waiting for its end would cost the caller
        its deadline.
        """
        self.first.scripts.append(fakes.Script(order=[0, 2], goes_silent=True))
        answer = await self.ended()
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(self.first.generations[1].resume_at_token, 1)

    async def test_late_and_crossed_chunks_find_nobody(self):
        """The caller reads its own answer only, each word once.

        On the engine's connection come a chunk of another request, and one
        of this attempt a second time.
        """
        self.first.scripts.append(fakes.Script(order=[0, -1, 0, 1, 2]))
        await self.ended()
        self.assertEqual(self.sink.text, "The boiler holds.")
        self.assertEqual(self.fixture.meter.counts["chunk dropped"], 2)

    async def test_an_engine_lost_before_the_first_token_is_replaced(self):
        """The caller notices nothing: another engine, the same version."""
        self.first.scripts.append(fakes.Script(fails=dispatch_errors.lost()))
        answer = await self.ended(session="s-1")
        self.assertEqual(answer.text, "The boiler holds.")
        [repeat] = self.second.generations
        self.assertEqual(repeat.attempt_id, "req-1/2")
        self.assertEqual(repeat.model_version, fakes.LARGE)
        self.assertEqual(self.first.cancelled, ["req-1/1"])

    async def test_a_lost_engine_s_answer_goes_on_only_word_for_word(self):
        """The caller reads on if the repeat says the same, else an error.

        The engine is gone after two tokens were relayed. The second engine's
        text begins with the same words, in other chunks; then, in a second
        run, with other words: two texts must not be spliced.
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

    async def test_a_refusal_tells_what_it_was(self):
        """The caller is served elsewhere; the refusal counts as evidence.

        An engine that is shutting down says so when it refuses: that is
        known earlier than any list or report tells.
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
        """The caller hears `not_run` and when to come again, at once.

        Both engines refuse; the fleet's retry budget has leave for one more.
        """
        self.fixture.budget.leave = 1
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
        """Callers of a small budget are served until it is really spent.

        Each answer may take 104 tokens and takes 8. Of 120 tokens a minute,
        the last begins with 8 left; the next one is told `OVER_BUDGET`.
        """
        fixture = self.fixture = fakes.Fixture(tokens_per_minute=120)
        fixture.admission = fakes.fair_admission_with(
            fixture.clock, concurrency_limit.FixedLimit(places=1)
        )
        for _ in range(15):
            await self.generate()
        with self.assertRaises(errors.CodedError) as caught:
            await self.generate()
        self.assertEqual(caught.exception.code, codes.Code.OVER_BUDGET)

    async def test_a_version_withdrawn_while_waiting_gets_no_work(self):
        """The caller gets the next version's answer.

        The choice was made; then the request waited to be retried; meanwhile
        the version is withdrawn. The check just before the send must see it.
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
        self.assertEqual(self.fixture.versions.given_back, [fakes.LARGE])
        [generation] = self.second.generations
        self.assertEqual(generation.model_version, newer)

    async def test_a_refusal_after_a_possible_run_is_not_called_not_run(self):
        """The caller hears `unknown`, though the last step was a refusal.

        The first engine's connection breaks after the request was written.
        Before the repeat the only version is withdrawn, so no version may be
        sent to: true of the repeat, but not of the whole request.
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
        """The caller hears `unknown` at its deadline; the engine is told."""
        self.first.scripts.append(fakes.Script(gate=asyncio.Event()))
        with self.assertRaises(errors.CodedError) as caught:
            await self.ended(deadline_s=2)
        self.assertEqual(caught.exception.code, codes.Code.DEADLINE_DURING_RUN)
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/1"])
        self.assertEqual(self.first.generations[0].deadline_ms, 2000)
        self.assertEqual(self.fixture.versions.given_back, [fakes.LARGE])

    async def test_a_caller_that_goes_cancels_and_pays_what_it_took(self):
        """Nobody reads on: the engine stops, the two tokens are billed."""
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
        self.assertEqual(self.fixture.versions.given_back, [])

    async def test_a_keyed_request_is_finished_for_its_retry(self):
        """The caller's connection breaks; its retry gets the answer.

        The first try goes on without a reader, is billed, and is kept; the
        retry with the same key reads that answer and nothing runs twice.
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

    async def test_a_weak_answer_is_never_seen(self):
        """The caller reads the strong model's answer and pays for that one.

        The cheap stage's whole answer is held, judged too weak, and dropped;
        its cost is counted as spent.
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

    async def test_a_full_rating_queue_costs_the_caller_nothing(self):
        """All callers are answered; what can't be rated is counted."""
        self.fixture.cascade.rated = True
        for _ in range(3):
            await self.ended()
        self.assertEqual(self.fixture.meter.counts["rating dropped"], 1)
        handing_in = asyncio.ensure_future(self.fixture.ratings.run())
        await fakes.settle()
        handing_in.cancel()
        self.assertEqual(len(self.fixture.rating_service.tasks), 2)
