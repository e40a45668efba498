"""Answers that come, and end, before a long request was taken whole.

None of them states its length, so that only the end of the connection tells
where it ends.
"""

import asyncio
import unittest

import uvloop

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.routes import model
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_plain
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.standins import users_replica
from tests import raw_replica_case
from tests import raw_server
from tests import relay_fixture

ONCE = model.RouteKind.ONCE
IDEMPOTENT = model.RouteKind.IDEMPOTENT
STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = (0, 1, 2)
WHOLE = [users_replica.event(number) for number in EVENTS]
# The sender's system holds the rest of the first, and not of the second.
SIZES_BYTES = (400_000, 4_000_000)
BROKEN = (
    raw_server.Ending.RESET,
    raw_server.Ending.CLOSE_THEN_RESET,
    raw_server.Ending.TAKE_ALL_THEN_RESET,
)
MAX_TIME_S = 5.0
HEAD = b"HTTP/1.1 200 OK\r\nX-Replica-Seal: seal\r\n\r\n"
# Most of it is held back while the first part is not read.
LONG_PART = b"part" * 20_000


class EarlyAnswersCase:
    """What holds for direct connections and for those through peers."""

    async def test_a_part_is_not_passed_on_as_the_whole(self):
        """A caller got the part that came before the reset."""
        for size_bytes in SIZES_BYTES:
            for self.server.ending in BROKEN:
                for part in (b"part", LONG_PART):
                    self.server.answer = HEAD + part
                    with self.subTest(
                        size_bytes=size_bytes, ending=self.server.ending
                    ):
                        answer = await self.ask_once_more(
                            ONCE, with_sound=False, size_bytes=size_bytes
                        )
                        self.assertEqual(relay_fixture.status_of(answer), 502)

    async def test_another_replica_gives_the_whole(self):
        self.server.answer = HEAD + WHOLE[0]
        for kind in (IDEMPOTENT, STREAM):
            self.reply_with(Reply(events=EVENTS) if kind is STREAM else Reply())
            for size_bytes in SIZES_BYTES:
                for self.server.ending in BROKEN:
                    with self.subTest(
                        kind, size_bytes=size_bytes, ending=self.server.ending
                    ):
                        answer = await self.ask_once_more(
                            kind, with_sound=True, size_bytes=size_bytes
                        )
                        self._check_whole(kind, answer)

    def _check_whole(self, kind: model.RouteKind, answer: bytes) -> None:
        if kind is STREAM:
            self.assertTrue(relay_fixture.is_complete(answer))
            self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        else:
            self.assertEqual(relay_fixture.body_of(answer), b"done")


class DirectEarlyAnswersTest(
    EarlyAnswersCase, raw_replica_case.RawReplicaCase, relay_fixture.RelayCase
):
    """On this instance's own connections."""


class TunnelledEarlyAnswersTest(
    EarlyAnswersCase, raw_replica_case.TunnelledRawReplicaCase
):
    """On connections that a peer carries."""


class EventLoopsTest(unittest.TestCase):
    """The event loops report the end of a connection in different orders."""

    def test_the_whole_is_completed_though_it_began_early(self):
        """Guards against an end that is believed of no early answer."""
        for new_loop in (asyncio.new_event_loop, uvloop.new_event_loop):
            with (
                self.subTest(new_loop),
                asyncio.Runner(loop_factory=new_loop) as runner,
            ):
                for size_bytes in SIZES_BYTES:
                    reading = _read(
                        size_bytes, raw_server.Ending.TAKE_ALL, b"whole"
                    )
                    body = runner.run(asyncio.wait_for(reading, MAX_TIME_S))
                    self.assertEqual(body, b"whole")

    def test_no_event_loop_completes_a_part(self):
        """Nor waits for the rest of the request to be taken, which a replica
        that has closed its side may never do.
        """
        for new_loop in (asyncio.new_event_loop, uvloop.new_event_loop):
            with asyncio.Runner(loop_factory=new_loop) as runner:
                for size_bytes in SIZES_BYTES:
                    for ending in (*BROKEN, raw_server.Ending.CLOSE_ONE_SIDE):
                        for part in (b"part", LONG_PART):
                            with (
                                self.subTest(new_loop, ending=ending),
                                self.assertRaises(outcomes.UnknownOutcomeError),
                            ):
                                reading = _read(size_bytes, ending, part)
                                runner.run(
                                    asyncio.wait_for(reading, MAX_TIME_S)
                                )


async def _read(
    size_bytes: int, ending: raw_server.Ending, part: bytes
) -> bytes:
    """Returns a body that comes before the request was taken whole."""
    server = raw_server.RawServer()
    await server.start()
    server.answer = HEAD + part
    server.ending = ending
    loop = asyncio.get_running_loop()
    host, _, port = server.address.rpartition(":")
    transport, connection = await loop.create_connection(
        lambda: connection_module.ReplicaConnection(loop=loop), host, int(port)
    )
    body = b""
    try:
        head = await connection.exchange(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
            % size_bytes,
            body=bytes(size_bytes),
            has_body=True,
        )
        while piece := await head.read():
            body += piece
            await asyncio.sleep(0.001)
    finally:
        transport.abort()
        await server.stop()
    return body


class PlainServicesTest(unittest.IsolatedAsyncioTestCase):
    """Services behind the OpenAI-compatible entry."""

    async def test_a_part_is_no_answer(self):
        server = raw_server.RawServer()
        await server.start()
        self.addAsyncCleanup(server.stop)
        session = http_exchange.open_session(reuse_connections=False)
        self.addAsyncCleanup(session.close)
        services = http_plain.HttpPlainServices(session=session)
        server.answer = HEAD + b"part"
        for size_bytes in SIZES_BYTES:
            for server.ending in BROKEN:
                call = plain.PlainCall(
                    request_id="r",
                    method="POST",
                    path="/",
                    body=bytes(size_bytes),
                )
                with (
                    self.subTest(size_bytes=size_bytes, ending=server.ending),
                    self.assertRaises(failures.OutcomeUnknownError),
                ):
                    await services.call(server.address, call)


if __name__ == "__main__":
    unittest.main()
