"""Pool of connections to replicas, reused for several exchanges."""

import asyncio
import datetime
import enum
import errno
import socket

from nutmeghook.internal.foundation import socket_options
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import outcomes

# A replica that does not accept a connection this long is unreachable or
# overloaded. Data centres of a region are 1 ms apart and an accept takes 1 ms,
# so even a lost first packet (sent again after 200 ms or more by most systems)
# fits; beyond it another replica answers sooner.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=600)
# Tells an unreachable replica from a busy one; accepting takes 1 ms.
PROBE_TIMEOUT = datetime.timedelta(milliseconds=350)
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
_KEEPALIVE_OPTIONS = (
    (socket.IPPROTO_TCP, "TCP_NODELAY", 1),
    (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPIDLE", 2),
    (socket.IPPROTO_TCP, "TCP_KEEPINTVL", 1),
    (socket.IPPROTO_TCP, "TCP_KEEPCNT", 2),
    (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", 3000),
)
# Shortages of this process or machine: no connection was attempted.
_LOCAL_SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS}
)


class Reachability(enum.Enum):
    """How a replica responds to a new connection.

    Attributes:
        ACCEPTS: It accepts the connection.
        REFUSES: It refuses the connection.
        DARK: It does not respond: it is unreachable.
        NOT_ASKED: This side lacked the resources to try.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    DARK = "dark"
    NOT_ASKED = "not asked"


class ConnectionPool:
    """Opens connections, and keeps reusable ones while they are idle."""

    __slots__ = ("_idle", "_loop", "opened")

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._idle: dict[str, list[connection_module.ReplicaConnection]] = {}
        self.opened = 0

    async def acquire(
        self, address: str, *, max_idle_s: float
    ) -> connection_module.ReplicaConnection:
        """Returns a connection, the one idle for the shortest time if any.

        Args:
            address: The replica's `ip:port`.
            max_idle_s: Use none that was idle for longer. Requests that may run
                only once need a fresh one, because an idle one may break while
                they are written.

        Raises:
            outcomes.NotSentError: The replica did not accept.
        """
        idle = self._idle.get(address)
        now_s = self._loop.time()
        while idle:
            candidate = idle.pop()
            idle_s = now_s - candidate.idle_since_s
            limit_s = min(candidate.idle_limit_s, max_idle_s)
            if candidate.is_open and candidate.reusable and idle_s < limit_s:
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

    async def probe(self, address: str) -> Reachability:
        """Tells how a replica responds to a new connection.

        The connection made, if any, is kept for the next request.
        """
        try:
            connection = await self._open(address, timeout=PROBE_TIMEOUT)
        except outcomes.NotSentError as error:
            return _reachability(error.__cause__)
        connection.idle_since_s = self._loop.time()
        connection.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._keep(address, connection)
        return Reachability.ACCEPTS

    def forget(self, address: str) -> None:
        """Closes the idle connections of a replica that is gone."""
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
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                transport, protocol = await self._loop.create_connection(
                    lambda: connection_module.ReplicaConnection(
                        loop=self._loop
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            raise outcomes.NotSentError(
                f"{address} did not accept a connection: {error!r}"
            ) from error
        _enable_keepalive(transport)
        _bound_receive_buffer(transport)
        return protocol


def _reachability(error: OSError | TimeoutError) -> Reachability:
    """Returns what a failed attempt to connect shows of a replica."""
    if isinstance(error, ConnectionError):
        return Reachability.REFUSES
    if error.errno in _LOCAL_SHORTAGES:
        return Reachability.NOT_ASKED
    return Reachability.DARK


def _enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Makes the system detect a peer that no longer acknowledges.

    A path that fails without a reset would leave the connection open for many
    minutes; with these limits it breaks a few seconds after the first
    unacknowledged byte.
    """
    for level, name, value in _KEEPALIVE_OPTIONS:
        socket_options.try_set(transport, level, name, value)


def _bound_receive_buffer(transport: asyncio.BaseTransport) -> None:
    socket_options.try_set(
        transport, socket.SOL_SOCKET, "SO_RCVBUF", _RECEIVE_BUFFER_BYTES
    )
