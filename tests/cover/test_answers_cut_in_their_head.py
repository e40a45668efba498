"""Answers that stop within their head, or wherever else a part is missing."""

import asyncio
import datetime
import errno
import unittest
from unittest import mock

import aiohttp

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_plain
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.platform import store
from nutmeghook.standins import loopback_host

_SECOND = datetime.timedelta(seconds=1)
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX: y\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nX-Replica-Seal: 3e1b.07\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 12\r\n\r\ntwelve bytes"
IN_CHUNKS = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"6\r\ntwelve\r\n6\r\n bytes\r\n0\r\nX-Sum: 12\r\n\r\n"
)
WHOLE = {
    "length": WITH_LENGTH,
    "chunks and trailer": IN_CHUNKS,
    "interim": INTERIM + WITH_LENGTH,
    "two interims": INTERIM + EARLY_HINTS + IN_CHUNKS,
    "failure": b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\nbad\n",
}


class ReplicaAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Answers to requests and to liveness probes, direct or tunnelled."""

    def connected(self, error: int) -> connection_module.ReplicaConnection:
        socket = mock.Mock()
        socket.getsockopt.return_value = error
        socket.fileno.return_value = -1
        transport = mock.Mock(spec=asyncio.Transport)
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        transport.get_extra_info.return_value = socket
        connection = connection_module.ReplicaConnection(
            loop=asyncio.get_running_loop()
        )
        connection.connection_made(transport)
        return connection

    async def received(self, data: bytes, error: int) -> tuple[int, bytes]:
        """Returns the status and body of an answer that ends after `data`."""
        connection = self.connected(error)
        sending = asyncio.ensure_future(
            connection.exchange(REQUEST, has_body=True)
        )
        await asyncio.sleep(0)
        if data:
            connection.data_received(data)
        connection.eof_received()
        connection.connection_lost(None)
        head = await sending
        body = b""
        while piece := await head.read():
            body += piece
        return head.status, body

    async def test_no_part_of_an_answer_passes_for_a_whole_one(self):
        """Callers would get a success with an empty or a short body."""
        for name, answer in WHOLE.items():
            for error in (0, errno.ECONNRESET):
                for end in range(len(answer)):
                    with (
                        self.subTest(name=name, end=end, error=error),
                        self.assertRaises(outcomes.UnknownOutcomeError),
                    ):
                        await self.received(answer[:end], error)
            status, body = await self.received(answer, 0)
            self.assertIn(
                (status, body[:6]), ((200, b"twelve"), (500, b"bad\n"))
            )


class CutServer:
    """Sends the beginning of an answer, then closes or resets.

    Attributes:
        answer: What is sent of it.
        resets: The connection is reset, not closed.
    """

    def __init__(self):
        self.answer = b""
        self.resets = False
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, loopback_host.own_host(), 0
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        if self.resets:
            # Let the bytes be read first.
            await asyncio.sleep(0.001)
            writer.transport.abort()
        writer.close()


class ClientAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Answers of the store, and of the OpenAI entry's backend servers."""

    async def asyncSetUp(self):
        self.server = CutServer()
        await self.server.start()
        self.session = aiohttp.ClientSession(auto_decompress=False)

    async def asyncTearDown(self):
        await self.session.close()
        await self.server.stop()

    async def test_no_part_of_the_store_s_answer_passes_for_a_whole_one(self):
        """A list that is cut would be taken for one without entries."""
        client = store.StoreClient(
            session=self.session, address=self.server.address
        )
        body = b'{"rows":[],"rowVersion":7,"nowMs":5}'
        whole = (
            b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        for self.server.resets in (False, True):
            for end in range(len(whole)):
                self.server.answer = whole[:end]
                with (
                    self.subTest(end=end, resets=self.server.resets),
                    self.assertRaises(failures.PlatformError),
                ):
                    await client.get("/v1/rows-get", {}, timeout=_SECOND)
        self.server.resets = False
        self.server.answer = whole
        rows = await client.get("/v1/rows-get", {}, timeout=_SECOND)
        self.assertEqual(rows.row_version, 7)

    async def test_no_part_of_a_plain_answer_passes_for_a_whole_one(self):
        session = http_exchange.open_session(reuse_connections=False)
        self.addAsyncCleanup(session.close)
        service = http_plain.HttpPlainServices(session=session)
        call = plain.PlainCall(request_id="r", method="GET", path="/")
        for name, whole in WHOLE.items():
            if name == "failure":
                continue
            for end in range(len(whole)):
                self.server.answer = whole[:end]
                with (
                    self.subTest(name=name, end=end),
                    self.assertRaises(failures.PlatformError),
                ):
                    await service.call(self.server.address, call)
