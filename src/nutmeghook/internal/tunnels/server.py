"""Connects peers that are cut off from a replica to it.

A tunnel carries bytes and knows nothing of the requests in them: every decision
on a request stays with the instance that its caller chose. It always ends at a
replica, never at another instance, so a request passes one peer at most.
"""

import asyncio
from collections.abc import Callable
import contextlib
import datetime
import socket
import struct

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import socket_options
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import frames
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.observe import logs
from nutmeghook.internal.tunnels import outcomes
from nutmeghook.internal.upstream import dialer as dialer_module
from nutmeghook.internal.upstream import paths as paths_module
from nutmeghook.internal.upstream import pieces

_Outcome = outcomes.TunnelOutcome

# Shorter together than a peer waits for the reply, so that it is told of a
# replica that does not respond. Accepting takes 1 ms.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
CONTROL_TIMEOUT = datetime.timedelta(milliseconds=100)
# Each takes two descriptors; the smallest instances have 1,400 for sockets.
MAX_TUNNELS = 400
# For so long a control connection proves that this instance reaches replicas.
_CONTROL_TIME = datetime.timedelta(milliseconds=200)
# Bounds what a tunnel holds for a peer or replica that does not read.
_BUFFER_BYTES = 16 * 1024
_NO_LINGER = struct.pack("ii", 1, 0)


class _ReplicaLink:
    """A connection to a replica.

    Attributes:
        protocol: Tells how the connection ended.
    """

    __slots__ = ("protocol", "reader", "writer")

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        protocol: "_ReplicaProtocol",
        reader: asyncio.StreamReader,
        loop: asyncio.AbstractEventLoop,
    ):
        self.protocol = protocol
        self.reader = reader
        self.writer = asyncio.StreamWriter(transport, protocol, reader, loop)


class _ReplicaProtocol(asyncio.StreamReaderProtocol):
    """Feeds a reader all that a replica sent, also if its connection breaks.

    Attributes:
        failure: Why the connection broke; None if it was closed.
        is_early: The replica has sent something before it had received all
            that was sent to it.
    """

    def __init__(self, *, reader: asyncio.StreamReader):
        super().__init__(reader, loop=asyncio.get_running_loop())
        self.failure: Exception | None = None
        self.is_early = False
        self._other_side_ended = False
        self._replica_transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keeps the transport, whose socket tells a reset from a close."""
        self._replica_transport = transport
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Feeds the reader."""
        self.is_early = self.is_early or socket_options.is_still_sending(
            self._replica_transport
        )
        super().data_received(data)

    def take_end_error(self) -> Exception | None:
        """Returns why the connection has broken until now."""
        return self.failure or socket_options.take_end_error(
            self._replica_transport
        )

    def eof_received(self) -> bool | None:
        """Ends the reader, and records what makes it no clean end."""
        self._other_side_ended = True
        self.failure = socket_options.take_end_error(self._replica_transport)
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the reader after what was received before."""
        if exc is None and not self._other_side_ended:
            exc = ConnectionAbortedError("dropped by this process")
        self.failure = self.failure or exc
        super().connection_lost(None)


class TunnelServer(peers.ConnectionHandler):
    """Opens tunnels for peers.

    Args:
        is_replica: Returns whether an address is a listed replica's.
        is_leaving: Returns whether this instance was asked to stop.
        dialer: Opens connections to replicas.
        paths: This instance's own paths to replicas.
        clock: Measures time.
        traffic: Counts bytes between instances.

    Attributes:
        open_count: Tunnels that are open.
    """

    __slots__ = (
        "_clock",
        "_dialer",
        "_is_leaving",
        "_is_replica",
        "_paths",
        "_proven_until",
        "_traffic",
        "open_count",
    )

    def __init__(
        self,
        *,
        is_replica: Callable[[str], bool],
        is_leaving: Callable[[], bool],
        dialer: dialer_module.Dialer,
        paths: paths_module.ReplicaPaths,
        clock: clock_module.Clock,
        traffic: traffic_module.Traffic,
    ):
        self._is_replica = is_replica
        self._is_leaving = is_leaving
        self._dialer = dialer
        self._paths = paths
        self._clock = clock
        self._traffic = traffic
        self._proven_until = datetime.timedelta()
        self.open_count = 0

    @property
    def is_able(self) -> bool:
        """Tells whether peers should ask this instance for tunnels."""
        return not (
            self._is_leaving()
            or self._paths.is_cut_off
            or self.open_count > MAX_TUNNELS
        )

    async def serve(
        self,
        request: codec.Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves a peer's connection until the tunnel on it has ended."""
        address = request.message.address or ""
        self.open_count += 1
        replica = None
        try:
            outcome, replica = await self._connect(address)
            self._reply(request, writer, outcome)
            logs.note(
                "tunnel:served",
                address=address,
                outcome=outcome.name.lower(),
                open=self.open_count,
            )
            if replica is not None:
                await self._carry(reader, writer, replica)
        except ConnectionError:
            # The peer has closed its side.
            return
        finally:
            self.open_count -= 1
            if replica is not None:
                _reset(replica.writer)

    def _reply(
        self,
        request: codec.Received,
        writer: asyncio.StreamWriter,
        outcome: _Outcome,
    ) -> None:
        reply = ttypes.TunnelReply(outcome=outcome)
        encoded = codec.encode(reply, sequence=request.sequence)
        frames.write(writer, encoded, traffic=self._traffic)

    async def _connect(
        self, address: str
    ) -> tuple[_Outcome, _ReplicaLink | None]:
        if not self.is_able or not self._is_replica(address):
            return _Outcome.UNABLE, None
        if self._paths.is_bypassed(address):
            return _Outcome.UNABLE, None
        try:
            return _Outcome.OPEN, await self._dial(address, CONNECT_TIMEOUT)
        except ConnectionError:
            outcome = _Outcome.REFUSED
        except (OSError, TimeoutError):
            outcome = _Outcome.DARK
        # This instance may have been cut off a moment ago, too.
        if not await self._reaches_another(address):
            outcome = _Outcome.UNABLE
        return outcome, None

    async def _dial(
        self, address: str, timeout: datetime.timedelta
    ) -> _ReplicaLink:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=_BUFFER_BYTES, loop=loop)
        transport, protocol = await self._clock.wait_for(
            self._dialer.dial(
                address,
                lambda: _ReplicaProtocol(reader=reader),
            ),
            timeout,
        )
        return _ReplicaLink(
            transport=transport, protocol=protocol, reader=reader, loop=loop
        )

    async def _reaches_another(self, address: str) -> bool:
        """Tells whether this instance connects to any other replica now."""
        if self._clock.monotonic() < self._proven_until:
            return True
        other = self._paths.any_open(except_for=address)
        if other is None:
            return False
        try:
            replica = await self._dial(other, CONTROL_TIMEOUT)
        except (OSError, TimeoutError):
            return False
        replica.writer.transport.abort()
        self._proven_until = self._clock.monotonic() + _CONTROL_TIME
        return True

    async def _carry(
        self,
        peer_reader: asyncio.StreamReader,
        peer_writer: asyncio.StreamWriter,
        replica: _ReplicaLink,
    ) -> None:
        """Carries bytes both ways until one side has ended."""
        for writer in (peer_writer, replica.writer):
            if writer.is_closing():
                raise ConnectionResetError("one side has closed already")
            socket_options.detect_lost_peer(writer.transport)
            writer.transport.set_write_buffer_limits(high=_BUFFER_BYTES)
        to_replica = asyncio.create_task(_copy(peer_reader, replica.writer))
        to_peer = asyncio.create_task(_copy_pieces(replica.reader, peer_writer))
        try:
            await asyncio.wait(
                {to_replica, to_peer}, return_when=asyncio.FIRST_COMPLETED
            )
            if to_peer.done() and to_peer.exception() is None:
                await self._end(peer_writer, await self._failure_of(replica))
            else:
                _reset(peer_writer)
        finally:
            for task in (to_replica, to_peer):
                task.cancel()
            # Which side broke, and how, makes no difference any more.
            await asyncio.gather(to_replica, to_peer, return_exceptions=True)

    async def _failure_of(self, replica: _ReplicaLink) -> Exception | None:
        """Returns why a connection broke that has ended, or may be reset."""
        if replica.protocol.failure is None and replica.protocol.is_early:
            await self._clock.sleep(socket_options.RESET_DELAY)
            return replica.protocol.take_end_error()
        return replica.protocol.failure

    async def _end(
        self, peer_writer: asyncio.StreamWriter, failure: Exception | None
    ) -> None:
        """Tells the peer that the replica has closed its side.

        If the connection broke instead, the peer gets what was received, and
        no sign of an end.
        """
        logs.note(
            "tunnel:replica_ended", failure=repr(failure) if failure else None
        )
        if failure is None:
            with contextlib.suppress(ConnectionError):
                peer_writer.write(pieces.END)
                await peer_writer.drain()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copies bytes until their end."""
    while data := await reader.read(_BUFFER_BYTES):
        writer.write(data)
        await writer.drain()


async def _copy_pieces(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copies bytes in pieces until their end."""
    while data := await reader.read(_BUFFER_BYTES):
        writer.write(pieces.encode(data))
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection so that its end can't be taken for a clean one."""
    raw = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
