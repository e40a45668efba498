"""The clients of a crowd: each sends what it is told and stays open."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import socket

# Connections are opened so many at a time.
_OPENING = 50
# A member whose bytes nobody takes for so long waits with its connection open.
_STUCK_S = 2.0
_SEND_BUFFER_BYTES = 64 * 1024
_LARGEST_ANSWER_BYTES = 64 * 1024

Pieces = Callable[[int], Iterable[bytes]]


class Member:
    """One client.

    Attributes:
        number: Counted from 0.
        sent_bytes: What its system has taken of its bytes.
        answer: What the process has sent.
        was_ended: The process has ended the connection.
    """

    __slots__ = (
        "_address",
        "_comes_again",
        "_pieces",
        "_reading",
        "_reads",
        "_writer",
        "answer",
        "number",
        "sent_bytes",
        "was_ended",
    )

    def __init__(
        self,
        *,
        number: int,
        address: str,
        pieces: Pieces,
        reads: bool,
        comes_again: int,
    ):
        self._comes_again = comes_again
        self.number = number
        self._address = address
        self._pieces = pieces
        self._reads = reads
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task | None = None
        self.sent_bytes = 0
        self.answer = b""
        self.was_ended = False

    @property
    def status(self) -> int | None:
        """The status of the first answer; None if there was none."""
        words = self.answer.split(b" ", 2)
        return int(words[1]) if len(words) > 2 else None

    async def open(self) -> None:
        """Connects."""
        self.was_ended = False
        host, _, port = self._address.rpartition(":")
        try:
            reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self.was_ended = True
            return
        self._writer.transport.set_write_buffer_limits(high=0)
        raw = self._writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        if self._reads:
            self._reading = asyncio.create_task(self._read(reader))

    async def send(self) -> None:
        """Sends all pieces, as far as they are taken."""
        await self._send()
        for _ in range(self._comes_again):
            if self.was_ended:
                await self.open()
                await self._send()

    async def _send(self) -> None:
        if self._writer is None:
            return
        for piece in self._pieces(self.number):
            self._writer.write(piece)
            try:
                await asyncio.wait_for(self._writer.drain(), _STUCK_S)
            except TimeoutError:
                return
            except OSError:
                self.was_ended = True
                return
            self.sent_bytes += len(piece)
            if self.was_ended:
                return
            # A piece that is taken at once gives nobody else a turn.
            await asyncio.sleep(0)

    async def close(self) -> None:
        """Closes the connection with all that is unsent."""
        if self._writer is not None:
            self._writer.transport.abort()
        if self._reading is not None:
            await self._reading

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_LARGEST_ANSWER_BYTES):
                if len(self.answer) < _LARGEST_ANSWER_BYTES:
                    self.answer += data
        self.was_ended = True


class Crowd:
    """Clients that send at the same time and stay open until the exit.

    Args:
        address: Where they connect, as `ip:port`.
        count: How many there are.
        pieces: Returns what a member sends, by its number.
        reads: They read what they are sent.
        comes_again: How often each connects and sends again once it was ended.

    Attributes:
        members: All of them.
    """

    __slots__ = ("members",)

    def __init__(
        self,
        *,
        address: str,
        count: int,
        pieces: Pieces,
        reads: bool = True,
        comes_again: int = 0,
    ):
        self.members = [
            Member(
                number=number,
                address=address,
                pieces=pieces,
                reads=reads,
                comes_again=comes_again,
            )
            for number in range(count)
        ]

    async def __aenter__(self) -> "Crowd":
        """Connects and sends; returns when no member can send more."""
        for start in range(0, len(self.members), _OPENING):
            some = self.members[start : start + _OPENING]
            await asyncio.gather(*(member.open() for member in some))
        await asyncio.gather(*(member.send() for member in self.members))
        return self

    async def __aexit__(self, *exception_info: object) -> None:
        """Closes all connections."""
        await asyncio.gather(*(member.close() for member in self.members))
