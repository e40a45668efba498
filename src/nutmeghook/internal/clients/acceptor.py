"""Accepts connections of clients while there are places for them.

The event loop's own server accepts all that wait at once. Where there are more
than places, each would be closed for the next one before anything of it was
read, an ordinary client's among them. Here they wait in the system's queue, and
come in their order.
"""

import asyncio
from collections.abc import Callable
import socket

from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.observe import logs

# Accepted in one turn of the event loop.
_BATCH = 64
# Connections that wait in the system's queue may send, too: together as much as
# half of what may be held for connections.
_MAX_WAITING = 1024
_MIN_WAITING = 8
_WAITING_BYTES_SHARE = 1 / 2
# The system has no descriptor or memory for a further connection.
_SYSTEM_PAUSE_S = 0.1


class Acceptor:
    """A listening socket.

    Args:
        table: Has places for connections.
        protocol: Returns the protocol of a new connection, which asks the table
            for its place.

    Attributes:
        address: The `ip:port` listened on; empty before the start.
    """

    __slots__ = (
        "_connecting",
        "_is_failing",
        "_is_paused",
        "_loop",
        "_protocol",
        "_socket",
        "_table",
        "_timer",
        "address",
    )

    def __init__(
        self,
        *,
        table: connection_table.ConnectionTable,
        protocol: Callable[[], asyncio.BaseProtocol],
    ):
        self._table = table
        self._protocol = protocol
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_paused = False
        self._is_failing = False
        self._connecting: set[asyncio.Task[None]] = set()
        self.address = ""

    def start(self, *, host: str, port: int, receive_buffer_bytes: int) -> None:
        """Listens; port 0 lets the system choose one.

        Args:
            host: An IP address of this machine.
            port: The port.
            receive_buffer_bytes: What the system holds of unread bytes of a
                connection, also before it is accepted.

        Raises:
            OSError: The address can't be listened on.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        waiting_bytes = int(self._table.bound_bytes * _WAITING_BYTES_SHARE)
        backlog = min(_MAX_WAITING, waiting_bytes // receive_buffer_bytes)
        self._loop = asyncio.get_running_loop()
        self._socket = socket.create_server(
            (host, port), family=family, backlog=max(_MIN_WAITING, backlog)
        )
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
        self._socket.setblocking(False)
        own_host, own_port = self._socket.getsockname()[:2]
        self.address = f"{own_host}:{own_port}"
        self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Accepts no more; repeated calls do nothing."""
        if self._socket is None:
            return
        self._stop_timer()
        if not self._is_paused:
            self._loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def _accept(self) -> None:
        for _ in range(_BATCH):
            if not self._table.has_place:
                self._pause(connection_table.GRACE.total_seconds())
                return
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                if not self._is_failing:
                    logs.note("client:not_accepted", error=str(error))
                self._is_failing = True
                self._pause(_SYSTEM_PAUSE_S)
                return
            self._is_failing = False
            self._table.reserve()
            connection.setblocking(False)
            task = self._loop.create_task(self._connect(connection))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol, connection)
        except OSError:  # the client has reset it
            connection.close()
        finally:
            self._table.end_reservation()

    def _pause(self, pause_s: float) -> None:
        """Accepts nothing until a place is free, or some time has passed."""
        self._is_paused = True
        self._loop.remove_reader(self._socket)
        self._timer = self._loop.call_later(pause_s, self._resume)
        self._table.on_place = self._resume

    def _resume(self) -> None:
        self._table.on_place = None
        self._stop_timer()
        if self._socket is not None and self._is_paused:
            self._is_paused = False
            self._loop.add_reader(self._socket, self._accept)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
