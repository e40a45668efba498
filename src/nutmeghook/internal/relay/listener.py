"""Callers' HTTP connections: aiohttp's parser with the relay's own limits."""

import asyncio
from collections.abc import Callable
import datetime
import io

from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server
import xxhash

from nutmeghook.internal.clients import acceptor
from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.clients import http_connection
from nutmeghook.internal.clients import reading_lane
from nutmeghook.internal.clients import sliced_reads
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import caller_sink
from nutmeghook.internal.relay import held_bytes as held_bytes_module
from nutmeghook.internal.relay import incoming as incoming_module
from nutmeghook.internal.relay import planned_stop
from nutmeghook.internal.relay import request_relay
from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import model

# Connections stay open a little longer than callers are promised, so that a
# request sent just before the close is still read.
_IDLE_SLACK = datetime.timedelta(seconds=1)
# What the system takes for a caller's unread bytes; it books twice as much.
_RECEIVE_BUFFER_BYTES = 64 * 1024
# What the system takes for a caller's connection; it books twice as much. It
# would take up to 4 MB otherwise, which counts as this instance's memory, and a
# caller that stopped reading would be noticed only after that. Over a round
# trip of 50 ms it still carries more than 1 MB/s.
_SEND_BUFFER_BYTES = 64 * 1024
# Of a request without a deadline.
_BODY_TIME = datetime.timedelta(seconds=60)
# A head as bytes and text, as received and as forwarded.
_HEAD_COPIES = 4
_FIELD_OBJECTS_BYTES = 512
_PART_OBJECTS_BYTES = 192
# Retry-After of a request that is refused for lack of memory.
_MIN_RETRY_DELAY_S = 0.25
_MAX_RETRY_DELAY_S = 0.75
_RETRY_SHARE_OF_TIME_LEFT = 1 / 3


class CallerConnection(http_connection.HttpConnection):
    """One caller's connection.

    Attributes:
        on_full: Called when the write buffer is full, before a write waits.
    """

    __slots__ = ("on_full",)

    def __init__(
        self,
        *,
        server: web_server.Server,
        loop: asyncio.AbstractEventLoop,
        limits: Callable[[], http_connection.HttpLimits],
        table: connection_table.ConnectionTable,
        lane: reading_lane.ReadingLane,
    ):
        super().__init__(
            server=server,
            loop=loop,
            limits=limits,
            table=table,
            lane=lane,
            auto_decompress=False,
        )
        self.on_full: Callable[[], None] | None = None

    @property
    def has_queued(self) -> bool:
        """Tells whether another request was read behind the present one."""
        return bool(self._messages)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Also bounds the write buffer."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=caller_sink.WRITE_BUFFER_BYTES)

    def pause_writing(self) -> None:
        """Also reports that the write buffer is full."""
        super().pause_writing()
        if self.on_full is not None:
            self.on_full()


class CallerListener:
    """The listening socket for callers.

    Attributes:
        address: The `ip:port` listened on; empty before the start.
    """

    __slots__ = (
        "_acceptor",
        "_clock",
        "_connections",
        "_held",
        "_known_http_limits",
        "_known_limits",
        "_lane",
        "_limits",
        "_metrics",
        "_relay",
        "_server",
        "_stop",
        "_under_way",
        "_watch",
        "_wire_format",
        "address",
    )

    def __init__(
        self,
        *,
        relay: request_relay.RequestRelay,
        wire_format: wire.WireFormat,
        limits: Callable[[], model.CallerLimits],
        held: held_bytes_module.HeldBytes,
        connections: connection_table.ConnectionTable,
        stop: planned_stop.PlannedStop,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._connections = connections
        self._lane: reading_lane.ReadingLane | None = None
        self._held = held
        self._watch = held_bytes_module.HeldBytesWatch(
            account=held, clock=clock
        )
        self._metrics = metrics
        self._relay = relay
        self._stop = stop
        # The tasks of requests being served.
        self._under_way: set[asyncio.Task[None]] = set()
        self._wire_format = wire_format
        self._limits = limits
        self._known_limits = model.CallerLimits()
        self._known_http_limits = _http_limits(self._known_limits)
        self._clock = clock
        self._server = web_server.Server(
            self._handle, handler_cancellation=True
        )
        self._acceptor = acceptor.Acceptor(
            table=connections,
            protocol=lambda: sliced_reads.SlicedReads(
                protocol=self.new_connection()
            ),
        )
        self.address = ""

    async def start(self, *, host: str, port: int) -> None:
        """Starts to listen; port 0 lets the system choose one."""
        loop = asyncio.get_running_loop()
        self._lane = reading_lane.ReadingLane(loop=loop)
        self._acceptor.start(
            host=host, port=port, receive_buffer_bytes=_RECEIVE_BUFFER_BYTES
        )
        self.address = self._acceptor.address

    def new_connection(self) -> CallerConnection:
        """Returns the protocol of a new connection."""
        return CallerConnection(
            server=self._server,
            loop=asyncio.get_running_loop(),
            limits=self._http_limits,
            table=self._connections,
            lane=self._lane,
        )

    def _http_limits(self) -> http_connection.HttpLimits:
        """Returns the limits in force; each request asks for them."""
        limits = self._limits()
        if limits is not self._known_limits:
            self._known_limits = limits
            self._known_http_limits = _http_limits(limits)
        return self._known_http_limits

    def begin_stop(self, *, ends_at: datetime.timedelta) -> None:
        """Has each answer close its connection from now on.

        Args:
            ends_at: Monotonic time at which requests under way are ended.
        """
        self._stop.ends_at = ends_at

    def stop_accepting(self) -> None:
        """Accepts no new requests; those under way are completed.

        A request that arrives after the close was not read, so its caller may
        send it elsewhere, even if it may run only once. One whose body has not
        come whole is refused: there may be no time left for it when it has.
        """
        self._stop.is_closed = True
        self._acceptor.close()
        self.close_idle()
        self._held.refuse_arriving()

    def end_requests(self) -> None:
        """Ends the requests under way, with a final status where possible."""
        self._stop.has_ended = True
        for task in self._under_way:
            task.cancel()

    @property
    def in_flight(self) -> int:
        """Requests being served."""
        return len(self._under_way)

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

    async def _handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        sink = caller_sink.CallerSink(
            request=request,
            account=self._held,
            watch=self._watch,
            closing=lambda: self._is_last(request),
        )
        task = asyncio.current_task()
        self._under_way.add(task)
        try:
            await self._serve(request, sink)
        finally:
            self._under_way.discard(task)
            sink.close()
        if sink.response is None:
            raise ConnectionResetError("no answer was begun")
        if self._is_last(request):
            sink.response.force_close()
        return sink.response

    def _is_last(self, request: web_request.BaseRequest) -> bool:
        """Tells whether an answer begun now closes its connection.

        Not before another request that was read, which would get no answer.
        """
        return (
            self._stop.ends_at is not None and not request.protocol.has_queued
        )

    async def _serve(
        self, request: web_request.BaseRequest, sink: caller_sink.CallerSink
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
        if not (
            self._held.make_room(caller_sink.WRITE_BUFFER_BYTES)
            and sink.held.try_hold_head(_head_cost_bytes(request, facts))
        ):
            await self._refuse_for_memory(sink, facts)
            return
        body = await self._read_body(request, sink, facts, arrived_at)
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
        request: web_request.BaseRequest,
        sink: caller_sink.CallerSink,
        facts: wire.CallerFacts,
        arrived_at: datetime.timedelta,
    ) -> bytes | None:
        """Returns the body, or None once the request was refused."""
        content = request.content
        if self._stop.is_closed and not content.is_eof():
            await self._refuse_for_stop(sink, facts)
            return None
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if content.is_eof():
            return await self._collect(request, sink, facts)
        deadline = arrived_at + (facts.time_left or _BODY_TIME)
        refusal = _SlowBodyError("the body has not come in time")
        with sink.held.arriving(
            deadline=deadline,
            refuse=lambda: content.set_exception(refusal),
        ):
            self._watch.ensure()
            try:
                return await self._collect(request, sink, facts)
            except _SlowBodyError as error:
                if self._stop.is_closed:
                    await self._refuse_for_stop(sink, facts)
                    return None
                await sink.refuse(
                    wire.FixedResponse.SLOW_SENDER, detail=str(error)
                )
                return None

    async def _collect(
        self,
        request: web_request.BaseRequest,
        sink: caller_sink.CallerSink,
        facts: wire.CallerFacts,
    ) -> bytes | None:
        """Reads the body; returns it, or None once the request was refused."""
        # Pieces may be as small as a byte, and their objects are larger.
        body = io.BytesIO()
        left_bytes = self._limits().body_bytes
        content = request.content
        while True:
            piece = await content.readany()
            # A read that had ended before the body was refused does not raise.
            if (refusal := content.exception()) is not None:
                raise refusal
            if not piece:
                return body.getvalue()
            body.write(piece)
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

    async def _refuse_for_stop(
        self, sink: caller_sink.CallerSink, facts: wire.CallerFacts
    ) -> None:
        """Refuses a request whose body has not come before the close."""
        logs.note("request:incomplete_at_stop", request=facts.request_id)
        await sink.refuse(
            wire.FixedResponse.NOT_RUN,
            detail="this instance stops",
            retry_after=planned_stop.RETRY_AFTER,
        )

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


def _http_limits(limits: model.CallerLimits) -> http_connection.HttpLimits:
    return http_connection.HttpLimits(
        head_bytes=limits.header_bytes,
        header_time=limits.header_time,
        idle_time=limits.idle_time + _IDLE_SLACK,
        write_time=None,
        receive_buffer_bytes=_RECEIVE_BUFFER_BYTES,
        send_buffer_bytes=_SEND_BUFFER_BYTES,
    )


class _SlowBodyError(TimeoutError):
    """A body was not complete in time, or gave up its room to others."""


def _head_cost_bytes(
    request: web_request.BaseRequest, facts: wire.CallerFacts
) -> int:
    """Returns what a head and the objects made of it take, nearly."""
    head_bytes = sum(
        len(name) + len(value) for name, value in request.raw_headers
    )
    parts = len(facts.prompt.parts) if facts.prompt else 0
    return (
        _HEAD_COPIES * (head_bytes + len(request.raw_path))
        + _FIELD_OBJECTS_BYTES * len(request.raw_headers)
        + _PART_OBJECTS_BYTES * parts
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
