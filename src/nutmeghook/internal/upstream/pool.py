"""Pool of connections to replicas, reused for several exchanges."""

import asyncio
import collections
import datetime
import socket

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import socket_options
from nutmeghook.internal.observe import surplus_answers
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import connector as connector_module
from nutmeghook.internal.upstream import dialer as dialer_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import paths as paths_module
from nutmeghook.internal.upstream import reachability as reachability_module
from nutmeghook.internal.upstream import tunnelled_connection

# A replica that does not accept a connection this long is unreachable or
# overloaded. Data centres of a region are 1 ms apart and an accept takes 1 ms,
# so even a lost first packet (sent again after 200 ms or more by most systems)
# fits; beyond it another replica answers sooner.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=600)
# Tells an unreachable replica from a busy one; accepting takes 1 ms.
PROBE_TIMEOUT = datetime.timedelta(milliseconds=350)
# How often lost paths that peers are used for are tried again, and how many.
_RESTORE_PERIOD = datetime.timedelta(milliseconds=500)
_MAX_TRIED_TOGETHER = 3
# How long an idle connection is reused if the replica states no idle time.
DEFAULT_IDLE_LIMIT_S = 2.0
# Share of the stated idle time that is used: a request that crosses the
# replica's close on the wire may have run, and can't be repeated.
IDLE_SHARE = 0.6
# Maximum of idle connections per replica; only bursts need more than a few.
MAX_IDLE_PER_REPLICA = 24
# What the system may hold of an answer that is not read; it books twice as
# much. All of it can arrive in one read, which this instance then holds: a
# stalled stream takes 97 KB, and 185 KB with the system's default. Over a round
# trip of 60 ms it still carries some 0.5 MB/s.
_RECEIVE_BUFFER_BYTES = 32 * 1024


class ConnectionPool:
    """Opens connections, and keeps reusable ones while they are idle.

    Args:
        loop: The event loop.
        clock: Measures time.
        dialer: Opens the connections; None for TCP connections.
        tunnels: Opens connections through peers; None for no peers.
        surplus: Is told of answers that belong to no request under way; None
            if nobody is.

    Attributes:
        opened: How many connections it has tried to open.
    """

    __slots__ = ("_clock", "_connector", "_idle", "_loop", "_surplus", "opened")

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        clock: clock_module.Clock,
        dialer: dialer_module.Dialer | None = None,
        tunnels: tunnelled_connection.Tunnels | None = None,
        surplus: surplus_answers.SurplusObserver | None = None,
    ):
        self._loop = loop
        self._clock = clock
        self._connector = connector_module.Connector(
            loop=loop,
            dialer=dialer or dialer_module.TcpDialer(loop=loop),
            tunnels=tunnels or tunnelled_connection.NoTunnels(),
            clock=clock,
        )
        self._idle: dict[str, list[connection_module.ReplicaConnection]] = {}
        self._surplus = surplus or surplus_answers.IgnoredSurplus()
        self.opened = 0

    @property
    def paths(self) -> paths_module.ReplicaPaths:
        """What is known of this instance's own paths to replicas."""
        return self._connector.paths

    async def acquire(
        self, address: str, *, request_id: str, max_idle_s: float
    ) -> connection_module.ReplicaConnection:
        """Returns a connection, the one idle for the shortest time if any.

        Args:
            address: The replica's `ip:port`.
            request_id: Use none that has carried a request with this id.
            max_idle_s: Use none that was idle for longer. Requests that may run
                only once need a fresh one, because an idle one may break while
                they are written.

        Raises:
            outcomes.NotSentError: The replica did not accept.
        """
        idle = self._idle.get(address, [])
        now_s = self._loop.time()
        for candidate in reversed(tuple(idle)):
            idle_s = now_s - candidate.idle_since_s
            if (
                candidate.is_open
                and idle_s < candidate.idle_limit_s
                and candidate.has_carried(request_id)
            ):
                continue
            idle.remove(candidate)
            limit_s = min(candidate.idle_limit_s, max_idle_s)
            if (
                candidate.is_open
                and candidate.reusable
                and idle_s < limit_s
                and self._connector.is_on_path(address, candidate)
            ):
                return candidate
            candidate.abort()
        return await self._open(address)

    def release(
        self,
        address: str,
        connection: connection_module.ReplicaConnection,
        *,
        idle_limit_s: float | None,
    ) -> None:
        """Takes a connection back after a complete exchange.

        Args:
            address: The replica's `ip:port`.
            connection: The connection.
            idle_limit_s: Idle time that the replica states, if it states one.
        """
        if not connection.finish_exchange():
            return
        stated_s = idle_limit_s or DEFAULT_IDLE_LIMIT_S / IDLE_SHARE
        connection.idle_limit_s = stated_s * IDLE_SHARE
        self._keep(address, connection)

    async def open_for_probe(
        self, address: str
    ) -> connection_module.ReplicaConnection:
        """Returns a new connection.

        On one that was used, a late second answer to an earlier request could
        be taken for the probe's.

        Raises:
            outcomes.NotSentError: The replica did not accept.
        """
        return await self._open(address, timeout=PROBE_TIMEOUT)

    async def exchange_probe(
        self,
        address: str,
        connection: connection_module.ReplicaConnection,
        message: bytes,
    ) -> tuple[connection_module.AnswerHead, bytes]:
        """Sends a probe on a new connection, which is kept if it stays usable.

        Args:
            address: Where the connection leads.
            connection: From `open_for_probe`.
            message: The probe.

        Returns:
            The answer's head, and its body or the beginning of a long one;
            nothing of a body that ends with the connection.

        Raises:
            outcomes.AttemptError: There was no whole answer.
        """
        try:
            head = await connection.exchange(message, has_body=True)
            # The connection is of use to the next request if it is read up.
            if head.ends_with_connection:
                return head, b""
            return head, await head.read_short()
        finally:
            self.release(address, connection, idle_limit_s=None)

    async def probe(self, address: str) -> reachability_module.Reachability:
        """Tells how a replica responds to a new connection.

        The connection made, if any, is kept for the next request.
        """
        try:
            connection = await self.open_for_probe(address)
        except outcomes.NotSentError as error:
            return error.reachability
        self._keep_unused(address, connection)
        if connection.helper is not None:
            return reachability_module.Reachability.BYPASSED
        return reachability_module.Reachability.ACCEPTS

    async def restore_paths(self) -> None:
        """Tries paths that peers are used for again, until cancelled.

        While one is still lost, the others probably are, too.
        """
        was_restored = False
        tried = 0
        while True:
            await self._clock.sleep(_RESTORE_PERIOD)
            bypassed = collections.deque(self.paths.bypassed())
            if not was_restored:
                bypassed.rotate(-tried)
                tried += _MAX_TRIED_TOGETHER
                bypassed = list(bypassed)[:_MAX_TRIED_TOGETHER]
            found = await asyncio.gather(*map(self._try_path, bypassed))
            was_restored = any(found)

    async def _try_path(self, address: str) -> bool:
        """Tells whether a replica accepts a direct connection again."""
        connection = await self._connector.dial(address, timeout=PROBE_TIMEOUT)
        if connection is None:
            return False
        self._prepare(address, connection)
        self._keep_unused(address, connection)
        return True

    def forget(self, address: str) -> None:
        """Closes the idle connections of a replica that is gone."""
        self._connector.forget(address)
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _keep(
        self, address: str, connection: connection_module.ReplicaConnection
    ) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_REPLICA:
            connection.abort()
            return
        idle.append(connection)

    async def _open(
        self, address: str, *, timeout: datetime.timedelta = CONNECT_TIMEOUT
    ) -> connection_module.ReplicaConnection:
        self.opened += 1
        connection = await self._connector.connect(address, timeout=timeout)
        self._prepare(address, connection)
        return connection

    def _prepare(
        self, address: str, connection: connection_module.ReplicaConnection
    ) -> None:
        """Sets the options of a new connection.

        A replica at its connection limit may have reset it by now.
        """
        connection.address = address
        connection.surplus = self._surplus
        if connection.transport is None:
            return
        socket_options.detect_lost_peer(connection.transport)
        _bound_receive_buffer(connection.transport)

    def _keep_unused(
        self, address: str, connection: connection_module.ReplicaConnection
    ) -> None:
        """Keeps a new connection for the next request."""
        connection.idle_since_s = self._loop.time()
        connection.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._keep(address, connection)


def _bound_receive_buffer(transport: asyncio.BaseTransport) -> None:
    socket_options.try_set(
        transport, socket.SOL_SOCKET, "SO_RCVBUF", _RECEIVE_BUFFER_BYTES
    )
