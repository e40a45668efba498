"""Listens for callers; invalid HTTP is answered with a coded error."""

import asyncio

from aiohttp import web

from nutmeghook.internal.entry import replies
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

MAX_LINE_BYTES = 8190
_CLOSE_TIMEOUT_S = 5.0
# How long the rest of a refused body is read and discarded, so that the caller
# receives the refusal instead of a connection reset.
_LINGERING_S = 0.5


class CodedRequestHandler(web.RequestHandler):
    """One connection; a request that can't be parsed gets a coded body.

    By default aiohttp answers bad header lines (control characters, header
    injection) in plain text, before any handler runs.
    """

    # aiohttp's class has slots too.
    __slots__ = ()

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

    __slots__ = ("_runner", "_server", "address")

    def __init__(self, *, application: web.Application):
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_CLOSE_TIMEOUT_S,
        )
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, *, host: str, port: int) -> None:
        """Starts to listen; port 0 lets the system choose one."""
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CodedRequestHandler(
                self._runner.server,
                loop=loop,
                access_log=None,
                lingering_time=_LINGERING_S,
                max_line_size=MAX_LINE_BYTES,
                max_field_size=MAX_LINE_BYTES,
            ),
            host,
            port,
            reuse_address=True,
        )
        own_host, own_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{own_host}:{own_port}"

    def stop_accepting(self) -> None:
        """Refuses new connections; existing ones stay open."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Closes the socket and the remaining connections."""
        self.stop_accepting()
        await self._runner.cleanup()


def _first_line(message: str | None) -> str:
    return (message or "").partition("\n")[0][:200]
