"""The open connections of a listener's clients, and what is held for them.

Clients may open connections, and send parts of requests, at any rate. Beyond
its bounds an instance drops connections that have no whole request under way,
those that have waited longest first.
"""

import abc
from collections.abc import Callable
import datetime
import enum

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_limiter
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module

# How long a connection may take to send a request before it gives up its place.
GRACE = datetime.timedelta(milliseconds=250)


class CloseReason(enum.Enum):
    """Why a client's connection was closed, for logs and metrics."""

    TOO_MANY_CONNECTIONS = "too_many_connections"
    TOO_MANY_BYTES = "too_many_bytes"
    LARGE_HEAD = "large_head"
    LATE_HEAD = "late_head"
    NO_REQUEST = "no_request"
    NOT_HTTP = "not_http"
    NOT_READING = "not_reading"


class ClientConnection(abc.ABC):
    """A client's connection, as the table of connections sees it."""

    __slots__ = ()

    @abc.abstractmethod
    def drop(self) -> None:
        """Closes the connection at once, with all that is held for it."""


class ConnectionTable:
    """Bounds connections and the bytes that they hold.

    Args:
        name: Of the listener, for logs and metrics.
        max_connections: Most connections at a time.
        bound_bytes: Most bytes held for all of them, beyond those of requests
            that their handlers account for.
        metrics: Counts connections that were closed.
        clock: Measures time between log lines.

    Attributes:
        max_connections: Most connections at a time.
        bound_bytes: Most bytes held for all of them.
        held_bytes: Bytes held at present.
        on_place: Called when a connection has ended; None if nobody waits.
    """

    __slots__ = (
        "_clock",
        "_closed",
        "_held",
        "_log_limiter",
        "_metrics",
        "_name",
        "_open",
        "_reserved",
        "_waiting",
        "bound_bytes",
        "held_bytes",
        "max_connections",
        "on_place",
    )

    def __init__(
        self,
        *,
        name: str,
        max_connections: int,
        bound_bytes: int,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._name = name
        self._clock = clock
        self._metrics = metrics
        self._log_limiter = log_limiter.LogLimiter(clock=clock)
        self._closed = dict.fromkeys(CloseReason, 0)
        self._open: set[ClientConnection] = set()
        self._reserved = 0
        self.on_place: Callable[[], None] | None = None
        # Both in the order in which connections are dropped: the monotonic time
        # since which each waits, and the bytes held for each.
        self._waiting: dict[ClientConnection, datetime.timedelta] = {}
        self._held: dict[ClientConnection, int] = {}
        self.max_connections = max_connections
        self.bound_bytes = bound_bytes
        self.held_bytes = 0

    @property
    def open_connections(self) -> int:
        """Number of connections."""
        return len(self._open)

    def set_gauges(self) -> None:
        """Sets the gauges to the present state."""
        self._metrics.set(
            "client_connections", len(self._open), listener=self._name
        )
        self._metrics.set(
            "client_held_bytes", self.held_bytes, listener=self._name
        )

    @property
    def has_place(self) -> bool:
        """Tells whether `reserve` would find a place.

        It would not if each connection has a whole request under way, or came
        only just now, and nothing is held for any beside it.
        """
        return not self._is_full or self._most_dispensable() is not None

    def reserve(self) -> None:
        """Reserves a place, for which a connection may be dropped."""
        victim = self._most_dispensable() if self._is_full else None
        if victim is not None:
            self._drop(victim, CloseReason.TOO_MANY_CONNECTIONS)
        self._reserved += 1

    def end_reservation(self) -> None:
        """Gives back a reserved place, which a connection may have taken."""
        self._reserved -= 1

    def admit(self, connection: ClientConnection) -> None:
        """Adds a new connection, for which a place was reserved."""
        self._open.add(connection)
        self._waiting[connection] = self._clock.monotonic()

    @property
    def _is_full(self) -> bool:
        return len(self._open) + self._reserved >= self.max_connections

    def _most_dispensable(self) -> ClientConnection | None:
        latest = self._clock.monotonic() - GRACE
        for connection, since in self._waiting.items():
            if since <= latest:
                return connection
            break
        return next(iter(self._held), None)

    def forget(self, connection: ClientConnection) -> None:
        """Removes a connection; repeated calls do nothing."""
        if connection not in self._open:
            return
        self._open.discard(connection)
        self._waiting.pop(connection, None)
        self.held_bytes -= self._held.pop(connection, 0)
        if self.on_place is not None:
            self.on_place()

    def note_waiting(self, connection: ClientConnection) -> None:
        """Records that a connection waits for a request or the rest of one."""
        if connection in self._open:
            self._waiting.pop(connection, None)
            self._waiting[connection] = self._clock.monotonic()

    def note_busy(self, connection: ClientConnection) -> None:
        """Records that a whole request is under way."""
        self._waiting.pop(connection, None)

    def hold(self, connection: ClientConnection, count: int) -> None:
        """Records what is held for a connection.

        Drops connections, perhaps this one, until the bound is kept.

        Args:
            connection: The connection.
            count: Bytes held for it.
        """
        if connection not in self._open:
            return
        self.held_bytes += count - self._held.get(connection, 0)
        if count:
            self._held[connection] = count
        else:
            self._held.pop(connection, None)
        while self.held_bytes > self.bound_bytes:
            self._drop(next(iter(self._held)), CloseReason.TOO_MANY_BYTES)

    def note_closed(self, reason: CloseReason) -> None:
        """Counts a connection closed for its client's sake; logs some."""
        self._closed[reason] += 1
        self._metrics.add(
            "clients_closed_total", listener=self._name, reason=reason.value
        )
        if self._log_limiter.is_due(reason):
            logs.note(
                "client:closed",
                listener=self._name,
                reason=reason.value,
                closed=self._closed[reason],
                connections=len(self._open),
                held_bytes=self.held_bytes,
            )

    def _drop(self, connection: ClientConnection, reason: CloseReason) -> None:
        self.forget(connection)
        self.note_closed(reason)
        connection.drop()
