"""The adapters against the stand-ins, over real loopback connections."""

import asyncio
import contextlib
import datetime
import unittest

import aiohttp
from aiohttp import web
import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.foundation import clock
from nutmeghook.internal.platform import engine
from nutmeghook.internal.platform import failures
from nutmeghook.internal.platform import http_engine
from nutmeghook.internal.platform import http_exchange
from nutmeghook.internal.platform import http_instances
from nutmeghook.internal.platform import http_objects
from nutmeghook.internal.platform import http_plain
from nutmeghook.internal.platform import http_ratings
from nutmeghook.internal.platform import http_table
from nutmeghook.internal.platform import http_weights
from nutmeghook.internal.platform import plain
from nutmeghook.internal.platform import ratings
from nutmeghook.internal.platform import table
from nutmeghook.standins import answers
from nutmeghook.standins import engine_settings
from nutmeghook.standins import fleet

SMALL_1 = engine.ModelVersion(model="small", version="1")
SMALL_2 = engine.ModelVersion(model="small", version="2")
GENERATION = engine.Generation(
    attempt_id="req-1/1",
    model_version=SMALL_1,
    messages=(engine.Message(role="user", content="marker=w1 hello"),),
    max_tokens=100,
)
# Any text that JSON and a URL can carry; not only what our own keys use.
KEYS = strategies.text(
    strategies.characters(exclude_categories=("Cs",)), max_size=6
)
SPEC = fleet.FleetSpec(
    table=fleet.StoreSpec(),
    objects=fleet.StoreSpec(),
    instances=fleet.InstancesSpec(lag_ms=0),
    ratings=fleet.RatingsSpec(),
    weights=fleet.WeightsSpec(sizes_bytes={"small@2": 1}, grants_per_s=1),
    engines=(
        fleet.EngineSpec(
            name="engine",
            loaded=("small@1",),
            settings=engine_settings.EngineSettings(
                step_ms=0.5, report_lag_ms=0, mean_answer_tokens=40
            ),
        ),
    ),
    plain_services=(fleet.PlainSpec(name="registry", service="registry"),),
)


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts the stand-ins anew for each test."""

    async def asyncSetUp(self):
        served = fleet.Fleet(clock=clock.SystemClock(), spec=SPEC)
        self.addresses = await served.start()
        self.addAsyncCleanup(served.stop)
        self.session = http_exchange.open_session()
        self.addAsyncCleanup(self.session.close)

    def exchange(
        self,
        name: str,
        *,
        answer_timeout: datetime.timedelta = http_exchange.ANSWER_TIMEOUT,
    ) -> http_exchange.HttpExchange:
        """Returns calls to a stand-in."""
        return http_exchange.HttpExchange(
            session=self.session,
            address=self.addresses.named(name).address,
            connect_timeout=answer_timeout / 2,
            answer_timeout=answer_timeout,
        )

    async def control(self, name: str, what: str, **body: object) -> bytes:
        """Calls a stand-in's control side."""
        url = f"{self.addresses.named(name).control}/{what}"
        async with self.session.post(url, json=body) as response:
            answer = await response.read()
            self.assertLess(response.status, 300, answer)
            return answer

    async def log(self, name: str, what: str = "runs") -> list[dict]:
        """Reads one of a stand-in's logs."""
        url = f"{self.addresses.named(name).control}/{what}"
        async with self.session.get(url) as response:
            return await response.json()


class StoresTest(FleetCase):
    """The table service, the object store and the smaller services."""

    async def test_an_answer_lost_after_the_effect_is_unknown(self):
        """The caller sees "unknown" twice; the row tells what happened.

        The connection breaks once after the commit and once before it. A
        repeat of the first with its condition must fail, not apply again.
        """
        service = http_table.HttpTable(exchange=self.exchange("table"))
        first = table.Transaction(
            conditions=(table.Condition(key="k", version=0),),
            puts=(table.Put(key="k", value=b"\x00\xff"),),
        )
        await self.control("table", "faults", lose_next_requests=1)
        with self.assertRaises(failures.OutcomeUnknownError):
            await service.commit(first)
        self.assertIsNone(await service.read("k"))
        await self.control("table", "faults", lose_next_answers=1)
        with self.assertRaises(failures.OutcomeUnknownError):
            await service.commit(first)
        row = await service.read("k")
        self.assertEqual(row.value, b"\x00\xff")
        repeated = await service.commit(first)
        self.assertFalse(repeated.committed)
        self.assertEqual(repeated.current, (row,))

    async def test_each_way_of_being_down_is_told_rightly(self):
        """The caller sees "not done" only where that is proved.

        A read never has an effect. A commit surely had none if the service
        said so or could not be reached; cut off or silent, nobody knows.
        """
        for mode, expected in (
            ("refusing", failures.NotDoneError),
            ("cutting", failures.OutcomeUnknownError),
            ("hanging", failures.OutcomeUnknownError),
            ("gone", failures.NotDoneError),
        ):
            await self.control("table", "faults", down=mode)
            if mode == "hanging":
                timeout = datetime.timedelta(milliseconds=200)
            else:
                timeout = http_exchange.ANSWER_TIMEOUT
            exchange = self.exchange("table", answer_timeout=timeout)
            service = http_table.HttpTable(exchange=exchange)
            with self.subTest(mode), self.assertRaises(expected):
                await service.commit(table.Transaction())
            with self.subTest(mode), self.assertRaises(failures.NotDoneError):
                await service.read("k")
        await self.control("table", "faults", down="up")
        self.assertIsNone(await service.read("k"))

    async def test_rate_limits_come_with_a_time_to_return(self):
        store = http_weights.HttpWeights(exchange=self.exchange("weights"))
        self.assertIsNone(await store.describe(SMALL_1))
        self.assertEqual((await store.describe(SMALL_2)).size_bytes, 1)
        self.assertTrue(await store.grant_download(SMALL_2, "127.0.0.1:1"))
        with self.assertRaises(failures.NotDoneError) as caught:
            await store.grant_download(SMALL_2, "127.0.0.1:1")
        self.assertTrue(caught.exception.overloaded)
        self.assertGreater(caught.exception.retry_after, datetime.timedelta())

    async def test_ratings_and_instances_arrive(self):
        service = http_ratings.HttpRatings(exchange=self.exchange("ratings"))
        await self.control("ratings", "settings", delay_ms=0, bias=-0.9)
        task = ratings.RatingTask(
            request_id="r",
            team="t",
            template="x",
            model_version=SMALL_1,
            stage=0,
            prompt="p",
            answer="a",
        )
        await service.submit([task])
        given = await service.ratings_after(0)
        self.assertEqual([r.request_id for r in given], ["r"])
        self.assertLess(given[0].quality, 0.1)
        listing = http_instances.HttpInstances(
            exchange=self.exchange("instances")
        )
        listed = await listing.list_instances()
        expected = {
            self.addresses.named(name).address
            for name in ("engine", "registry")
        }
        self.assertEqual({i.address for i in listed}, expected)
        await self.control("instances", "remove", address=listed[0].address)
        self.assertEqual(await listing.list_instances(), listed[1:])


class RoundTripTest(unittest.TestCase):
    """Whatever the keys and contents are, they come back unchanged."""

    @hypothesis.settings(max_examples=5)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(KEYS, strategies.binary(max_size=20)),
            min_size=1,
            max_size=20,
            unique_by=lambda pair: pair[0],
        )
    )
    def test_keys_and_contents(self, pairs):
        asyncio.run(self._store_and_compare(pairs))

    async def _store_and_compare(self, pairs):
        spec = fleet.FleetSpec(table=SPEC.table, objects=SPEC.objects)
        served = fleet.Fleet(clock=clock.SystemClock(), spec=spec)
        addresses = await served.start()
        async with (
            contextlib.AsyncExitStack() as stack,
            http_exchange.open_session() as session,
        ):
            stack.push_async_callback(served.stop)
            rows, blobs = (
                http_exchange.HttpExchange(
                    session=session, address=addresses.named(name).address
                )
                for name in ("table", "objects")
            )
            service = http_table.HttpTable(exchange=rows)
            store = http_objects.HttpObjects(exchange=blobs)
            puts = tuple(table.Put(key=k, value=v) for k, v in pairs)
            result = await service.commit(table.Transaction(puts=puts))
            for (key, content), version in zip(
                pairs, result.versions, strict=True
            ):
                row = table.Row(key=key, value=content, version=version)
                self.assertEqual(await service.read(key), row)
                self.assertTrue(await store.put_if_absent(key, content))
                self.assertFalse(await store.put_if_absent(key, b"other"))
                self.assertEqual(await store.get(key), content)
            keys = sorted(key for key, _ in pairs)
            scanned = await service.scan(prefix="", after=keys[0], limit=7)
            listed = await store.list_keys(prefix="", after=keys[0], limit=7)
            self.assertEqual([row.key for row in scanned], keys[1:8])
            self.assertEqual(listed, keys[1:8])
            await store.delete(keys[0])
            self.assertIsNone(await store.get(keys[0]))


class PlainTest(FleetCase):
    """Plain services: run at most once, and the log proves it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        session = http_exchange.open_session(reuse_connections=False)
        self.addAsyncCleanup(session.close)
        self.services = http_plain.HttpPlainServices(session=session)

    async def call(self, **changes: object) -> plain.PlainAnswer:
        """Makes a call."""
        call = plain.PlainCall(
            request_id="req-1", method="POST", path="/bookings?crew=%207"
        )
        return await self.services.call(
            self.addresses.named("registry").address,
            msgspec.structs.replace(call, **changes),
        )

    async def test_a_call_cut_after_the_effect_runs_once(self):
        """The caller sees "unknown" for each method; each ran once.

        The service does the work and breaks the connection. The HTTP library
        would send PUT, DELETE and GET again by itself, which must not happen:
        the same booking would be made twice.
        """
        for method in ("POST", "PUT", "DELETE", "GET"):
            await self.control("registry", "faults", lose_next_answers=1)
            with self.subTest(method):
                with self.assertRaises(failures.OutcomeUnknownError):
                    await self.call(method=method, request_id=method)
                runs = [run["request_id"] for run in await self.log("registry")]
                self.assertEqual(runs.count(method), 1)

    async def test_refusals_that_say_not_run_are_true(self):
        await self.control("registry", "refuse", refuse_next=1)
        with self.assertRaises(failures.NotDoneError) as caught:
            await self.call()
        self.assertTrue(caught.exception.overloaded)
        await self.control("registry", "faults", down="gone")
        with self.assertRaises(failures.NotDoneError):
            await self.call()
        await self.control("registry", "faults")
        self.assertEqual(await self.log("registry"), [])
        answer = await self.call(body=b'{"marker": "w7"}')
        self.assertEqual(msgspec.json.decode(answer.body)["marker"], "w7")
        self.assertEqual(
            [run["path"] for run in await self.log("registry")],
            ["/bookings?crew=%207"],
        )

    async def test_what_could_break_the_request_line_is_refused(self):
        for path in ("bookings", "/a b", "/a\r\nX: y", "/a\x00", "/ä"):
            with self.subTest(path), self.assertRaises(ValueError):
                await self.call(path=path)
        with self.assertRaises(ValueError):
            await self.call(headers=(("X-A", "b\r\nX-C: d"),))
        with self.assertRaises(ValueError):
            http_plain.HttpPlainServices(session=self.session)
        self.assertEqual(await self.log("registry"), [])


class EngineTest(FleetCase):
    """Model engines: streams, cuts, orders."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.connect()

    def connect(self):
        """Connects anew, for calls after the engine cut all connections.

        On a kept connection that it cut, a call's outcome is unknown, or a
        new connection is made if the cut was noticed before: a race.
        """
        session = http_exchange.open_session()
        self.addAsyncCleanup(session.close)
        connector = http_engine.HttpEngineConnector(session=session)
        self.engine = connector.connect(self.addresses.named("engine").address)

    def generation(self, **changes: object) -> engine.Generation:
        """Returns a generation of about 40 tokens."""
        return msgspec.structs.replace(GENERATION, **changes)

    async def read(self, **changes: object) -> list[engine.Chunk]:
        """Reads a whole stream."""
        chunks = self.engine.generate(self.generation(**changes))
        async with contextlib.aclosing(chunks):
            return [chunk async for chunk in chunks]

    async def order(self, kind: str, token: int, **more: str):
        """Gives an order about the second version."""
        return await self.engine.order(
            engine.Order(
                order_id=f"{kind}-{token}",
                kind=engine.OrderKind(kind),
                target=str(SMALL_2),
                fencing_token=token,
                **more,
            )
        )

    async def test_a_cut_stream_is_resumed_without_a_gap(self):
        """The caller sees two pieces that make one whole answer.

        The connection breaks after five tokens; asked again from token 5 on,
        the engine goes on with the same run and does not start another.
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
        answer = answers.read_answer("".join(chunk.text for chunk in seen))
        self.assertTrue(answer.whole)
        self.assertEqual((answer.marker, answer.bad), ("w1", False))
        self.assertIs(seen[-1].finish, engine.FinishReason.STOP)
        self.assertEqual(len(await self.log("engine")), 1)

    async def test_a_stream_left_early_is_not_read_by_the_next_request(self):
        """The caller sees its own answer, though another was left half-read.

        The first stream is closed after one chunk. Its connection must not
        carry the second request, whose reader would find the first's chunks.
        """
        first = self.engine.generate(self.generation())
        async with contextlib.aclosing(first):
            await anext(first)
        chunks = await self.read(
            attempt_id="req-2/1",
            messages=(engine.Message(role="user", content="marker=w2"),),
        )
        self.assertEqual({c.attempt_id for c in chunks}, {"req-2/1"})
        answer = answers.read_answer("".join(c.text for c in chunks))
        self.assertEqual((answer.marker, answer.whole), ("w2", True))

    async def test_a_crossed_chunk_shows_its_attempt(self):
        await self.control("engine", "settings", crossed_next_streams=1)
        chunks = await self.read()
        strange = [c for c in chunks if c.attempt_id != "req-1/1"]
        self.assertEqual(len(strange), 1)
        with self.assertRaises(answers.DamagedAnswerError):
            answers.read_answer("".join(c.text for c in chunks))

    async def test_whole_streams_share_one_connection(self):
        """Ten generations in turn need one connection, not ten."""
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
        """The caller sees "not done": wrong version, full queue, no memory."""
        await self.control("engine", "settings", capacity=1, queue_limit=0)
        running = self.engine.generate(self.generation(attempt_id="req-0/1"))
        async with contextlib.aclosing(running):
            await anext(running)
            with self.assertRaises(failures.NotDoneError) as caught:
                await self.read()
            self.assertTrue(caught.exception.overloaded)
        with self.assertRaises(failures.NotDoneError):
            await self.read(model_version=SMALL_2)
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
        """The holder sees "fenced", unless the engine ignores the token.

        A new holder loads the version with token 8. The old one wakes and
        unloads it with token 7: refused by a fencing engine, done by the
        other kind, which is why its orders state targets.
        """
        state = engine.OrderState
        await self.control("engine", "settings", load_ms=0, secret="s")
        self.assertIs(await self.order("load", 8), state.FORBIDDEN)
        self.assertIs(await self.order("load", 8, secret="s"), state.DONE)
        self.assertIs(await self.order("unload", 7, secret="s"), state.FENCED)
        self.assertIn(SMALL_2, (await self.engine.load_report()).loaded)
        await self.control("engine", "settings", honours_fencing=False)
        self.assertIs(await self.order("unload", 7, secret="s"), state.DONE)
        self.assertNotIn(SMALL_2, (await self.engine.load_report()).loaded)

    async def test_caches_move_and_events_tell(self):
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


class StrangeServerTest(unittest.IsolatedAsyncioTestCase):
    """Other sides that answer what docs/PLATFORM.md does not provide for."""

    async def serve(self, answer) -> str:
        """Serves a handler and returns its address."""
        app = web.Application()
        app.add_routes([web.route("*", "/{path:.*}", answer)])
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def test_what_does_not_say_not_run_proves_nothing(self):
        """The caller sees "unknown" for writes, and the answer as it is.

        Something between us and the service answers with an error page, a
        page that is not JSON, or a redirection. The redirection is not
        followed: that would make the call again elsewhere.
        """
        calls = []
        for status, body in (
            (503, b"<p>out"),
            (503, b'{"not_run": false}'),
            (500, b"{}"),
            (200, b"<p>welcome"),
            (307, b""),
        ):

            async def answer(request, status=status, body=body):
                calls.append(request.method)
                return web.Response(
                    status=status,
                    body=body,
                    content_type="application/json",
                    headers={"Location": "/elsewhere"},
                )

            address = await self.serve(answer)
            with self.subTest(status=status, body=body):
                await self.check_nothing_is_proved(address)
                opened = http_exchange.open_session(reuse_connections=False)
                async with opened as session:
                    services = http_plain.HttpPlainServices(session=session)
                    call = plain.PlainCall(
                        request_id="r", method="POST", path="/"
                    )
                    got = await services.call(address, call)
                self.assertEqual((got.status, got.body), (status, body))
        self.assertEqual(calls, ["POST", "GET", "POST", "POST"] * 5)

    async def check_nothing_is_proved(self, address):
        """Checks a commit, a read and a generation against an address."""
        async with http_exchange.open_session() as session:
            exchange = http_exchange.HttpExchange(
                session=session, address=address
            )
            service = http_table.HttpTable(exchange=exchange)
            with self.assertRaises(failures.OutcomeUnknownError):
                await service.commit(table.Transaction())
            with self.assertRaises(failures.NotDoneError):
                await service.read("k")
            connector = http_engine.HttpEngineConnector(session=session)
            chunks = connector.connect(address).generate(GENERATION)
            with self.assertRaises(failures.OutcomeUnknownError):
                await anext(chunks)

    async def test_a_late_end_of_the_body_costs_no_connection(self):
        """Two generations share a connection though the end comes late."""
        connections = set()
        last = engine.Chunk(
            attempt_id="a",
            token_index=0,
            tokens=1,
            text="t",
            finish=engine.FinishReason.STOP,
        )

        async def answer(request):
            connections.add(request.transport)
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(msgspec.json.encode(last) + b"\n")
            await asyncio.sleep(0.02)
            await response.write_eof()
            return response

        address = await self.serve(answer)
        async with http_exchange.open_session() as session:
            connector = http_engine.HttpEngineConnector(session=session)
            for _ in range(2):
                chunks = connector.connect(address).generate(GENERATION)
                async with contextlib.aclosing(chunks):
                    self.assertEqual(await anext(chunks), last)
        self.assertEqual(len(connections), 1)
