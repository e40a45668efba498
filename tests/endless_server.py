"""A server whose answers never end."""

import asyncio
import dataclasses

from nutmeghook.standins import loopback_host

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_PIECE_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Endless:
    """An answer that begins with some bytes and repeats others for good."""

    first: bytes
    repeated: bytes


# Of these no further byte can make an answer.
NO_ANSWERS = {
    "empty lines": Endless(first=b"", repeated=b"\r\n"),
    "no HTTP": Endless(first=b"", repeated=b"x"),
    "status line": Endless(first=b"HTTP/1.1 200 ", repeated=b"x"),
    "interim answers": Endless(
        first=b"", repeated=b"HTTP/1.1 100 Continue\r\n\r\n"
    ),
    "fields": Endless(first=_OK, repeated=b"X-Field: value\r\n"),
    "field name": Endless(first=_OK, repeated=b"x"),
    "field value": Endless(first=_OK + b"X-Field: ", repeated=b"x"),
    "chunk size": Endless(first=_CHUNKED, repeated=b"0"),
    "chunk extension": Endless(first=_CHUNKED + b"1;", repeated=b"x"),
    "protocol switch": Endless(
        first=b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n"
        b"Connection: upgrade\r\n\r\n",
        repeated=b"x",
    ),
    "trailers": Endless(
        first=_CHUNKED + b"1\r\nx\r\n0\r\n", repeated=b"X-Field: value\r\n"
    ),
}
BODIES = {
    "chunks": Endless(first=_CHUNKED, repeated=b"1\r\nx\r\n"),
    "body without length": Endless(
        first=_OK + b"Connection: close\r\n\r\n", repeated=b"x"
    ),
    "huge length": Endless(
        first=_OK + b"Content-Length: 99999999999\r\n\r\n", repeated=b"x"
    ),
}
PAST_END = Endless(first=_OK + b"Content-Length: 2\r\n\r\n{}", repeated=b"x")


class EndlessServer:
    """Answers each request without end, until its caller closes.

    Attributes:
        answer: What is sent.
        sent_bytes: How much was sent in all.
        callers_left: No connection is open.
        requests: How many requests it received.
    """

    def __init__(self):
        self.answer = Endless(first=b"", repeated=b"x")
        self.sent_bytes = 0
        self._open_connections = 0
        self.callers_left = asyncio.Event()
        self.requests = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listens; returns the address."""
        self._server = await asyncio.start_server(
            self._serve, loopback_host.own_host(), 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Listens no more; connections end with their callers."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open_connections += 1
        self.callers_left.clear()
        repeated = self.answer.repeated
        piece = repeated * (_PIECE_BYTES // len(repeated))
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self.answer.first)
            while True:
                writer.write(piece)
                self.sent_bytes += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open_connections -= 1
            if not self._open_connections:
                self.callers_left.set()
            writer.transport.abort()
