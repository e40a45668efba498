"""Envelopes in UDP datagrams, each sealed with the shared credential."""

import abc
import asyncio
from collections.abc import Callable
import hashlib
import hmac

from nutmeghook.internal.inner import addresses
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import frames

# Below the smallest MTU met in practice (1,280) less IP and UDP headers, so
# that no datagram is cut into fragments, of which each can be lost.
MAX_DATAGRAM_BYTES = 1200
# What IPv4 and UDP add to each datagram; part of what traffic counts.
HEADER_BYTES = 28
_SEAL_BYTES = 12
MAX_ENVELOPE_BYTES = MAX_DATAGRAM_BYTES - _SEAL_BYTES

Receiver = Callable[[bytes], None]


class Datagrams(abc.ABC):
    """Sends datagrams that may be lost, repeated, delayed or reordered."""

    @abc.abstractmethod
    def set_receiver(self, receiver: Receiver) -> None:
        """Sets who is given each datagram that arrives; it must not fail."""

    @abc.abstractmethod
    def send(self, inner_address: str, data: bytes) -> None:
        """Sends to `ip:port`; what can't be sent is lost."""


class Seal:
    """Marks datagrams as coming from an instance that has the credential.

    A connection shows the credential once. A datagram stands alone, and
    anyone may write any sender into it, so each carries a keyed hash. One
    that is repeated later does no harm: states are ordered by their number
    and replies by their sequence.
    """

    __slots__ = ("_key",)

    def __init__(self, *, credential: str):
        frames.check_credential(credential)
        self._key = hashlib.blake2b(credential.encode()).digest()

    def wrap(self, envelope: bytes) -> bytes:
        """Returns a datagram with an envelope."""
        return self._hash(envelope) + envelope

    def unwrap(self, datagram: bytes) -> bytes:
        """Returns the envelope of a datagram.

        Raises:
            MalformedError: It was not sealed with this credential.
        """
        seal = datagram[:_SEAL_BYTES]
        envelope = datagram[_SEAL_BYTES:]
        if not hmac.compare_digest(seal, self._hash(envelope)):
            raise codec.MalformedError("the datagram's seal is wrong")
        return envelope

    def _hash(self, envelope: bytes) -> bytes:
        return hashlib.blake2b(
            envelope, key=self._key, digest_size=_SEAL_BYTES
        ).digest()


class UdpDatagrams(Datagrams, asyncio.DatagramProtocol):
    """One UDP socket, on the same port as the TCP side."""

    __slots__ = ("_receiver", "_transport")

    def __init__(self):
        self._receiver: Receiver | None = None
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, *, host: str, port: int) -> str:
        """Binds the socket and returns its `ip:port`."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        bound = self._transport.get_extra_info("sockname")
        return f"{bound[0]}:{bound[1]}"

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def set_receiver(self, receiver: Receiver) -> None:
        """Sets who is given each datagram."""
        self._receiver = receiver

    def send(self, inner_address: str, data: bytes) -> None:
        """Sends to `ip:port`."""
        address = addresses.split(inner_address)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Called by asyncio for each datagram."""
        if self._receiver is not None:
            self._receiver(data)

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio when an earlier datagram found no socket.

        The prober sees the missing ack; there is nothing to add.
        """
