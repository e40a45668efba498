"""A server that answers with given bytes, whether they are HTTP or not."""

import asyncio
import enum
import socket
import struct

from nutmeghook.standins import loopback_host

_NO_LINGER = struct.pack("ii", 1, 0)


class Ending(enum.Enum):
    """What becomes of the connection after an answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


class RawServer:
    """Sends the same bytes to each request, once its head has come.

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

    async def start(self) -> None:
        """Listens on a port that the system chooses."""
        self._server = await asyncio.start_server(
            self._serve, loopback_host.own_host(), 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Listens no more."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self.answer)
                await writer.drain()
                if self.ending is not Ending.KEEP:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if self.ending is Ending.RESET:
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
                writer.transport.abort()
            writer.close()
