"""HTTP connections of clients, with bounds on all that a client may send."""

import asyncio
from collections.abc import Callable
import datetime
import socket

from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web_protocol
from aiohttp import web_server
import msgspec

from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.clients import reading_lane
from nutmeghook.internal.foundation import answer_limits
from nutmeghook.internal.foundation import socket_options

_Reason = connection_table.CloseReason

# The parser holds up to twice as many bytes of a body that is not read.
READ_BUFFER_BYTES = 16 * 1024
# How long the rest of a refused body is read, so that the client gets to read
# the refusal and not a reset.
LINGERING_S = 0.5
# The parser is set up with these; `HttpLimits` may change later.
_MAX_FIELD_BYTES = 64 * 1024
_MAX_FIELDS = 256
# Less than this of a head or a body is not worth counting.
_UNCOUNTED_BYTES = 2 * 1024
# The objects of a parsed head, of one of its fields and of a piece of a body,
# beside their bytes.
_HEAD_OBJECTS_BYTES = 4 * 1024
_FIELD_OBJECTS_BYTES = 512
_PIECE_OBJECTS_BYTES = 96
# What is left unsent of a closed connection is given this long.
_CLOSE_TIME_S = 2.0
# Slices of which more than this share is framing take turns.
_MOST_FRAMING = 1 / 8
_LEAST_SUSPENDED_BYTES = 1024
_HEAD_TOO_LARGE_STATUS = 431


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on a client's connection.

    Attributes:
        head_bytes: The largest head of a request, with the empty lines before.
        header_time: How long a head may take from its first byte.
        idle_time: How long a connection may wait for a request.
        write_time: How long a client may read nothing of what is unsent; None
            if the handler sees to it.
        receive_buffer_bytes: What the system holds of unread bytes.
        send_buffer_bytes: What the system holds of unsent bytes.
    """

    head_bytes: int
    header_time: datetime.timedelta
    idle_time: datetime.timedelta
    write_time: datetime.timedelta | None = datetime.timedelta(seconds=10)
    receive_buffer_bytes: int = 64 * 1024
    send_buffer_bytes: int = 64 * 1024


class HttpConnection(
    web_protocol.RequestHandler,
    connection_table.ClientConnection,
    reading_lane.LaneMember,
):
    """A connection whose client may send anything.

    aiohttp bounds each header field, and the buffer of a body that is read. It
    bounds neither a whole head nor what comes between requests, and counts
    nothing.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_head_lines",
        "_head_timer",
        "_is_in_body",
        "_is_refused",
        "_is_suspended",
        "_lane",
        "_limits",
        "_link",
        "_table",
        "_unproductive_bytes",
        "_unsent_bytes",
        "_write_timer",
    )

    def __init__(
        self,
        *,
        server: web_server.Server,
        loop: asyncio.AbstractEventLoop,
        limits: Callable[[], HttpLimits],
        table: connection_table.ConnectionTable,
        lane: reading_lane.ReadingLane,
        auto_decompress: bool = True,
    ):
        super().__init__(
            server,
            loop=loop,
            access_log=None,
            lingering_time=LINGERING_S,
            keepalive_timeout=limits().idle_time.total_seconds(),
            max_line_size=_MAX_FIELD_BYTES,
            max_field_size=_MAX_FIELD_BYTES,
            max_headers=_MAX_FIELDS,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=auto_decompress,
        )
        self._limits = limits
        self._table = table
        self._lane = lane
        self._link: asyncio.Transport | None = None
        self._body: streams.StreamReader = streams.EMPTY_PAYLOAD
        self._is_in_body = False
        self._body_bytes = 0
        # Received without a new request, or more of a body.
        self._unproductive_bytes = 0
        # Lines of a head that is not complete.
        self._head_lines = 0
        self._unsent_bytes = 0
        self._is_refused = False
        self._is_suspended = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        # Of requests behind the one that is handled.
        self._max_msg_queue_size = 2
        self._msg_queue_resume_size = 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a place in the table, and bounds the system's buffers."""
        self._link = transport
        super().connection_made(transport)
        limits = self._limits()
        for name, count in (
            ("SO_RCVBUF", limits.receive_buffer_bytes),
            ("SO_SNDBUF", limits.send_buffer_bytes),
        ):
            socket_options.try_set(transport, socket.SOL_SOCKET, name, count)
        self._table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives the place back."""
        self._table.forget(self)
        self._stop_head_timer()
        self._stop_write_timer()
        super().connection_lost(exc)

    def drop(self) -> None:
        """Closes the connection at once, with all that is held for it."""
        self._is_refused = True
        super().force_close()
        self._link.abort()

    def force_close(self) -> None:
        """Closes the connection once what is unsent was sent, or soon."""
        super().force_close()
        if self._link is not None and self._link.get_write_buffer_size():
            self._loop.call_later(_CLOSE_TIME_S, self._link.abort)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way on it."""
        if self._is_idle:
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """Parses bytes, and refuses those that bring no request further."""
        if self._is_refused:
            self._count_unproductive(len(data))
            return
        known = self._request_count
        super().data_received(data)
        if self._parser is None or self._is_refused:
            return
        new = self._request_count - known
        if new:
            self._take_requests(new, len(data))
        elif self._is_in_body:
            self._take_part_of_body(len(data))
        else:
            self._take_part_of_head(data)
        self._update_held()

    def pause_writing(self) -> None:
        """Gives the client a time to read some of what is unsent."""
        super().pause_writing()
        if self._limits().write_time is not None:
            self._unsent_bytes = self._link.get_write_buffer_size()
            self._update_held()
            self._start_write_timer()

    def resume_writing(self) -> None:
        """Stops that time."""
        super().resume_writing()
        self._stop_write_timer()
        if self._unsent_bytes:
            self._unsent_bytes = 0
            self._update_held()

    def suspend_reading(self) -> None:
        """Reads nothing until `continue_reading`."""
        self._is_suspended = True
        self._pause_transport_reading()

    def continue_reading(self) -> None:
        """Reads the next slice, unless it is paused for another reason."""
        self._is_suspended = False
        if not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def log_exception(self, *args: object, **options: object) -> None:
        """Counts a client's fault, which aiohttp logs with a trace."""
        error = options.get("exc_info")
        if not isinstance(error, http_exceptions.HttpProcessingError):
            super().log_exception(*args, **options)
        elif error.code == _HEAD_TOO_LARGE_STATUS:
            self._table.note_closed(_Reason.LARGE_HEAD)
        else:
            self._table.note_closed(_Reason.NOT_HTTP)

    async def _handle_request(self, *parts: object) -> object:
        """Handles a request, and has the connection wait for the next one."""
        try:
            return await super()._handle_request(*parts)
        finally:
            self._table.note_waiting(self)
            self._update_held()

    def _resume_transport_reading(self) -> None:
        if not self._is_suspended:
            super()._resume_transport_reading()

    @property
    def _is_idle(self) -> bool:
        """Tells whether the connection waits for a request."""
        waits = self._waiter is not None and not self._waiter.done()
        return waits and not self._messages

    @property
    def _awaits_head(self) -> bool:
        """Tells whether bytes that come now begin or continue a head.

        The first ones may come before the task that waits for requests runs.
        """
        return self._is_idle or not self._request_count

    def _take_requests(self, count: int, received_bytes: int) -> None:
        """Takes new requests, the last of them perhaps without its body."""
        most_bytes = self._unproductive_bytes + received_bytes
        self._unproductive_bytes = 0
        self._head_lines = 0
        self._stop_head_timer()
        if most_bytes > self._limits().head_bytes:
            self._refuse_large_heads(count)
        message, self._body = self._messages[-1]
        self._body_bytes = self._body.total_bytes
        self._is_in_body = not self._body.is_eof()
        # The parser can't go on after an error.
        self._is_refused = isinstance(message, web_protocol._ErrInfo)
        if not self._is_in_body:
            self._table.note_busy(self)

    def _refuse_large_heads(self, count: int) -> None:
        """Refuses the first of the last requests whose head is too large."""
        for index in range(-count, 0):
            message, _ = self._messages[index]
            if (
                isinstance(message, http_parser.RawRequestMessage)
                and _head_bytes(message) > self._limits().head_bytes
            ):
                for _ in range(index, 0):
                    self._messages.pop()
                self._refuse()
                return

    def _take_part_of_head(self, data: bytes) -> None:
        self._unproductive_bytes += len(data)
        self._head_lines += data.count(b"\n")
        if self._unproductive_bytes > self._limits().head_bytes:
            if self._is_idle:
                self._refuse()
            else:
                self._table.note_closed(_Reason.LARGE_HEAD)
                self.drop()
        elif data and self._awaits_head and self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self._limits().header_time.total_seconds(), self._head_is_late
            )

    def _take_part_of_body(self, received_bytes: int) -> None:
        grown_bytes = self._body.total_bytes - self._body_bytes
        self._body_bytes += grown_bytes
        if self._body.is_eof():
            self._is_in_body = False
            self._unproductive_bytes = 0
            self._table.note_busy(self)
            return
        if grown_bytes:
            self._unproductive_bytes = 0
        elif not self._reading_paused:
            self._count_unproductive(received_bytes)
        framing_bytes = received_bytes - grown_bytes
        if (
            received_bytes >= _LEAST_SUSPENDED_BYTES
            and framing_bytes > received_bytes * _MOST_FRAMING
            and not self._is_refused
        ):
            self._lane.add(self)

    def _refuse(self) -> None:
        """Queues an answer to a head that is too large."""
        self._is_refused = True
        reason = "the head is too large"
        error = web_protocol._ErrInfo(
            status=_HEAD_TOO_LARGE_STATUS,
            exc=http_exceptions.HttpProcessingError(
                code=_HEAD_TOO_LARGE_STATUS, message=reason
            ),
            message=reason,
        )
        self._request_count += 1
        self._messages.append((error, streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _count_unproductive(self, received_bytes: int) -> None:
        """Drops a connection that goes on without end."""
        self._unproductive_bytes += received_bytes
        if self._unproductive_bytes > answer_limits.MAX_FRAMING_BYTES:
            self._table.note_closed(_Reason.NO_REQUEST)
            self.drop()

    def _update_held(self) -> None:
        """Counts what is held beside what the handler has taken."""
        behind = len(self._messages) - (self._current_request is None)
        held = self._unsent_bytes + max(0, behind) * _HEAD_OBJECTS_BYTES
        parts = self._unproductive_bytes
        parts += self._head_lines * _FIELD_OBJECTS_BYTES
        if self._body is not streams.EMPTY_PAYLOAD:
            parts += self._body._size
            parts += len(self._body._buffer) * _PIECE_OBJECTS_BYTES
        if parts > _UNCOUNTED_BYTES:
            held += parts
        if behind > 0 or self._is_suspended:
            held += self._limits().receive_buffer_bytes
        self._table.hold(self, held)

    def _start_write_timer(self) -> None:
        self._stop_write_timer()
        self._write_timer = self._loop.call_later(
            self._limits().write_time.total_seconds(), self._check_write
        )

    def _check_write(self) -> None:
        """Drops a connection whose client has read nothing."""
        left_bytes = self._link.get_write_buffer_size()
        if left_bytes >= self._unsent_bytes:
            self._table.note_closed(_Reason.NOT_READING)
            self.drop()
            return
        self._unsent_bytes = left_bytes
        self._update_held()
        self._start_write_timer()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def _head_is_late(self) -> None:
        self._head_timer = None
        self._table.note_closed(_Reason.LATE_HEAD)
        self.force_close()


def _head_bytes(message: http_parser.RawRequestMessage) -> int:
    """Returns the size of a request's head as it was received, nearly."""
    fields = sum(
        len(name) + len(value) + _FIELD_FRAMING_BYTES
        for name, value in message.raw_headers
    )
    return fields + len(message.method) + len(message.path) + _LINE_BYTES


# Two spaces, the protocol's version and the ends of two lines.
_LINE_BYTES = len("  HTTP/1.1\r\n\r\n")
_FIELD_FRAMING_BYTES = len(": \r\n")
