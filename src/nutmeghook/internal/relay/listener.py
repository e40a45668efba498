"""Callers' HTTP connections: aiohttp's parser with the relay's own limits."""

import asyncio
from collections.abc import Callable
import datetime

from aiohttp import web

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
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


class CallerConnection(web.RequestHandler):
    """One connection, with a time limit for each request's head.

    aiohttp waits for the rest of a head without limit, and each wait holds a
    file descriptor.
    """

    __slots__ = ("_head_timer", "_limits")

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


class StreamedAnswer(web.StreamResponse):
    """An answer that keeps the replica's headers as they are."""

    async def _prepare_headers(self) -> None:
        # aiohttp adds a content type where the replica sent none.
        had_type = "Content-Type" in self.headers
        await super()._prepare_headers()
        if not had_type:
            self.headers.pop("Content-Type", None)


class CallerSink(incoming_module.AnswerSink):
    """Writes one answer to a caller's connection."""

    __slots__ = ("_closing", "_request", "_response", "status")

    def __init__(
        self, *, request: web.BaseRequest, closing: Callable[[], bool]
    ):
        self._request = request
        self._closing = closing
        self._response: StreamedAnswer | None = None
        self.status = 0

    @property
    def begun(self) -> bool:
        """Tells whether the caller was sent anything."""
        return self._response is not None

    async def send_whole(
        self, status: int, headers: wire.Headers, body: bytes
    ) -> None:
        """Sends a whole answer."""
        response = self._new_response(status, headers)
        response.content_length = len(body)
        await response.prepare(self._request)
        if body:
            await response.write(body)
        await response.write_eof()

    async def begin(self, status: int, headers: wire.Headers) -> None:
        """Sends the head of an answer of unknown length."""
        response = self._new_response(status, headers)
        response.enable_chunked_encoding()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        await self._response.write(data)

    async def end(self) -> None:
        """Ends the body as complete."""
        await self._response.write_eof()

    def cut(self) -> None:
        """Closes the connection so that the answer can't look complete."""
        transport = self._request.transport
        if transport is not None:
            transport.close()

    async def refuse(
        self,
        response: wire.FixedResponse,
        *,
        detail: str,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        """Sends a refusal or failure of the relay itself."""
        headers = [("Content-Type", "text/plain; charset=utf-8")]
        if retry_after is not None:
            seconds = f"{retry_after.total_seconds():.3f}"
            headers.append(("Retry-After", seconds))
        await self.send_whole(response.value, headers, f"{detail}\n".encode())

    @property
    def response(self) -> web.StreamResponse | None:
        """The response for aiohttp to finish; None if nothing was sent."""
        return self._response

    def _new_response(
        self, status: int, headers: wire.Headers
    ) -> StreamedAnswer:
        response = StreamedAnswer(status=status)
        for name, value in headers:
            response.headers.add(name, value)
        if self._closing():
            response.force_close()
        self._response = response
        self.status = status
        return response


class CallerListener:
    """The listening socket for callers.

    Attributes:
        address: The `ip:port` listened on; empty before the start.
        closing: Answers close their connections from now on.
        in_flight: Requests being served.
    """

    __slots__ = (
        "_clock",
        "_limits",
        "_relay",
        "_server",
        "_socket",
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
        clock: clock_module.Clock,
    ):
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

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        sink = CallerSink(request=request, closing=lambda: self.closing)
        self.in_flight += 1
        try:
            await self._serve(request, sink)
        finally:
            self.in_flight -= 1
        if sink.response is None:
            raise ConnectionResetError("no answer was begun")
        if self.closing:
            sink.response.force_close()
        return sink.response

    async def _serve(self, request: web.BaseRequest, sink: CallerSink) -> None:
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
        body = await self._read_body(request, sink)
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
            ),
            sink,
        )

    async def _read_body(
        self, request: web.BaseRequest, sink: CallerSink
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
        return b"".join(pieces)
