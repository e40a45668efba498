"""Callers' HTTP connections: aiohttp's parser with the relay's own limits."""

import asyncio
from collections.abc import Callable
import datetime
import socket

from aiohttp import web
import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import socket_options
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import caller_sink
from nutmeghook.internal.relay import held_bytes as held_bytes_module
from nutmeghook.internal.relay import incoming as incoming_module
from nutmeghook.internal.relay import request_relay
from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import model

# How long the rest of a refused body is read, so that the caller gets to read
# the refusal and not a reset.
_LINGERING_S = 0.5
# The parser is set up before the configuration is known; this is what it
# allows at most, and the configuration's own limit is applied afterwards.
_MAX_HEADER_BYTES = 64 * 1024
_MAX_HEADERS = 256
# Connections stay open a little longer than callers are promised, so that a
# request sent just before the close is still read.
_IDLE_SLACK_S = 1.0
_BACKLOG = 1024
# What the system takes for a caller's connection; it books twice as much. It
# would take up to 4 MB otherwise, which counts as this instance's memory, and a
# caller that stopped reading would be noticed only after that. Over a round
# trip of 50 ms it still carries more than 1 MB/s.
_SEND_BUFFER_BYTES = 64 * 1024
# Retry-After of a request that is refused for lack of memory.
_MIN_RETRY_DELAY_S = 0.25
_MAX_RETRY_DELAY_S = 0.75
_RETRY_SHARE_OF_TIME_LEFT = 1 / 3


class CallerConnection(web.RequestHandler):
    """One connection, with a time limit for each request's head.

    aiohttp waits for the rest of a head without limit, and each wait holds a
    file descriptor.

    Attributes:
        on_full: Called when the write buffer is full, before a write waits.
    """

    __slots__ = ("_head_timer", "_limits", "on_full")

    def __init__(
        self,
        *,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: model.CallerLimits,
    ):
        super().__init__(
            server,
            loop=loop,
            access_log=None,
            lingering_time=_LINGERING_S,
            keepalive_timeout=limits.idle_time.total_seconds() + _IDLE_SLACK_S,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            max_headers=_MAX_HEADERS,
            auto_decompress=False,
        )
        self._limits = limits
        self._head_timer: asyncio.TimerHandle | None = None
        self.on_full: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Also bounds the buffers of what is sent."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=caller_sink.WRITE_BUFFER_BYTES)
        socket_options.try_set(
            transport, socket.SOL_SOCKET, "SO_SNDBUF", _SEND_BUFFER_BYTES
        )

    def data_received(self, data: bytes) -> None:
        """Starts the time limit with a head's first byte.

        A body's bytes start none: they may arrive before its request's handler
        has begun, and the limit would cut that request off.
        """
        before = self._request_count
        super().data_received(data)
        if self._request_count > before:
            self._stop_timer()
        elif self._is_idle and self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self._limits.header_time.total_seconds(), self._head_is_late
            )

    def pause_writing(self) -> None:
        """Also reports that the write buffer is full."""
        super().pause_writing()
        if self.on_full is not None:
            self.on_full()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Also cancels the time limit."""
        self._stop_timer()
        super().connection_lost(exc)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way on it."""
        if self._is_idle:
            self.force_close()

    @property
    def _is_idle(self) -> bool:
        """Tells whether the connection waits for a request."""
        waits = self._waiter is not None and not self._waiter.done()
        return waits and not self._messages

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_is_late(self) -> None:
        self._head_timer = None
        logs.note("caller:slow_head", caller=str(self.peername))
        self.force_close()


class CallerListener:
    """The listening socket for callers.

    Attributes:
        address: The `ip:port` listened on; empty before the start.
        closing: Answers close their connections from now on.
        in_flight: Requests being served.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_limits",
        "_metrics",
        "_relay",
        "_server",
        "_socket",
        "_watch",
        "_wire_format",
        "address",
        "closing",
        "in_flight",
    )

    def __init__(
        self,
        *,
        relay: request_relay.RequestRelay,
        wire_format: wire.WireFormat,
        limits: Callable[[], model.CallerLimits],
        held: held_bytes_module.HeldBytes,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._held = held
        self._watch = held_bytes_module.HeldBytesWatch(
            account=held, clock=clock
        )
        self._metrics = metrics
        self._relay = relay
        self._wire_format = wire_format
        self._limits = limits
        self._clock = clock
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._socket: asyncio.Server | None = None
        self.address = ""
        self.closing = False
        self.in_flight = 0

    async def start(self, *, host: str, port: int) -> None:
        """Starts to listen; port 0 lets the system choose one."""
        loop = asyncio.get_running_loop()
        self._socket = await loop.create_server(
            lambda: CallerConnection(
                server=self._server, loop=loop, limits=self._limits()
            ),
            host,
            port,
            backlog=_BACKLOG,
            reuse_address=True,
        )
        own_host, own_port = self._socket.sockets[0].getsockname()[:2]
        self.address = f"{own_host}:{own_port}"

    def stop_accepting(self) -> None:
        """Accepts no new requests; those under way are completed.

        A request that arrives after the close was not read, so its caller may
        send it elsewhere, even if it may run only once.
        """
        if self._socket is not None:
            self._socket.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections on which no request is under way."""
        for connection in self._server.connections:
            connection.close_if_idle()

    @property
    def open_connections(self) -> int:
        """Number of callers' open connections.

        After `stop_accepting` this counts the requests under way. A count of
        handlers would miss a request that was read and whose handler has not
        begun, and the stop would cut it off 0.2 s later.
        """
        return len(self._server.connections)

    async def stop(self) -> None:
        """Closes all connections."""
        self.stop_accepting()
        await self._server.shutdown(timeout=0.1)
        self._watch.stop()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        sink = caller_sink.CallerSink(
            request=request,
            account=self._held,
            watch=self._watch,
            closing=lambda: self.closing,
        )
        self.in_flight += 1
        try:
            await self._serve(request, sink)
        finally:
            self.in_flight -= 1
            sink.close()
        if sink.response is None:
            raise ConnectionResetError("no answer was begun")
        if self.closing:
            sink.response.force_close()
        return sink.response

    async def _serve(
        self, request: web.BaseRequest, sink: caller_sink.CallerSink
    ) -> None:
        arrived_at = self._clock.monotonic()
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.raw_headers
        ]
        try:
            facts = self._wire_format.read_caller(headers)
        except ValueError as error:
            await sink.refuse(wire.FixedResponse.BAD_REQUEST, detail=str(error))
            return
        sink.held.request_id = facts.request_id
        if not self._held.make_room(caller_sink.WRITE_BUFFER_BYTES):
            await self._refuse_for_memory(sink, facts)
            return
        body = await self._read_body(request, sink, facts)
        if body is None:
            return
        await self._relay.serve(
            incoming_module.Incoming(
                method=request.method,
                target=request.raw_path,
                host=request.headers.get("Host", ""),
                facts=facts,
                body=body,
                arrived_at=arrived_at,
                held=sink.held,
            ),
            sink,
        )

    async def _read_body(
        self,
        request: web.BaseRequest,
        sink: caller_sink.CallerSink,
        facts: wire.CallerFacts,
    ) -> bytes | None:
        """Returns the body, or None once the request was refused."""
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        pieces = []
        left_bytes = self._limits().body_bytes
        while piece := await request.content.readany():
            pieces.append(piece)
            left_bytes -= len(piece)
            if left_bytes < 0:
                await sink.refuse(
                    wire.FixedResponse.TOO_LARGE,
                    detail="the body is too large",
                )
                return None
            if not sink.held.try_hold_body(len(piece)):
                await self._refuse_for_memory(sink, facts)
                return None
        return b"".join(pieces)

    async def _refuse_for_memory(
        self, sink: caller_sink.CallerSink, facts: wire.CallerFacts
    ) -> None:
        """Refuses a request for which no bytes may be held.

        Nothing of it was sent to a replica, so it was truly not run.
        """
        logs.note(
            "request:no_memory",
            request=facts.request_id,
            held_bytes=self._held.total_bytes,
            bound_bytes=self._held.bound_bytes,
        )
        self._metrics.add("no_memory_total")
        await sink.refuse(
            wire.FixedResponse.NOT_RUN,
            detail="the memory for requests is used up",
            retry_after=_retry_delay(facts),
        )


def _retry_delay(facts: wire.CallerFacts) -> datetime.timedelta:
    """Returns a Retry-After that differs among callers.

    Callers wait for a third of their remaining time at most.
    """
    point = xxhash.xxh64_intdigest(facts.request_id.encode()) / 2.0**64
    span = _MAX_RETRY_DELAY_S - _MIN_RETRY_DELAY_S
    delay = datetime.timedelta(seconds=_MIN_RETRY_DELAY_S + point * span)
    if facts.time_left is None:
        return delay
    return min(delay, facts.time_left * _RETRY_SHARE_OF_TIME_LEFT)
