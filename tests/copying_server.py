"""A server that sends an answer twice on the same connection."""

import asyncio
import enum

from nutmeghook.standins import loopback_host


class CopyTime(enum.Enum):
    """When the copy of an answer follows."""

    IDLE = "idle"
    NEXT_REQUEST = "next request"
    SAME_WRITE = "same write"
    AFTER_HEAD = "after head"


def answer(status: int, body: bytes) -> bytes:
    """Returns an answer with a length."""
    return b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s" % (
        status,
        len(body),
        body,
    )


class CopyingServer:
    """Gives its answers in order; the first one twice.

    Attributes:
        answers: One for each request to come.
        copy_time: When the first one's copy follows; None for no copy.
        connections: How many were opened.
        requests: How many were received.
    """

    def __init__(self):
        self.answers: list[bytes] = []
        self.copy_time: CopyTime | None = None
        self.connections = 0
        self.requests = 0
        self._copy = b""
        self._first_writer: asyncio.StreamWriter | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listens; returns the address."""
        self._server = await asyncio.start_server(
            self._serve, loopback_host.own_host(), 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Listens no more."""
        self._server.close()

    async def begin(
        self, answers: list[bytes], copy_time: CopyTime | None
    ) -> None:
        """Answers further requests with these, on new connections."""
        if self._first_writer is not None:
            self._first_writer.transport.abort()
            await _read_all()
        self.answers = answers
        self.copy_time = copy_time
        self._first_writer = None

    async def send_idle_copy(self) -> None:
        """Sends the copy, if now is the time, and waits until it was read."""
        if self.copy_time is CopyTime.IDLE and self._first_writer is not None:
            self._first_writer.write(self._copy)
        await _read_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                await self._exchange(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        _, _, length = head.partition(b"content-length: ")
        await reader.readexactly(int(length.split(b"\r\n")[0] or 0))
        self.requests += 1
        if not self.answers:
            raise ConnectionResetError("no answer to a further request")
        given = self.answers.pop(0)
        if self._first_writer is None:
            self._first_writer = writer
            self._copy = given
            if self.copy_time is CopyTime.SAME_WRITE:
                given += given
            elif self.copy_time is CopyTime.AFTER_HEAD:
                # The client has taken the head before the rest arrives.
                split = given.index(b"\r\n\r\n") + 4
                writer.write(given[:split])
                await _read_all()
                given = given[split:] + given
        elif (
            writer is self._first_writer
            and self.copy_time is CopyTime.NEXT_REQUEST
        ):
            given = self._copy + given
        writer.write(given)


async def _read_all() -> None:
    """Lets the client, in the same loop, read what was sent."""
    for _ in range(5):
        await asyncio.sleep(0)
