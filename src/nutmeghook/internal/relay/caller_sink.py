"""Writes answers to callers' connections, as fast as the callers read."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

from aiohttp import web_request
from aiohttp import web_response

from nutmeghook.internal.foundation import socket_options
from nutmeghook.internal.relay import held_bytes as held_bytes_module
from nutmeghook.internal.relay import incoming as incoming_module
from nutmeghook.internal.relay import request_bytes
from nutmeghook.internal.relay import wire

# Above this many unsent bytes of an answer, writes wait for the caller. Events
# have some hundred bytes, so it holds what a stream sends in a second or more.
WRITE_BUFFER_BYTES = 16 * 1024
# What is left of an answer that is cut is given this long to be sent. The
# connection of a caller that does not read would otherwise never be closed.
_CUT_LINGERING_S = 0.5


class StreamedAnswer(web_response.StreamResponse):
    """An answer that keeps the replica's headers as they are."""

    async def _prepare_headers(self) -> None:
        # aiohttp adds a content type where the replica sent none.
        had_type = "Content-Type" in self.headers
        await super()._prepare_headers()
        if not had_type:
            self.headers.pop("Content-Type", None)


class CallerSink(incoming_module.AnswerSink):
    """Writes one answer to a caller's connection.

    Attributes:
        held: The bytes held for the request.
    """

    __slots__ = (
        "_closing",
        "_request",
        "_response",
        "_watch",
        "held",
        "status",
    )

    def __init__(
        self,
        *,
        request: web_request.BaseRequest,
        account: held_bytes_module.HeldBytes,
        watch: held_bytes_module.HeldBytesWatch,
        closing: Callable[[], bool],
    ):
        self._request = request
        self._watch = watch
        self._closing = closing
        self._response: StreamedAnswer | None = None
        self.held = account.begin(
            measure_writes=self._progress, cut=self._abort
        )
        request.protocol.on_full = self._note_unsent
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
        self.held.note_write()
        await response.prepare(self._request)
        if len(body) > WRITE_BUFFER_BYTES:
            # Sent together with its head, a body would be copied.
            self._request.writer.send_headers()
        if body:
            await self._drain_after(response.write(body))
        await self._finish(response)

    async def begin(self, status: int, headers: wire.Headers) -> None:
        """Sends the head of an answer of unknown length."""
        response = self._new_response(status, headers)
        response.enable_chunked_encoding()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        self.held.note_write()
        await self._drain_after(self._response.write(data))

    async def end(self) -> None:
        """Ends the body as complete."""
        self.held.note_write()
        await self._finish(self._response)

    def cut(self) -> None:
        """Closes the connection so that the answer can't look complete."""
        transport = self._request.transport
        if transport is not None:
            transport.close()
            asyncio.get_running_loop().call_later(
                _CUT_LINGERING_S, transport.abort
            )

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

    def close(self) -> None:
        """Ends the account of the request."""
        self._request.protocol.on_full = None
        self.held.end()

    @property
    def response(self) -> web_response.StreamResponse | None:
        """The response for aiohttp to finish; None if nothing was sent."""
        return self._response

    async def _drain_after(self, write: Awaitable[None]) -> None:
        """Writes, and waits while the write buffer is full.

        aiohttp itself waits only once in 64 KB.
        """
        await write
        self._note_unsent()
        await self._request.writer.drain()

    async def _finish(self, response: StreamedAnswer) -> None:
        """Ends the body, and waits until the system has accepted all of it.

        A request that ended before would leave bytes that nobody accounts for.
        """
        self._limit_write_buffer(0)
        await self._drain_after(response.write_eof())
        self._limit_write_buffer(WRITE_BUFFER_BYTES)

    def _limit_write_buffer(self, high_bytes: int) -> None:
        """Sets above how many unsent bytes a write waits.

        uvloop's closed transports refuse it; a write then tells the error.
        """
        transport = self._request.transport
        if transport is not None and not transport.is_closing():
            transport.set_write_buffer_limits(high=high_bytes)

    def _note_unsent(self) -> None:
        transport = self._request.transport
        if transport is None:
            return
        self.held.note_unsent(transport.get_write_buffer_size())
        if self.held.has_unread:
            self._watch.ensure()

    def _progress(self) -> request_bytes.WriteProgress:
        transport = self._request.transport
        if self._response is None or transport is None:
            return request_bytes.WriteProgress(read_bytes=0, unsent_bytes=0)
        unsent_bytes = transport.get_write_buffer_size()
        if not unsent_bytes:
            return request_bytes.WriteProgress(
                read_bytes=self._request.writer.output_size, unsent_bytes=0
            )
        # A full send buffer takes further bytes only once a third of it is
        # free. By the write buffer alone, a caller that reads 1 KB a second
        # would appear to read nothing for many seconds.
        return request_bytes.WriteProgress(
            read_bytes=self._request.writer.output_size
            - unsent_bytes
            - socket_options.unacknowledged_bytes(transport),
            unsent_bytes=unsent_bytes,
        )

    def _abort(self) -> None:
        transport = self._request.transport
        if transport is not None:
            transport.abort()

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
