"""Reads a connection in slices, so that one client's bytes are little work."""

import asyncio

# The event loop's own reads have up to 256 KB, in chunks of one byte a tenth of
# a second of work during which no other client is served.
SLICE_BYTES = 16 * 1024
# Read and parsed within one callback, so that all connections can share it.
_SLICE = memoryview(bytearray(SLICE_BYTES))


class SlicedReads(asyncio.BufferedProtocol):
    """Passes what is received to a protocol, a slice at a time."""

    __slots__ = ("_protocol",)

    def __init__(self, *, protocol: asyncio.Protocol):
        self._protocol = protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the transport on."""
        self._protocol.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next slice goes."""
        return _SLICE

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a slice on."""
        self._protocol.data_received(bytes(_SLICE[:nbytes]))

    def eof_received(self) -> bool | None:
        """Passes the end on."""
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes the loss on."""
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Passes it on."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes it on."""
        self._protocol.resume_writing()
