"""Callers and replicas that read slowly or not at all, on real sockets."""

import asyncio
import socket

from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import relay_fixture

_CALLER_BUFFER_BYTES = 4096
# Many times what all buffers between a replica and a caller take.
FLOOD_BYTES = 64 * 1024 * 1024
EVENT_BYTES = 4096


def large_event(number: int) -> bytes:
    """Returns an event of `EVENT_BYTES`."""
    head = b"id: %d\ndata: " % number
    return head + b"x" * (EVENT_BYTES - len(head) - 2) + b"\n\n"


class FloodingReplica(users_replica.StandInReplica):
    """Answers every request with as many large events as are read.

    Attributes:
        events: How many events a whole answer has.
        sent_bytes: Written of all answers.
    """

    def __init__(self, *, replica_id: str):
        super().__init__(replica_id=replica_id)
        self.events = FLOOD_BYTES // EVENT_BYTES
        self.sent_bytes = 0

    async def _answer(self, reply, request, reader, writer) -> bool:
        writer.write(_stream_head(request))
        for number in range(self.events):
            if writer.is_closing():
                return False
            piece = large_event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            self.sent_bytes += len(piece)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class EndlessEventReplica(FloodingReplica):
    """Answers every request with an event that never ends."""

    async def _answer(self, reply, request, reader, writer) -> bool:
        writer.write(_stream_head(request))
        while not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (EVENT_BYTES, b"x" * EVENT_BYTES))
            await writer.drain()
            self.sent_bytes += EVENT_BYTES
        return False


class NonReadingReplica(users_replica.StandInReplica):
    """Accepts connections and reads nothing from them."""

    async def _serve_one(self, reader, writer, connection) -> bool:
        writer.transport.pause_reading()
        self.request_received.set()
        await self.crashed.wait()
        return False


def _stream_head(request: users_replica.ReceivedRequest) -> bytes:
    return (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        f"{headers.REQUEST_ID}: {request.request_id}\r\n"
        f"{headers.SEAL}: a-seal\r\n\r\n"
    ).encode()


class SlowCaller:
    """A caller that reads only when it is told to.

    Attributes:
        read_bytes: All that it has read.
    """

    def __init__(self, *, address: str):
        self._address = address
        self._socket = socket.socket()
        self.read_bytes = b""

    async def ask(self, kind, *, request_id: str = "request-1") -> None:
        """Sends a request."""
        host, _, port = self._address.rpartition(":")
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _CALLER_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (host, int(port)))
        method = "GET" if kind.value == "idempotent" else "POST"
        await loop.sock_sendall(
            self._socket,
            f"{method} /{kind.value}/x HTTP/1.1\r\n"
            f"Host: {relay_fixture.HOST}\r\n"
            f"{headers.REQUEST_ID}: {request_id}\r\n"
            f"Authorization: Token {relay_fixture.KEY}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode(),
        )

    async def read(self, count: int) -> bytes:
        """Reads at most so many bytes; none at the end."""
        loop = asyncio.get_running_loop()
        try:
            data = await loop.sock_recv(self._socket, count)
        except ConnectionError:
            return b""
        self.read_bytes += data
        return data

    async def read_all(self) -> bytes:
        """Reads to the end, and returns all that was ever read."""
        while await self.read(256 * 1024):
            pass
        return self.read_bytes

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()
