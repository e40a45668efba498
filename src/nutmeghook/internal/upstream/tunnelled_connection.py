"""Connections to replicas through a peer that reaches them."""

import abc
import asyncio

from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import pieces
from nutmeghook.internal.upstream import reachability as reachability_module

_BROKEN = "the tunnel broke"


class TunnelError(Exception):
    """No peer opened a tunnel.

    Attributes:
        sign: How the replica responded to peers; None if none could tell.
    """

    def __init__(
        self,
        message: str,
        *,
        sign: reachability_module.Reachability | None = None,
    ):
        super().__init__(message)
        self.sign = sign


class TunnelledConnection(connection_module.ReplicaConnection):
    """A connection to a replica that a peer carries.

    What arrives comes in pieces, the first of which is the peer's reply. The
    last, empty one tells that the replica has closed its side. If the peer ends
    instead, its connections close cleanly too, and an answer without a length
    would look complete.

    Attributes:
        reply: The peer's reply, as an encoded envelope.
    """

    __slots__ = ("_pieces", "_reply", "reply")

    def __init__(self, *, loop: asyncio.AbstractEventLoop, helper: str):
        super().__init__(loop=loop)
        self.helper = helper
        self.reply: asyncio.Future[bytes] = loop.create_future()
        self._reply = b""
        self._pieces = pieces.PieceReader()

    def data_received(self, data: bytes) -> None:
        """Passes the bytes of pieces on as they come."""
        # Resumed reading passes no bytes, and has the parser go on.
        if not data:
            super().data_received(data)
            return
        for part in self._pieces.feed(data):
            if self.reply.done():
                super().data_received(part)
                continue
            self._reply += part
            if not self._pieces.is_within:
                self.reply.set_result(self._reply)
        if self._pieces.is_ended:
            self.reusable = False
            if self.transport is not None:
                self._check_end()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the exchange; only the replica's own end is a clean one."""
        if exc is None and not self._pieces.is_ended:
            exc = ConnectionResetError(_BROKEN)
        if not self.reply.done():
            self.reply.set_exception(ConnectionResetError(_BROKEN))
            # Marks it as retrieved, if nobody waits for it any more.
            self.reply.exception()
        super().connection_lost(exc)


class Tunnels(abc.ABC):
    """Opens connections through peers."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def are_possible(self) -> bool:
        """Tells whether there are peers to ask."""

    @abc.abstractmethod
    def is_helper(self, helper: str) -> bool:
        """Tells whether a peer goes on opening tunnels.

        One that is about to stop carries those that it has for a while.
        """

    @abc.abstractmethod
    async def open(self, address: str) -> TunnelledConnection:
        """Returns a new connection to a replica's `ip:port`.

        Raises:
            TunnelError: No peer has opened one.
        """


class NoTunnels(Tunnels):
    """Opens none; for an instance without peers."""

    __slots__ = ()

    @property
    def are_possible(self) -> bool:
        """Tells that there are no peers."""
        return False

    def is_helper(self, helper: str) -> bool:
        """Knows no peer."""
        return False

    async def open(self, address: str) -> TunnelledConnection:
        """Fails."""
        raise TunnelError("there are no peers")
