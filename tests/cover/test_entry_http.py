"""The HTTP entry: bad input gets a coded error and reaches no engine."""

import asyncio
import datetime
import json
import unittest

import aiohttp
import hypothesis
from hypothesis import strategies

from nutmeghook.internal.entry import bodies
from nutmeghook.internal.entry import drain as drain_module
from nutmeghook.internal.entry import shutdown
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from tests import entry_fixture
from tests import fake_config
from tests import fakes

# Ends a test that would otherwise hang.
HANG_TIMEOUT_S = 30
# More than the buffers of both ends hold.
LARGE_ANSWER_BYTES = 16 * 1024 * 1024
CHAT = "/v1/chat/completions"
HEADERS = {"Authorization": f"Bearer {fake_config.TOKEN}"}
QUESTION = {
    "model": "review",
    "messages": [{"role": "user", "content": "Does it hold?"}],
}


class HTTPCase(unittest.IsolatedAsyncioTestCase):
    """Serves the fixture on the loopback interface."""

    async def asyncSetUp(self):
        self.fixture = fakes.Fixture()
        self.drain = drain_module.Drain(events=self.fixture.events)
        self.dispatcher = self.fixture.dispatcher()
        self.listener = entry_fixture.listener(
            self.fixture, drain=self.drain, on=self.dispatcher
        )
        await self.listener.start(host="127.0.0.1", port=0)
        self.addAsyncCleanup(self.listener.stop)
        self.session = aiohttp.ClientSession(
            f"http://{self.listener.address}", headers=HEADERS
        )
        self.addAsyncCleanup(self.session.close)

    async def assert_coded(self, response, code: codes.Code) -> dict:
        """Checks an error's status and body, and that no engine was asked."""
        fields = (await response.json())["error"]
        self.assertEqual(fields["name"], code.name)
        self.assertEqual(fields["code"], code.number)
        self.assertEqual(response.status, code.http_status)
        self.assertEqual(fields["run_state"], "not_run")
        for fake in self.fixture.engines.values():
            self.assertEqual(fake.generations, [])
        return fields

    async def raw(self, request: bytes) -> bytes:
        """Sends bytes as they are and returns all that comes back."""
        host, port = self.listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        answer = await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S)
        writer.close()
        return answer


class BadInputTest(HTTPCase):
    """Invalid requests of callers."""

    async def test_bodies_and_headers(self):
        long_key = "k" * 201
        other = {"Authorization": f"Bearer {fake_config.OTHER_TOKEN}"}
        viewer = {"Authorization": f"Bearer {fake_config.VIEWER_TOKEN}"}
        cases = [
            ("not JSON", {}, codes.Code.BAD_JSON),
            ('{"x":' + "[" * 100_000, {}, codes.Code.BAD_JSON),
            ("[]", {}, codes.Code.BAD_FIELD),
            (QUESTION | {"max_tokens": "9"}, {}, codes.Code.BAD_FIELD),
            (QUESTION | {"max_tokens": 0}, {}, codes.Code.BAD_FIELD),
            (QUESTION | {"n": 2}, {}, codes.Code.BAD_FIELD),
            (QUESTION | {"messages": []}, {}, codes.Code.BAD_FIELD),
            (QUESTION | {"model": "x"}, {}, codes.Code.UNKNOWN_TEMPLATE),
            (QUESTION, other, codes.Code.UNKNOWN_TEMPLATE),
            (QUESTION, viewer, codes.Code.NOT_ALLOWED),
            (QUESTION, {"Authorization": "x"}, codes.Code.BAD_TOKEN),
            (QUESTION, {"Idempotency-Key": long_key}, codes.Code.BAD_HEADER),
            (QUESTION, {"X-Session-Id": "a b"}, codes.Code.BAD_HEADER),
            (QUESTION, {"X-Priority": "10"}, codes.Code.BAD_HEADER),
            (QUESTION, {"X-Deadline-Ms": "-1"}, codes.Code.BAD_HEADER),
        ]
        for body, headers, code in cases:
            with self.subTest(code=code.name, headers=headers):
                data = body if isinstance(body, str) else json.dumps(body)
                async with self.session.post(
                    CHAT, data=data, headers=headers
                ) as response:
                    await self.assert_coded(response, code)

    async def test_unknown_paths_and_methods(self):
        for method, path in [("GET", "/nothing"), ("GET", CHAT)]:
            async with self.session.request(method, path) as response:
                await self.assert_coded(response, codes.Code.NOT_FOUND)

    async def test_header_injection_gets_a_coded_answer(self):
        """An injected header line is refused with `BAD_HEADER`."""
        for line in (b"X-Session-Id: a\x00b", b"Bad Name: x", b"X-A\x0b: x"):
            answer = await self.raw(
                b"POST " + CHAT.encode() + b" HTTP/1.1\r\nHost: a\r\n"
                b"Authorization: Bearer " + fake_config.TOKEN.encode() + b"\r\n"
                b"Content-Length: 2\r\n" + line + b"\r\n\r\n{}"
            )
            head, _, body = answer.partition(b"\r\n\r\n")
            self.assertIn(b" 400 ", head.partition(b"\r\n")[0], line)
            self.assertEqual(json.loads(body)["error"]["name"], "BAD_HEADER")

    async def test_a_body_over_the_limit_is_not_even_read(self):
        """The caller gets `TOO_LARGE` before it has sent the body."""
        size = bodies.MAX_BODY_BYTES + 1
        answer = await self.raw(
            f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Authorization: Bearer {fake_config.TOKEN}\r\n"
            f"Content-Length: {size}\r\n\r\n".encode()
        )
        self.assertIn(b"TOO_LARGE", answer)

    async def test_large_bodies_can_t_fill_the_memory(self):
        """A fourth body of 10 MB is refused with `OVERLOADED`.

        Three other callers have declared as much and send it slowly.
        """
        host, port = self.listener.address.split(":")
        head = (
            f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Authorization: Bearer {fake_config.TOKEN}\r\n"
            f"Content-Length: {bodies.MAX_BODY_BYTES}\r\n\r\n".encode()
        )
        writers = []
        for number in range(3):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(head)
            await entry_fixture.until(lambda n=number: self.drain.in_flight > n)
            writers.append(writer)
        answer = await self.raw(head)
        self.assertIn(b'"OVERLOADED"', answer)
        for writer in writers:
            writer.close()
        await entry_fixture.until(lambda: not self.drain.in_flight)
        async with self.session.post(CHAT, data=b"x" * 100_000) as response:
            await self.assert_coded(response, codes.Code.BAD_JSON)

    async def test_a_slow_sender_is_refused(self):
        """A body that stops half-way must not stay in flight for ever."""
        host, port = self.listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Authorization: Bearer {fake_config.TOKEN}\r\n"
            "Content-Length: 99\r\n\r\n{".encode()
        )
        await entry_fixture.until(lambda: self.drain.in_flight)
        await self.fixture.clock.advance(bodies.BODY_TIMEOUT)
        answer = await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S)
        self.assertIn(b"SLOW_SENDER", answer)
        self.assertEqual(self.drain.in_flight, 0)
        writer.close()

    async def test_retry_after_is_given_in_whole_seconds(self):
        """A retry delay of 1.2 s is rounded up to 2 in the header."""
        self.fixture.ledger.claim_error = errors.CodedError(
            code=codes.Code.STORE_OUT,
            retry_after=datetime.timedelta(milliseconds=1200),
        )
        async with self.session.post(
            CHAT, json=QUESTION, headers={"Idempotency-Key": "k"}
        ) as response:
            fields = await self.assert_coded(response, codes.Code.STORE_OUT)
        self.assertEqual(response.headers["Retry-After"], "2")
        self.assertEqual(fields["retry_after_ms"], 1200)

    def test_any_bytes_get_a_coded_refusal(self):
        """No body causes an internal error or reaches an engine."""

        async def post(session, body):
            async with session.post(CHAT, data=body) as response:
                return response.status, await response.json()

        fields = strategies.sampled_from(
            ["model", "messages", "stream", "n", "role", "content"]
        )
        values = strategies.recursive(
            strategies.none()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(),
            lambda inner: (
                strategies.lists(inner) | strategies.dictionaries(fields, inner)
            ),
            max_leaves=8,
        )

        @hypothesis.settings(max_examples=100)
        @hypothesis.given(
            strategies.binary() | values.map(lambda v: json.dumps(v).encode())
        )
        def check(body):
            status, answer = self._asyncioRunner.run(post(self.session, body))
            self.assertIn(status, (400, 404))
            self.assertEqual(answer["error"]["run_state"], "not_run")

        check()
        self.assertEqual(dict(self.fixture.engines), {})


class RequestHeadersAndPathsTest(HTTPCase):
    """The effect of request headers and service paths."""

    async def test_priority_can_only_be_lowered(self):
        for asked, given in [("9", 5), ("2", 2)]:
            headers = {"X-Priority": asked, "X-Deadline-Ms": "700"}
            async with self.session.post(CHAT, json=QUESTION, headers=headers):
                generation = self.fixture.engines["e1:1"].generations[-1]
            self.assertEqual(generation.priority, given)
            self.assertEqual(generation.deadline_ms, 700)

    async def test_a_service_s_answer_is_returned_unchanged(self):
        async with self.session.post(
            "/services/crew/bookings/7?day=2", data=b"crew"
        ) as response:
            self.assertEqual(await response.read(), b"ok")
            self.assertEqual(response.headers["X-Crew"], "7")
        [(_, call)] = self.fixture.services.calls
        self.assertEqual(call.path, "/bookings/7?day=2")
        self.assertNotIn("Authorization", dict(call.headers))

    async def test_paths_outside_the_routes_are_refused(self):
        """Encoded or dotted paths must not reach other resources."""
        outside = codes.Code.NOT_ALLOWED
        cases = {
            "/services/crew/bookingsx": outside,
            "/services/pay/bookings": outside,
            "/services/crew/bookings/%2e%2e/pay": codes.Code.BAD_FIELD,
            "/services/crew/bookings//pay": codes.Code.BAD_FIELD,
            "/services/crew/bookings/..%2fpay": codes.Code.BAD_FIELD,
        }
        for path, code in cases.items():
            answer = await self.raw(
                f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                f"Authorization: Bearer {fake_config.TOKEN}\r\n\r\n".encode()
            )
            self.assertIn(f'"{code.name}"'.encode(), answer, path)
        self.assertEqual(self.fixture.services.calls, [])


class RecordingListener:
    """Records whether the listener was stopped."""

    def __init__(self, listener):
        self.stop_accepting = listener.stop_accepting
        self.stopped = False

    async def stop(self):
        self.stopped = True


class DisconnectAndDrainTest(HTTPCase):
    """Callers that disconnect, and an instance that drains."""

    async def test_a_request_still_arriving_is_not_cut(self):
        """A request whose body is incomplete when the lag ends.

        It arrived before new requests were refused, so connections must stay
        open until it is answered.
        """
        recording = RecordingListener(self.listener)
        body = json.dumps(QUESTION).encode()
        host, port = self.listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Authorization: Bearer {fake_config.TOKEN}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
        )
        await entry_fixture.until(lambda: self.drain.in_flight)
        leaving = asyncio.ensure_future(
            shutdown.shut_down(
                clock=self.fixture.clock,
                drain=self.drain,
                listener=recording,
                dispatcher=self.dispatcher,
                lag=datetime.timedelta(),
            )
        )
        await fakes.settle()
        self.assertFalse(recording.stopped)
        writer.write(body)
        self.assertIn(b"holds.", await reader.read())
        await leaving
        writer.close()

    async def test_hanging_up_cancels_the_attempt(self):
        """A caller closes its connection after two tokens.

        aiohttp cancels the handler; the cancellation must reach the engine,
        or it would continue to generate.
        """
        fake = self.fixture.engines["e1:1"]
        fake.scripts.extend(
            [fakes.Script(cut_after=2), fakes.Script(gate=asyncio.Event())]
        )
        response = await self.session.post(
            CHAT, json=QUESTION | {"stream": True}
        )
        while b"boiler" not in await response.content.readline():
            pass
        response.close()
        await entry_fixture.until(lambda: fake.cancelled)
        await self.dispatcher.settled()
        self.assertEqual(len(self.fixture.ledger.bills), 1)
        self.assertEqual(self.drain.in_flight, 0)

    async def test_a_shutdown_cuts_no_request(self):
        """A stream in flight is completed during a shutdown.

        `/readyz` fails at once, new requests are served during the lag and
        then refused as `DRAINING`, and the earlier stream ends normally.
        """
        gate = asyncio.Event()
        fake = self.fixture.engines["e1:1"]
        fake.scripts.append(fakes.Script(gate=gate))
        streaming = asyncio.ensure_future(
            self.session.post(CHAT, json=QUESTION | {"stream": True})
        )
        await entry_fixture.until(lambda: fake.generations)
        lag = datetime.timedelta(seconds=3)
        leaving = asyncio.ensure_future(
            shutdown.shut_down(
                clock=self.fixture.clock,
                drain=self.drain,
                listener=self.listener,
                dispatcher=self.dispatcher,
                lag=lag,
            )
        )
        await fakes.settle()
        async with self.session.get("/readyz") as response:
            self.assertEqual(response.status, 503)
        async with self.session.post(CHAT, json=QUESTION) as response:
            self.assertEqual(response.status, 200)
        await self.fixture.clock.advance(lag)
        async with self.session.post(CHAT, json=QUESTION) as response:
            fields = (await response.json())["error"]
            self.assertEqual(fields["name"], "DRAINING")
        with self.assertRaises(aiohttp.ClientConnectorError):
            async with aiohttp.ClientSession() as fresh:
                await fresh.get(f"http://{self.listener.address}/healthz")
        self.assertFalse(leaving.done())
        gate.set()
        text = await (await streaming).text()
        self.assertTrue(text.endswith("data: [DONE]\n\n"))
        self.assertIn("holds.", text)
        await leaving

    async def test_a_shutdown_answers_what_is_behind_an_answer_in_writing(self):
        """A whole answer that is read slowly no longer counts as in flight.

        Its connection was closed after it, with the request behind it read and
        unanswered; an answer that took over 10 s was cut.
        """
        self.fixture.services.body = b"b" * LARGE_ANSWER_BYTES
        message = (
            "POST /services/crew/bookings/7 HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {fake_config.TOKEN}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        host, port = self.listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(message + message)
        await entry_fixture.until(
            lambda: self.fixture.services.calls and not self.drain.in_flight
        )
        leaving = asyncio.ensure_future(
            shutdown.shut_down(
                clock=self.fixture.clock,
                drain=self.drain,
                listener=self.listener,
                dispatcher=self.dispatcher,
                lag=datetime.timedelta(),
            )
        )
        await fakes.settle()
        self.assertEqual(len(self.fixture.services.calls), 1)
        answer = await reader.read()
        self.assertEqual(answer.count(b"HTTP/1.1 200 OK"), 1)
        self.assertEqual(answer.count(b"b" * LARGE_ANSWER_BYTES), 1)
        self.assertEqual(answer.count(b"HTTP/1.1 503 "), 1)
        await leaving
