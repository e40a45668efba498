"""Listens for callers; invalid HTTP is answered with a coded error."""

import asyncio
import datetime

from aiohttp import web

from nutmeghook.internal.clients import acceptor
from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.clients import http_connection
from nutmeghook.internal.clients import reading_lane
from nutmeghook.internal.clients import sliced_reads
from nutmeghook.internal.entry import replies
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

MAX_HEAD_BYTES = 64 * 1024
# For callers that read their answers slowly. The connections of those that read
# nothing are dropped sooner.
_CLOSE_TIMEOUT_S = 60.0
# For what is left after it.
_CUT_TIMEOUT_S = 0.1
# Callers may be far away: over a round trip of 0.2 s, 1.3 MB/s.
_BUFFER_BYTES = 256 * 1024
_LIMITS = http_connection.HttpLimits(
    head_bytes=MAX_HEAD_BYTES,
    header_time=datetime.timedelta(seconds=10),
    idle_time=datetime.timedelta(seconds=75),
    receive_buffer_bytes=_BUFFER_BYTES,
    send_buffer_bytes=_BUFFER_BYTES,
)


class CodedRequestHandler(http_connection.HttpConnection):
    """One connection; a request that can't be parsed gets a coded body.

    By default aiohttp answers bad header lines (control characters, header
    injection) in plain text, before any handler runs.
    """

    # aiohttp's class has slots too.
    __slots__ = ("_is_closing",)

    def __init__(self, **options):
        super().__init__(**options)
        self._is_closing = False

    def close(self) -> None:
        """Closes the connection once all requests read on it are answered.

        aiohttp drops those that are behind the one that is handled.
        """
        self._is_closing = True
        if not (self._request_in_progress or self._messages):
            super().close()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Closes the connection, and waits for its answers."""
        self.close()
        if self._task_handler is not None:
            await asyncio.wait({self._task_handler}, timeout=timeout)
        await super().shutdown(_CUT_TIMEOUT_S)

    async def _handle_request(self, *parts: object) -> object:
        """Handles a request; the last one of a connection closes it."""
        try:
            return await super()._handle_request(*parts)
        finally:
            if self._is_closing and not self._messages:
                super().close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the answer to a request that could not be handled."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun; it can't be replaced")
        if exc is not None:
            self.log_exception("Error handling request", exc_info=exc)
        code = codes.Code.BAD_HEADER if status < 500 else codes.Code.INTERNAL
        response = replies.error_response(
            errors.CodedError(code=code, detail=_first_line(message)),
            request_id="",
        )
        response.force_close()
        return response


class Listener:
    """The listening socket and its connections.

    Attributes:
        address: The `ip:port` listened on; empty before the start.
    """

    __slots__ = ("_acceptor", "_connections", "_runner", "address")

    def __init__(
        self,
        *,
        application: web.Application,
        connections: connection_table.ConnectionTable,
    ):
        self._connections = connections
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_CLOSE_TIMEOUT_S,
        )
        self._acceptor: acceptor.Acceptor | None = None
        self.address = ""

    async def start(self, *, host: str, port: int) -> None:
        """Starts to listen; port 0 lets the system choose one."""
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        lane = reading_lane.ReadingLane(loop=loop)
        self._acceptor = acceptor.Acceptor(
            table=self._connections,
            protocol=lambda: sliced_reads.SlicedReads(
                protocol=CodedRequestHandler(
                    server=self._runner.server,
                    loop=loop,
                    limits=lambda: _LIMITS,
                    table=self._connections,
                    lane=lane,
                )
            ),
        )
        self._acceptor.start(
            host=host, port=port, receive_buffer_bytes=_BUFFER_BYTES
        )
        self.address = self._acceptor.address

    def stop_accepting(self) -> None:
        """Refuses new connections; existing ones stay open."""
        if self._acceptor is not None:
            self._acceptor.close()

    async def stop(self) -> None:
        """Closes the socket and the remaining connections."""
        self.stop_accepting()
        await self._runner.cleanup()


def _first_line(message: str | None) -> str:
    return (message or "").partition("\n")[0][:200]
