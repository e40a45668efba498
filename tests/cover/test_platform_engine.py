"""The adapter of model engines: streams, broken connections and orders."""

import contextlib

import aiohttp
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.standins import answers
from tests.cover import platform_case


class EngineTest(platform_case.FleetCase):
    """Model engines: streams, broken connections, orders."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.connect()

    def connect(self):
        """Opens a new session, for calls after the engine cut all connections.

        On a kept connection that was cut the outcome depends on a race: it is
        unknown, unless the cut was noticed first and a new connection made.
        """
        session = http_exchange.open_session()
        self.addAsyncCleanup(session.close)
        connector = http_engine.HttpEngineConnector(session=session)
        self.engine = connector.connect(self.addresses.named("engine").address)

    def generation(self, **changes: object) -> engine.Generation:
        """Returns a generation of about 40 tokens."""
        return msgspec.structs.replace(platform_case.GENERATION, **changes)

    async def read(self, **changes: object) -> list[engine.Chunk]:
        """Reads a whole stream."""
        chunks = self.engine.generate(self.generation(**changes))
        async with contextlib.aclosing(chunks):
            return [chunk async for chunk in chunks]

    async def order(self, kind: str, token: int, **more: str):
        """Sends an order for the second version."""
        return await self.engine.order(
            engine.Order(
                order_id=f"{kind}-{token}",
                kind=engine.OrderKind(kind),
                target=str(platform_case.SMALL_2),
                fencing_token=token,
                **more,
            )
        )

    async def test_a_cut_stream_is_resumed_without_a_gap(self):
        """The connection breaks after five tokens, and the caller resumes.

        The engine must continue the same run from token 5, without a gap and
        without starting another run.
        """
        await self.control(
            "engine", "settings", cut_next_streams=1, cut_after_tokens=5
        )
        seen = []
        with self.assertRaises(failures.OutcomeUnknownError):
            async for chunk in self.engine.generate(self.generation()):
                seen.append(chunk)
        tokens = sum(chunk.tokens for chunk in seen)
        seen += await self.read(resume_at_token=tokens)
        answer = answers.parse_answer("".join(chunk.text for chunk in seen))
        self.assertTrue(answer.whole)
        self.assertEqual((answer.marker, answer.bad), ("w1", False))
        self.assertIs(seen[-1].finish, engine.FinishReason.STOP)
        self.assertEqual(len(await self.log("engine")), 1)

    async def test_a_stream_left_early_is_not_read_by_the_next_request(self):
        """The first stream is closed after one chunk.

        Its connection must not be used for the second request, which would
        read the first stream's chunks.
        """
        first = self.engine.generate(self.generation())
        async with contextlib.aclosing(first):
            await anext(first)
        chunks = await self.read(
            attempt_id="req-2/1",
            messages=(engine.Message(role="user", content="marker=w2"),),
        )
        self.assertEqual({c.attempt_id for c in chunks}, {"req-2/1"})
        answer = answers.parse_answer("".join(c.text for c in chunks))
        self.assertEqual((answer.marker, answer.whole), ("w2", True))

    async def test_a_chunk_of_another_attempt_is_recognised(self):
        await self.control("engine", "settings", crossed_next_streams=1)
        chunks = await self.read()
        foreign = [c for c in chunks if c.attempt_id != "req-1/1"]
        self.assertEqual(len(foreign), 1)
        with self.assertRaises(answers.DamagedAnswerError):
            answers.parse_answer("".join(c.text for c in chunks))

    async def test_whole_streams_share_one_connection(self):
        """Ten consecutive generations use one connection."""
        opened = []
        trace = aiohttp.TraceConfig()

        async def note(session, context, params):
            opened.append(params)

        trace.on_connection_create_end.append(note)
        async with aiohttp.ClientSession(trace_configs=[trace]) as session:
            connector = http_engine.HttpEngineConnector(session=session)
            self.engine = connector.connect(
                self.addresses.named("engine").address
            )
            for number in range(10):
                await self.read(attempt_id=f"req-{number}/1")
        self.assertEqual(len(opened), 1)

    async def test_refusals_are_not_in_the_engine_log(self):
        """Wrong version, full queue, lost run: the call fails as not done.

        None of them may have run.
        """
        await self.control("engine", "settings", capacity=1, queue_limit=0)
        running = self.engine.generate(self.generation(attempt_id="req-0/1"))
        async with contextlib.aclosing(running):
            await anext(running)
            with self.assertRaises(failures.NotDoneError) as caught:
                await self.read()
            self.assertTrue(caught.exception.overloaded)
        with self.assertRaises(failures.NotDoneError):
            await self.read(model_version=platform_case.SMALL_2)
        await self.control("engine", "crash")
        self.connect()
        with self.assertRaises(failures.NotDoneError):
            await self.read(resume_at_token=2)
        await self.control("engine", "faults", down="gone")
        self.connect()
        with self.assertRaises(failures.NotDoneError):
            await self.read()
        runs = [run["attempt_id"] for run in await self.log("engine")]
        self.assertEqual(runs, ["req-0/1"])

    async def test_a_cancelled_attempt_stops(self):
        await self.control("engine", "settings", step_ms=5)
        chunks = self.engine.generate(self.generation())
        async with contextlib.aclosing(chunks):
            await anext(chunks)
            await self.engine.cancel("req-1/1")
            rest = [chunk async for chunk in chunks]
        self.assertIs(rest[-1].finish, engine.FinishReason.CANCELLED)

    async def test_orders_of_a_lapsed_holder_are_fenced_or_not(self):
        """A new holder loads a version with token 8, the old unloads it with 7.

        An engine that checks tokens refuses the old order; one that ignores
        them carries it out.
        """
        state = engine.OrderState
        await self.control("engine", "settings", load_ms=0, secret="s")
        self.assertIs(await self.order("load", 8), state.FORBIDDEN)
        self.assertIs(await self.order("load", 8, secret="s"), state.DONE)
        self.assertIs(await self.order("unload", 7, secret="s"), state.FENCED)
        self.assertIn(
            platform_case.SMALL_2, (await self.engine.load_report()).loaded
        )
        await self.control("engine", "settings", honours_fencing=False)
        self.assertIs(await self.order("unload", 7, secret="s"), state.DONE)
        self.assertNotIn(
            platform_case.SMALL_2, (await self.engine.load_report()).loaded
        )

    async def test_a_cache_is_exported_and_imported(self):
        await self.read(session="s")
        event = (await self.cache_events_published())[0]
        content = await self.engine.export_cache(event.prefix_hash)
        self.assertIsNone(await self.engine.export_cache("none"))
        await self.control("engine", "crash")
        self.connect()
        await self.engine.import_cache(event.prefix_hash, content)
        last = (await self.read(session="s"))[-1]
        self.assertEqual(last.cached_tokens, last.prompt_tokens)

    async def cache_events_published(self) -> list[engine.CacheEvent]:
        """Makes events visible at once and returns them."""
        await self.control("engine", "settings", cache_event_lag_ms=0)
        return await self.engine.cache_events(0)
