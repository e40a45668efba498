"""A server that answers with given bytes, whether they are HTTP or not."""

import asyncio
import contextlib
import enum
import re
import socket
import struct

from nutmeghook.standins import loopback_host

_PAUSE_S = 0.02
# What the system takes of a request that is not read.
_RECEIVE_BUFFER_BYTES = 64 * 1024
_NO_LINGER = struct.pack("ii", 1, 0)


class Ending(enum.Enum):
    """What becomes of the connection after an answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    CLOSE_THEN_RESET = "close, then reset"
    CLOSE_ONE_SIDE = "close one side"
    TAKE_ALL = "take the whole request, close"
    TAKE_ALL_THEN_RESET = "take the whole request, close, then reset"


_CLOSED_THEN_RESET = (Ending.CLOSE_THEN_RESET, Ending.TAKE_ALL_THEN_RESET)


class RawServer:
    """Sends the same bytes to each request, once its head has come.

    It takes no more of a long body than its buffers hold, unless its ending
    says so.

    Attributes:
        answer: What is sent.
        ending: What follows it.
        address: The `ip:port` listened on; empty before the start.
        requests: How many heads were received.
    """

    def __init__(self):
        self.answer = b""
        self.ending = Ending.CLOSE
        self.address = ""
        self.requests = 0
        self._server: asyncio.Server | None = None
        self._stopping = asyncio.Event()
        self._serving: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a port that the system chooses."""
        listening = socket.create_server((loopback_host.own_host(), 0))
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._server = await asyncio.start_server(self._serve, sock=listening)
        host, port = listening.getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Listens no more, and waits for the callers to leave."""
        self._server.close()
        self._stopping.set()
        await asyncio.gather(*self._serving)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._serving.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self.answer)
                await writer.drain()
                if self.ending is not Ending.KEEP:
                    break
            if self.ending is Ending.CLOSE_ONE_SIDE:
                writer.write_eof()
                await self._stopping.wait()
            if self.ending in (Ending.TAKE_ALL, Ending.TAKE_ALL_THEN_RESET):
                # The answer comes while the upload is under way.
                await asyncio.sleep(_PAUSE_S)
                await reader.readexactly(_length_in(head))
            if self.ending in _CLOSED_THEN_RESET:
                writer.write_eof()
                # Lets the end be read before the reset.
                await asyncio.sleep(_PAUSE_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if self.ending in (Ending.RESET, *_CLOSED_THEN_RESET):
                _reset(writer)
            writer.close()
            self._serving.discard(asyncio.current_task())


def _length_in(head: bytes) -> int:
    """Returns the length of a request's body."""
    stated = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    return int(stated[1]) if stated else 0


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    # The caller may have closed the connection.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
