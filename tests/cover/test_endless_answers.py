"""Servers that send bytes without end, which never become an answer.

The caller's answer has to be true and must not wait for the deadline, and
nothing may be read or kept without bound. Bytes are counted, not time: with a
reader that stops, a server gets rid of no more than the sockets' buffers.
"""

import datetime
import unittest

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.foundation import bounded_http
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_plain
from nutmeghook.internal.upstream import liveness
from nutmeghook.platform import headers
from nutmeghook.platform import store
from tests import endless_server
from tests import relay_fixture
from tests.cover import platform_case

ALL = endless_server.NO_ANSWERS | endless_server.BODIES
# The sockets' buffers, and the largest body that is held.
_MOST_BYTES = 32 * 1024 * 1024
_LONG = datetime.timedelta(seconds=60)
_REFUSED = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    """Gives each test a server whose answers don't end."""

    async def asyncSetUp(self):
        self.server = endless_server.EndlessServer()
        self.address = await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def pour(self, answer: endless_server.Endless) -> None:
        """Has the server begin anew with an answer."""
        self.server.answer = answer
        self.server.sent_bytes = 0

    async def check_left(self) -> None:
        """No caller of the server is connected any more."""
        await self.server.callers_left.wait()
        self.assertLess(self.server.sent_bytes, _MOST_BYTES)


class ClientsTest(EndlessCase):
    """Clients of the store, of engines and of plain services."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.session = http_exchange.open_session()
        self.addAsyncCleanup(self.session.close)

    async def test_a_call_to_the_store_ends(self):
        """A body without end filled the memory until the call's timeout, 6 GB
        in 2.6 s.
        """
        client = store.StoreClient(session=self.session, address=self.address)
        for name, answer in ALL.items():
            with self.subTest(name):
                await self.pour(answer)
                with self.assertRaises(failures.PlatformError):
                    await client.get("/v1/rows-feed", {}, timeout=_LONG)
                await self.check_left()

    async def test_calls_to_engines_and_other_services_end(self):
        exchange = http_exchange.HttpExchange(
            session=self.session, address=self.address, answer_timeout=_LONG
        )
        decoder = msgspec.json.Decoder(dict)
        for name, answer in ALL.items():
            for call in (
                exchange.read("/", decoder),
                exchange.read_if_changed("/", entity_tag=""),
                exchange.write("/", b"{}", decoder),
            ):
                with self.subTest(name):
                    await self.pour(answer)
                    with self.assertRaises(failures.PlatformError):
                        await call
                    await self.check_left()

    async def test_a_generation_ends(self):
        engine = http_engine.HttpEngineConnector(
            session=self.session, read_timeout=_LONG
        ).connect(self.address)
        chunk = b'{"attempt_id":"a","token_index":0,"tokens":0,"text":""}\n'
        further = {
            "refusal": endless_server.Endless(
                first=b"HTTP/1.1 503 Full\r\n\r\n", repeated=b"x"
            ),
            "empty lines of a stream": endless_server.Endless(
                first=b"HTTP/1.1 200 OK\r\n\r\n", repeated=b"\n"
            ),
            "chunks without a last one": endless_server.Endless(
                first=b"HTTP/1.1 200 OK\r\n\r\n", repeated=chunk
            ),
        }
        for name, answer in (ALL | further).items():
            with self.subTest(name):
                await self.pour(answer)
                with self.assertRaises(failures.OutcomeUnknownError):
                    async for _ in engine.generate(platform_case.GENERATION):
                        pass
                await self.check_left()

    async def test_a_call_to_a_plain_service_ends(self):
        session = http_exchange.open_session(reuse_connections=False)
        self.addAsyncCleanup(session.close)
        services = http_plain.HttpPlainServices(
            session=session, answer_timeout=_LONG
        )
        call = plain.PlainCall(request_id="one", method="POST", path="/x")
        for name, answer in ALL.items():
            with self.subTest(name):
                await self.pour(answer)
                with self.assertRaises(failures.OutcomeUnknownError):
                    await services.call(self.address, call)
                await self.check_left()

    async def test_many_answers_on_one_connection_are_no_endless_one(self):
        """Heads of earlier answers are not framing of the present one."""
        handler = bounded_http.BoundedConnector()._factory()
        fields = b"X-Field: %b\r\n" % (b"x" * 8000) * 7
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%b\r\n" % fields
        for _ in range(40):
            handler.set_response_params()
            handler.data_received(head)
            self.assertIsNone(handler.exception())
            self.assertEqual((await handler.read())[0].code, 200)


class RelayTest(EndlessCase, relay_fixture.RelayCase):
    """A replica pours, beside a sound one."""

    replica_count = 1

    async def asyncSetUp(self):
        await relay_fixture.RelayCase.asyncSetUp(self)
        await EndlessCase.asyncSetUp(self)
        self.pouring = self.entry(
            self.replicas[0], replica_id="pouring", address=self.address
        )

    def only_pouring(self) -> None:
        """Lists the pouring replica alone."""
        self.directory.replace([self.pouring])

    async def test_requests_get_a_true_answer(self):
        """The instance read up to 100 MB a second until the deadline."""
        self.only_pouring()
        for kind in model.RouteKind:
            for name, answer in ALL.items():
                with self.subTest(kind=kind, answer=name):
                    await self.pour(answer)
                    given = await self.ask(kind)
                    # It may have run, so it isn't refused.
                    self.assertEqual(relay_fixture.status_of(given), 502)
                    await self.check_left()

    async def test_requests_that_may_be_repeated_are_served_elsewhere(self):
        for name, answer in endless_server.NO_ANSWERS.items():
            with self.subTest(name):
                await self.pour(answer)
                self.directory.replace(
                    [self.pouring, self.entry(self.replicas[0])]
                )
                given = await self.ask(model.RouteKind.IDEMPOTENT)
                self.assertEqual(relay_fixture.status_of(given), 200)

    async def test_a_refusal_without_end_is_still_a_refusal(self):
        """It was taken for a request that may have run, after 8 MB of it."""
        self.only_pouring()
        for framing in (b"\r\n", b"Content-Length: 99999999\r\n\r\n"):
            await self.pour(
                endless_server.Endless(first=_REFUSED + framing, repeated=b"x")
            )
            given = await self.ask(model.RouteKind.ONCE)
            self.assertEqual(relay_fixture.status_of(given), 503)
            await self.check_left()

    async def test_a_whole_answer_with_bytes_past_its_end(self):
        """The bytes belong to no request, and the connection is not kept."""
        self.only_pouring()
        await self.pour(endless_server.PAST_END)
        await self.ask(model.RouteKind.ONCE)
        await self.check_left()

    async def test_a_liveness_probe_ends(self):
        (replica,) = (self.only_pouring(), *self.directory.all())[1:]
        probes = liveness.LivenessProbes(
            pool=self.pool,
            configuration=self.configuration,
            wire_format=headers.PlatformHeaders(),
            metrics=metrics_module.Metrics(),
            clock=clock_module.SystemClock(),
        )
        for name, answer in ALL.items():
            with self.subTest(name):
                await self.pour(answer)
                found = await probes.start(replica)
                self.assertEqual(
                    found.has_answered, name in endless_server.BODIES
                )
                await self.check_left()

    async def test_what_is_no_answer_is_counted(self):
        self.only_pouring()
        await self.pour(endless_server.NO_ANSWERS["empty lines"])
        await self.ask(model.RouteKind.ONCE)
        body, _ = self.metrics.render([])
        self.assertIn(
            b'nutmeghook_unreadable_values_total{field="answer"} 1', body
        )


if __name__ == "__main__":
    unittest.main()
