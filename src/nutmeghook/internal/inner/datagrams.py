"""Envelopes in UDP datagrams, authenticated by the shared credential."""

import abc
import asyncio
from collections.abc import Callable
import hashlib
import hmac

from nutmeghook.internal.inner import addresses
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import frames

# Below the smallest common MTU (1,280) less IP and UDP headers, so that no
# datagram is fragmented; the loss of one fragment loses the datagram.
MAX_DATAGRAM_BYTES = 1200
# IPv4 and UDP headers, which traffic counts include.
HEADER_BYTES = 28
_SEAL_BYTES = 12
MAX_ENVELOPE_BYTES = MAX_DATAGRAM_BYTES - _SEAL_BYTES

Receiver = Callable[[bytes], None]


class Datagrams(abc.ABC):
    """Sends datagrams that may be lost, repeated, delayed or reordered."""

    @abc.abstractmethod
    def set_receiver(self, receiver: Receiver) -> None:
        """Sets the callback for received datagrams; it must not raise."""

    @abc.abstractmethod
    def send(self, inner_address: str, data: bytes) -> None:
        """Sends to `ip:port`; a datagram that can't be sent is dropped."""


class Seal:
    """Authenticates datagrams with a keyed hash.

    A connection presents the credential once. A datagram's source can be
    forged, so each carries a hash keyed with the credential. Replaying one does
    no harm: states are ordered by number and replies by sequence.
    """

    __slots__ = ("_key",)

    def __init__(self, *, credential: str):
        frames.check_credential(credential)
        self._key = hashlib.blake2b(credential.encode()).digest()

    def wrap(self, envelope: bytes) -> bytes:
        """Returns an envelope's datagram: the keyed hash, then the envelope."""
        return self._hash(envelope) + envelope

    def unwrap(self, datagram: bytes) -> bytes:
        """Returns the envelope of a datagram.

        Raises:
            MalformedError: The hash was not made with this credential.
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
    """A UDP socket on the same port as the TCP server."""

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
        """Sets the callback for received datagrams."""
        self._receiver = receiver

    def send(self, inner_address: str, data: bytes) -> None:
        """Sends to `ip:port`."""
        try:
            address = addresses.split(inner_address)
        except ValueError:
            # A peer or a row named it; the others' datagrams go on.
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Called by asyncio for each datagram."""
        if self._receiver is not None:
            self._receiver(data)

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio when an earlier datagram was rejected.

        Ignored: the membership probe notices the missing acknowledgement.
        """
