"""The TCP server for calls from other instances."""

import asyncio
from collections.abc import Callable
import datetime

import eliot

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import frames
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import serving
from nutmeghook.internal.inner import sockets
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.observe import log_limiter as log_limiter_module

_HELLO_TIMEOUT = datetime.timedelta(seconds=5)
# Longer than the callers' idle timeout, so that the caller closes first and no
# request is sent while the server closes.
_IDLE_TIMEOUT = datetime.timedelta(seconds=150)
_WRITE_TIMEOUT = datetime.timedelta(seconds=10)
_DROPPED = object()


class TcpServer:
    """Accepts connections and runs one task per connection.

    Args:
        clock: Measures time.
        handlers: Answer requests.
        credential: Every peer presents it.
        traffic: Counts bytes.
        max_connections: More are closed at once.
        max_strangers: Connections that have not presented the credential; the
            oldest is closed for one more.
        max_in_flight: Requests of one connection that run at a time.
        tunnels: Serves connections that turn into tunnels; None if none do.
    """

    __slots__ = (
        "_clock",
        "_closing",
        "_connections",
        "_credential",
        "_handlers",
        "_known",
        "_log_limiter",
        "_max_connections",
        "_max_in_flight",
        "_max_strangers",
        "_server",
        "_strangers",
        "_traffic",
        "_tunnels",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        handlers: peers.PeerHandlers,
        credential: str,
        traffic: traffic_module.Traffic,
        max_connections: int = 1024,
        max_strangers: int = 64,
        max_in_flight: int = 64,
        tunnels: peers.ConnectionHandler | None = None,
    ):
        self._max_strangers = max_strangers
        # In the order of their arrival.
        self._strangers: dict[_Connection, None] = {}
        self._known: set[_Connection] = set()
        self._log_limiter = log_limiter_module.LogLimiter(clock=clock)
        self._tunnels = tunnels
        frames.check_credential(credential)
        self._clock = clock
        self._handlers = handlers
        self._credential = credential
        self._traffic = traffic
        self._max_connections = max_connections
        self._max_in_flight = max_in_flight
        self._connections: dict[asyncio.Task, _Connection] = {}
        self._server: asyncio.Server | None = None
        self._closing = False

    async def start(self, *, host: str, port: int) -> str:
        """Listens and returns `ip:port` with the bound port."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        return f"{bound_host}:{bound_port}"

    async def close(self, *, grace: datetime.timedelta) -> None:
        """Refuses new requests; finishes running ones within `grace`."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for connection in self._connections.values():
            connection.stop_reading()
        try:
            await self._clock.wait_for(self._wait_until_empty(), grace)
        except TimeoutError:
            eliot.log_message("inner:close_cut_replies")
            for connection in self._connections.values():
                connection.abort()
            await self._wait_until_empty()

    async def _wait_until_empty(self) -> None:
        if self._connections:
            await asyncio.wait(list(self._connections))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._strangers) >= self._max_strangers:
            oldest = next(iter(self._strangers))
            del self._strangers[oldest]
            oldest.drop()
        if self._closing or len(self._known) >= self._max_connections:
            writer.close()
            return
        connection = _Connection(
            clock=self._clock,
            handlers=self._handlers,
            credential=self._credential,
            traffic=self._traffic,
            max_in_flight=self._max_in_flight,
            tunnels=self._tunnels,
            reader=reader,
            writer=writer,
            log_limiter=self._log_limiter,
            on_authenticated=self._note_known,
        )
        task = asyncio.current_task()
        self._connections[task] = connection
        self._strangers[connection] = None
        try:
            await connection.run()
        finally:
            self._strangers.pop(connection, None)
            self._known.discard(connection)
            del self._connections[task]

    def _note_known(self, connection: "_Connection") -> None:
        if self._strangers.pop(connection, _DROPPED) is not _DROPPED:
            self._known.add(connection)


class _Connection:
    """A caller's connection."""

    __slots__ = (
        "_clock",
        "_credential",
        "_handlers",
        "_log_limiter",
        "_on_authenticated",
        "_reader",
        "_reading",
        "_running",
        "_slots",
        "_traffic",
        "_tunnels",
        "_writer",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        handlers: peers.PeerHandlers,
        credential: str,
        traffic: traffic_module.Traffic,
        max_in_flight: int,
        tunnels: peers.ConnectionHandler | None,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        log_limiter: log_limiter_module.LogLimiter,
        on_authenticated: Callable[["_Connection"], None],
    ):
        self._log_limiter = log_limiter
        self._on_authenticated = on_authenticated
        self._tunnels = tunnels
        self._clock = clock
        self._handlers = handlers
        self._credential = credential
        self._traffic = traffic
        self._slots = asyncio.Semaphore(max_in_flight)
        self._reader = reader
        self._writer = writer
        self._running: set[asyncio.Task] = set()
        self._reading: asyncio.Task | None = None

    def stop_reading(self) -> None:
        """Reads no further request; running ones still get replies."""
        if self._reading is not None:
            self._reading.cancel()

    def drop(self) -> None:
        """Closes the connection at once."""
        self._writer.transport.abort()
        self.stop_reading()

    def abort(self) -> None:
        """Cancels the handlers too; their callers get no replies."""
        self.stop_reading()
        for task in self._running:
            task.cancel()

    async def run(self) -> None:
        """Serves until either side closes or a frame is malformed."""
        sockets.set_options(self._writer)
        self._reading = asyncio.create_task(self._read_requests())
        try:
            await asyncio.wait({self._reading})
            if self._running:
                await asyncio.wait(self._running)
        finally:
            self.abort()
            self._writer.close()

    async def _read_requests(self) -> None:
        try:
            if not await self._authenticate():
                return
            while await self._read_request():
                pass
        except frames.StreamEndedError:
            return
        except TimeoutError:
            self._log("inner:connection_idle")
        # The sender may run another version or be no instance at all. Where its
        # next frame starts is unknown, so the connection is closed; others are
        # not affected.
        except codec.MalformedError as error:
            self._log("inner:malformed", reason=str(error))

    async def _authenticate(self) -> bool:
        first = await self._clock.wait_for(
            frames.read(
                self._reader,
                traffic=self._traffic,
                limit_bytes=frames.MAX_HELLO_BYTES,
            ),
            _HELLO_TIMEOUT,
        )
        if frames.has_credential(first, self._credential):
            self._on_authenticated(self)
            return True
        self._log("inner:credential_refused")
        refusal = ttypes.Failure(
            code_number=codes.Code.BAD_TOKEN.number,
            detail="the inner credential differs; compare the settings",
        )
        await self._write(codec.encode(refusal, sequence=frames.HELLO_SEQUENCE))
        return False

    async def _read_request(self) -> bool:
        """Serves one request; returns whether another may follow."""
        await self._slots.acquire()
        try:
            request = await self._clock.wait_for(
                frames.read(self._reader, traffic=self._traffic),
                _IDLE_TIMEOUT,
            )
        except BaseException:
            self._slots.release()
            raise
        if self._tunnels and isinstance(request.message, ttypes.TunnelOpen):
            await self._tunnels.serve(request, self._reader, self._writer)
            return False
        task = asyncio.create_task(self._handle(request))
        self._running.add(task)
        task.add_done_callback(self._on_request_done)
        return True

    def _on_request_done(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        self._slots.release()

    async def _handle(self, request: codec.Received) -> None:
        reply = await serving.reply_to(request, handlers=self._handlers)
        if request.wants_reply:
            await self._write(reply)

    async def _write(self, reply: codec.Encoded) -> None:
        """Sends a reply; disconnects a caller that does not read.

        Its replies would otherwise stay in this process's memory, up to the
        limit of requests in flight for each such caller.
        """
        try:
            frames.write(self._writer, reply, traffic=self._traffic)
            await self._clock.wait_for(self._writer.drain(), _WRITE_TIMEOUT)
        except (ConnectionError, TimeoutError):
            self._writer.transport.abort()
            self.stop_reading()

    def _log(self, message_type: str, **fields: str) -> None:
        """Logs what anyone who reaches the port can cause, now and then."""
        if self._log_limiter.is_due(message_type):
            peer = str(self._writer.get_extra_info("peername"))
            eliot.log_message(message_type, peer=peer, **fields)
