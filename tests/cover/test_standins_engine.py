"""The model engine stand-in behaves like a real engine, on a fake clock."""

import asyncio
import contextlib
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import weights
from nutmeghook.internal.foundation import clock
from nutmeghook.standins import answers
from nutmeghook.standins import engine_settings
from nutmeghook.standins import memory_engine

MILLISECOND = datetime.timedelta(milliseconds=1)
SMALL = engine.ModelVersion(model="small", version="1")
LARGE = engine.ModelVersion(model="large", version="1")
SETTINGS = engine_settings.EngineSettings(
    capacity=2,
    step_ms=10,
    slowdown_per_generation=0.5,
    prompt_token_ms=1,
    mean_answer_tokens=8,
    report_lag_ms=100,
    cache_event_lag_ms=100,
)


def generation(name: str, **changes: object) -> engine.Generation:
    """Returns a generation with a prompt of 20 words."""
    words = " ".join(["word"] * 18)
    plain = engine.Generation(
        attempt_id=name,
        model_version=SMALL,
        messages=(
            engine.Message(role="user", content=f"marker={name} {words}"),
        ),
        max_tokens=100,
    )
    return msgspec.structs.replace(plain, **changes)


class EngineCase(unittest.IsolatedAsyncioTestCase):
    """Fixture: an engine with a batch capacity of two."""

    def setUp(self):
        self.clock = clock.FakeClock()
        self.settings = msgspec.convert(
            msgspec.to_builtins(SETTINGS), engine_settings.EngineSettings
        )
        self.engine = memory_engine.MemoryEngine(
            clock=self.clock,
            loaded=(SMALL,),
            settings=self.settings,
            random_source=random.Random(7),
            redeem={
                "good": weights.WeightInfo(model_version=LARGE, size_bytes=0)
            }.get,
        )

    async def read(self, wanted: engine.Generation) -> list[engine.Chunk]:
        """Reads a stream to its end."""
        chunks = self.engine.generate(wanted)
        async with contextlib.aclosing(chunks):
            return [chunk async for chunk in chunks]

    def start(self, name: str, **changes: object) -> asyncio.Task:
        """Starts a task that reads a stream."""
        return asyncio.ensure_future(self.read(generation(name, **changes)))

    async def time_until_done(self, *readers: asyncio.Task) -> float:
        """Advances the clock until all are done; returns milliseconds."""
        started = self.clock.monotonic()
        while not all(reader.done() for reader in readers):
            await self.clock.advance(5 * MILLISECOND)
        return (self.clock.monotonic() - started) / MILLISECOND


class BatchTest(EngineCase):
    """Speed, order and retention of generations."""

    async def test_a_cached_prompt_and_an_empty_batch_are_faster(self):
        # The same prompt gives answers of the same length.
        same = generation("same").messages

        def start(name, session):
            return self.start(name, messages=same, session=session)

        alone = await self.time_until_done(start("a", "1"))
        cached = await self.time_until_done(start("b", "1"))
        both = await self.time_until_done(start("c", "2"), start("d", "3"))
        self.assertLess(cached, alone)
        self.assertLess(alone, both)

    async def test_queue_is_ordered_by_priority(self):
        """With a full batch, a queued attempt of higher priority runs first.

        An attempt that is cancelled in the queue has not run and is not in the
        log.
        """
        first = [self.start("a"), self.start("b")]
        await self.clock.advance(MILLISECOND)
        low, high = self.start("low"), self.start("high", priority=5)
        dropped = self.start("dropped")
        await self.clock.advance(MILLISECOND)
        await self.engine.cancel("dropped")
        await self.time_until_done(*first, low, high, dropped)
        self.assertIsInstance(dropped.exception(), failures.NotDoneError)
        names = [run.attempt_id for run in self.engine.runs]
        self.assertEqual(names, ["a", "b", "high", "low"])

    async def test_attempt_queued_past_its_deadline_has_not_run(self):
        first = [self.start("a"), self.start("b")]
        await self.clock.advance(MILLISECOND)
        late = self.start("late", deadline_ms=20)
        await self.time_until_done(late)
        self.assertIsInstance(late.exception(), failures.NotDoneError)
        await self.time_until_done(*first)
        self.assertEqual(len(self.engine.runs), 2)

    async def test_an_attempt_is_kept_for_a_while_after_a_cut(self):
        """A reader can resume within 10 s and gets all tokens.

        Later its attempt is refused, because the tokens are dropped and a new
        run would splice two answers.
        """
        self.settings.cut_next_streams = 1
        reader = self.start("a")
        await self.time_until_done(reader)
        self.assertIsInstance(reader.exception(), failures.OutcomeUnknownError)
        await self.clock.advance(9_000 * MILLISECOND)
        rest = await self.read(generation("a", resume_at_token=3))
        text = "".join(chunk.text for chunk in rest)
        self.assertEqual(answers.parse_answer(text).tokens, rest[-1].tokens)
        await self.clock.advance(11_000 * MILLISECOND)
        with self.assertRaises(failures.NotDoneError):
            await self.read(generation("a", resume_at_token=3))
        self.assertEqual(len(self.engine.runs), 1)

    async def test_unread_attempt_is_cancelled(self):
        self.settings.step_ms = 2_000
        reader = self.start("a")
        await self.clock.advance(3_000 * MILLISECOND)
        reader.cancel()
        await self.clock.advance(20_000 * MILLISECOND)
        finish = self.engine.runs[0].finish
        self.assertIs(finish, engine.FinishReason.CANCELLED)

    async def test_answers_of_a_bad_version_are_marked(self):
        self.settings.bad_versions = (SMALL,)
        reader = self.start("a")
        await self.time_until_done(reader)
        text = "".join(chunk.text for chunk in reader.result())
        self.assertTrue(answers.parse_answer(text).bad)


class DelayedReportsTest(EngineCase):
    """Reports, events and loading that are delayed or lost."""

    async def test_load_reports_are_delayed(self):
        reader = self.start("a")
        await self.clock.advance(MILLISECOND)
        self.assertEqual((await self.engine.load_report()).running, 0)
        await self.clock.advance(100 * MILLISECOND)
        report = await self.engine.load_report()
        self.assertEqual((report.running, report.age_ms), (1, 100))
        await self.time_until_done(reader)
        await self.clock.advance(100 * MILLISECOND)
        self.assertEqual((await self.engine.load_report()).running, 0)

    async def test_cache_events_have_gaps_and_evictions(self):
        self.settings.cache_event_loss_percent = 50
        self.settings.cache_capacity_tokens = 60
        for number in range(12):
            await self.time_until_done(self.start(f"a{number}"))
        await self.clock.advance(100 * MILLISECOND)
        events = await self.engine.cache_events(0)
        sequences = [event.sequence for event in events]
        self.assertEqual(sequences, sorted(set(sequences)))
        self.assertLess(len(sequences), sequences[-1])
        self.assertEqual({event.stored for event in events}, {True, False})

    async def test_loading_takes_time_and_a_ticket(self):
        self.settings.needs_ticket = True
        self.settings.load_ms = 500
        order = engine.Order(
            order_id="o",
            kind=engine.OrderKind.LOAD,
            target=str(LARGE),
            fencing_token=1,
        )
        with self.assertRaises(failures.NotDoneError):
            await self.engine.order(order)
        self.settings.needs_ticket = False
        for expected in ("in_progress", "in_progress", "done"):
            state = await self.engine.order(order)
            self.assertEqual(state.value, expected)
            await self.clock.advance(250 * MILLISECOND)
        self.settings.needs_ticket = True
        bought = msgspec.structs.replace(order, order_id="p", ticket="good")
        self.assertIs(await self.engine.order(bought), engine.OrderState.DONE)


class AnswersTest(unittest.TestCase):
    """Parsing an answer detects each kind of damage."""

    @hypothesis.given(
        strategies.integers(3, 8), strategies.data(), strategies.booleans()
    )
    def test_damage_is_detected(self, count, data, bad):
        def tokens(marker, version):
            return [
                answers.token_text(
                    marker=marker,
                    model_version=version,
                    index=index,
                    bad=bad,
                    last=index == count - 1,
                )
                for index in range(count)
            ]

        own = tokens("w1", SMALL)
        seen = answers.parse_answer("".join(own))
        self.assertEqual((seen.marker, seen.whole, seen.bad), ("w1", True, bad))
        self.assertFalse(answers.parse_answer("".join(own[:-1])).whole)
        position = data.draw(strategies.integers(1, count - 2))
        other = data.draw(
            strategies.sampled_from([tokens("w2", SMALL), tokens("w1", LARGE)])
        )
        for damaged in (
            own[:position] + own[position + 1 :],
            [*own[:position], own[position], *own[position:]],
            own[:position] + other[position:],
        ):
            with self.assertRaises(answers.DamagedAnswerError):
                answers.parse_answer("".join(damaged))
