"""What is no answer in HTTP/1.1 is none at any place where answers are read.

Each server here sends what would be a good answer but for one part of it.
"""

import asyncio
import datetime
import unittest

import aiohttp
import msgspec

from nutmeghook.internal.administration import client as administration
from nutmeghook.internal.commands import timeline
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
from nutmeghook.internal.upstream import outcomes
from nutmeghook.platform import headers
from nutmeghook.platform import store
from nutmeghook.platform import store_messages
from nutmeghook.standins import users_replica
from tests import malformed_answers
from tests import raw_replica_case
from tests import raw_server
from tests import relay_fixture
from tests.cover import platform_case

ONCE = model.RouteKind.ONCE
STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = (0, 1, 2)
WHOLE = [users_replica.event(number) for number in EVENTS]
SEAL = f"{headers.SEAL}: seal".encode()
NOT_RUN = f"{headers.NOT_RUN}: 1".encode()
ROWS = b'{"rows":[],"rowVersion":7,"nowMs":5}'
EPOCH = b"Store-Era: 9"
NO_CHANGES = store_messages.Transaction(expected_rev=[], write=[], remove=[])
REFUSAL = b'{"not_run":true}'
LISTING = b'{"configuration_revision":1,"documents":[]}'
FINISHED = (
    b'{"attempt_id":"req-1/1","token_index":0,"tokens":1,"text":"a",'
    b'"finish":"stop"}\n'
)
PROBE = b"GET /health HTTP/1.1\r\nHost: replica\r\n\r\n"
MAX_TIME_S = 5.0
ENDINGS = (
    raw_server.Ending.KEEP,
    raw_server.Ending.CLOSE,
    raw_server.Ending.RESET,
)
_SECOND = datetime.timedelta(seconds=1)

Answers = dict[str, malformed_answers.RawAnswer]


class RelayChecks:
    """What holds of answers that come directly and through peers."""

    async def check_relay(self, answers: Answers) -> None:
        """No caller gets such an answer, nor believes that nothing ran."""
        self.reply_with(Reply(events=EVENTS))
        for name, answer in answers.items():
            for ending in ENDINGS:
                with self.subTest(answer=name, ending=ending):
                    self.server.ending = ending
                    await self._check_once(answer)
                    await self._check_elsewhere(answer)

    async def _check_once(self, answer: malformed_answers.RawAnswer) -> None:
        for claim in ((), (NOT_RUN,)):
            self.server.answer = answer.encode(b"ran", SEAL, *claim)
            given = await self.ask_once_more(ONCE, with_sound=False)
            self.assertEqual(relay_fixture.status_of(given), 502)

    async def _check_elsewhere(
        self, answer: malformed_answers.RawAnswer
    ) -> None:
        self.server.answer = answer.encode(users_replica.event(7), SEAL)
        given = await self.ask_once_more(STREAM, with_sound=True)
        self.assertEqual(relay_fixture.events_of(given), WHOLE)
        self.assertTrue(relay_fixture.is_complete(given))

    async def check_probes(self, answers: Answers) -> None:
        """Such an answer to a probe states nothing."""
        self.server.ending = raw_server.Ending.KEEP
        address = self.server.address
        for name, answer in answers.items():
            self.server.answer = answer.encode(b"")
            connection = await self.pool.open_for_probe(address)
            exchanging = self.pool.exchange_probe(address, connection, PROBE)
            with (
                self.subTest(answer=name),
                self.assertRaises(outcomes.NoAnswerError),
            ):
                await asyncio.wait_for(exchanging, MAX_TIME_S)

    async def check_all(self, answers: Answers) -> None:
        """Checks answers to requests and to probes."""
        await self.check_relay(answers)
        await self.check_probes(answers)

    async def test_a_probe_s_answer_that_is_none_is_no_sign_of_life(self):
        self.list_replicas(with_sound=False)
        (replica,) = self.directory.all()
        probes = liveness.LivenessProbes(
            pool=self.pool,
            configuration=self.configuration,
            wire_format=headers.PlatformHeaders(),
            metrics=metrics_module.Metrics(),
            clock=clock_module.SystemClock(),
        )
        self.server.answer = malformed_answers.STATUSES["000"].encode(b"")
        found = await probes.start(replica)
        self.assertFalse(found.has_answered)

    async def test_a_status_that_is_none(self):
        """A caller got the status 000 as an answer."""
        await self.check_all(malformed_answers.STATUSES)

    async def test_a_field_name_that_is_none(self):
        """A caller got the line as it was, or another body."""
        await self.check_all(malformed_answers.FIELD_NAMES)

    async def test_a_control_byte_in_a_value(self):
        """Its line could not be written, so the caller got no answer at all."""
        await self.check_all(malformed_answers.CONTROL_BYTES)

    async def test_a_length_that_is_none(self):
        """A length of 2^64 - 1 made an empty answer the whole one."""
        await self.check_all(malformed_answers.LENGTHS)

    async def test_a_transfer_coding_that_nobody_asked_for(self):
        """A caller got the coded bytes, or the chunks, as the body."""
        await self.check_all(malformed_answers.CODINGS)

    async def test_another_protocol(self):
        """A caller got the answer of a protocol that is not HTTP/1."""
        await self.check_all(malformed_answers.PROTOCOLS)

    async def test_a_cr_that_ends_no_line(self):
        """The rest of its line was taken for a field, even for a length."""
        await self.check_all(malformed_answers.BARE_CRS)

    async def test_an_odd_answer_that_is_one(self):
        """Stricter rules must not refuse what HTTP/1.1 allows."""
        for name, answer in malformed_answers.WELL_FORMED.items():
            self.server.ending = raw_server.Ending.CLOSE
            self.server.answer = answer.encode(b"done", SEAL)
            with self.subTest(answer=name):
                given = await self.ask_once_more(ONCE, with_sound=False)
                self.assertEqual(relay_fixture.status_of(given), 200)
                self.assertEqual(relay_fixture.body_of(given), b"done")


class DirectAnswersTest(
    RelayChecks, raw_replica_case.RawReplicaCase, relay_fixture.RelayCase
):
    """On this instance's own connections."""


class TunnelledAnswersTest(
    RelayChecks, raw_replica_case.TunnelledRawReplicaCase
):
    """On connections that a peer carries."""


class ClientAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Answers of the store, engines and services, and to operators."""

    async def asyncSetUp(self):
        self.server = raw_server.RawServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = http_exchange.open_session()
        self.addAsyncCleanup(self.session.close)
        self.plain_session = http_exchange.open_session(reuse_connections=False)
        self.addAsyncCleanup(self.plain_session.close)
        self.store_session = aiohttp.ClientSession(
            connector=bounded_http.BoundedConnector(limit=0)
        )
        self.addAsyncCleanup(self.store_session.close)

    async def check_clients(self, answers: Answers) -> None:
        """No call succeeds, is refused, or counts as not run."""
        checks = {
            "store": self._check_store,
            "exchange": self._check_exchange,
            "engine": self._check_engine,
            "plain service": self._check_plain,
            "administration": self._check_administration,
            "time line": self._check_timeline,
        }
        for name, self.answer in answers.items():
            for self.server.ending in ENDINGS:
                for client, check in checks.items():
                    with self.subTest(
                        client, answer=name, ending=self.server.ending
                    ):
                        await check()

    def send(self, body: bytes, *fields: bytes) -> None:
        """Has the server answer with a body."""
        self.server.answer = self.answer.encode(body, *fields)

    async def _check_store(self) -> None:
        client = store.StoreClient(
            session=self.store_session, address=self.server.address
        )
        self.send(ROWS, EPOCH)
        with self.assertRaises(failures.OutcomeUnknownError):
            await client.get("/v1/rows-get", {}, timeout=_SECOND)
        with self.assertRaises(failures.OutcomeUnknownError):
            await client.post("/v1/rows-tx", NO_CHANGES)
        self.assertEqual(client.epoch, 0)

    async def _check_exchange(self) -> None:
        exchange = http_exchange.HttpExchange(
            session=self.session,
            address=self.server.address,
            answer_timeout=_SECOND * 2,
        )
        decoder = msgspec.json.Decoder(dict)
        for body in (b"{}", REFUSAL):
            self.send(body)
            for call in (
                exchange.read("/", decoder),
                exchange.poll("/", decoder),
                exchange.read_if_changed("/", entity_tag=""),
            ):
                with self.assertRaises(failures.NotDoneError):
                    await call
            with self.assertRaises(failures.OutcomeUnknownError):
                await exchange.write("/", b"{}", decoder)

    async def _check_engine(self) -> None:
        engine = http_engine.HttpEngineConnector(
            session=self.session, read_timeout=_SECOND
        ).connect(self.server.address)
        for body in (FINISHED, REFUSAL):
            self.send(body)
            with self.assertRaises(failures.OutcomeUnknownError):
                async for _ in engine.generate(platform_case.GENERATION):
                    pass

    async def _check_plain(self) -> None:
        services = http_plain.HttpPlainServices(
            session=self.plain_session, answer_timeout=_SECOND * 2
        )
        for body in (b"done", REFUSAL):
            self.send(body)
            with self.assertRaises(failures.OutcomeUnknownError):
                await services.call(
                    self.server.address,
                    plain.PlainCall(request_id="r", method="POST", path="/"),
                )

    async def _check_administration(self, body: bytes = LISTING) -> None:
        self.send(body)
        async with administration.AdministrationClient(
            base_url=f"http://{self.server.address}",
            token="t",
            clock=clock_module.SystemClock(),
        ) as client:
            with self.assertRaises(administration.NoAnswerError):
                await client.list_documents()

    async def _check_timeline(self) -> None:
        self.send(b"[]")
        with self.assertRaises(aiohttp.ClientError):
            await timeline.fetch(f"http://{self.server.address}", "t")

    async def test_a_status_that_is_none(self):
        """A call counted as not run, or a caller got the status 000."""
        await self.check_clients(malformed_answers.STATUSES)

    async def test_a_field_name_that_is_none(self):
        """A caller of a plain service got the line as it was."""
        await self.check_clients(malformed_answers.FIELD_NAMES)

    async def test_a_control_byte_in_a_value(self):
        """The entry could not write a plain service's line."""
        await self.check_clients(malformed_answers.CONTROL_BYTES)

    async def test_a_length_that_is_none(self):
        """A call to a plain service succeeded without a body."""
        await self.check_clients(malformed_answers.LENGTHS)

    async def test_a_transfer_coding_that_nobody_asked_for(self):
        """A call to a plain service succeeded with the coded bytes."""
        await self.check_clients(malformed_answers.CODINGS)

    async def test_another_protocol(self):
        """A call was answered in a protocol that is not HTTP/1."""
        await self.check_clients(malformed_answers.PROTOCOLS)

    async def test_a_cr_that_ends_no_line(self):
        """A call succeeded with a body of another length."""
        await self.check_clients(malformed_answers.BARE_CRS)

    async def test_an_operator_s_answer_that_is_cut_short(self):
        """A change may be in force, and the command ended with a traceback."""
        self.answer = malformed_answers.RawAnswer(
            framing=malformed_answers.Framing.CONNECTION
        )
        for self.server.ending in (
            raw_server.Ending.CLOSE,
            raw_server.Ending.RESET,
        ):
            for body in (b"", LISTING[:-1], b"[" * 100_000, b"<html>"):
                with self.subTest(body[:9], ending=self.server.ending):
                    await self._check_administration(body)


if __name__ == "__main__":
    unittest.main()
