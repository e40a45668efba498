"""HTTP server of one stand-in, with faults of its connections."""

import abc
import asyncio
import enum

from aiohttp import typedefs
from aiohttp import web
import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.standins import faults as faults_module

MAX_BODY_BYTES = 64 * 1024 * 1024
# Longer than `http_exchange.IDLE_CONNECTION_TIMEOUT`, so that the client closes
# an idle connection first.
KEEPALIVE_S = 30.0


class DownMode(enum.Enum):
    """How a stand-in that is down behaves.

    `REFUSING` answers that the call was not run; `CUTTING` closes the
    connection without running the call; `HANGING` never answers; `GONE` does
    not listen, and an engine has lost its generations and caches.
    """

    UP = "up"
    REFUSING = "refusing"
    CUTTING = "cutting"
    HANGING = "hanging"
    GONE = "gone"


class HttpStandIn(abc.ABC):
    """HTTP interface of a stand-in.

    Attributes:
        role: Name of the interface that it implements.
        faults: Faults of the in-memory stand-in.
    """

    role = ""
    faults: faults_module.Faults

    @abc.abstractmethod
    def routes(self) -> list[web.RouteDef]:
        """Returns the routes that docs/STANDIN_INTERFACES.md lists."""

    @abc.abstractmethod
    def control_routes(self, base: str) -> list[web.RouteDef]:
        """Returns the routes of its control interface under `base`."""

    @abc.abstractmethod
    def crash(self) -> None:
        """Drops the state that a crash would lose."""


class DurableStandIn(HttpStandIn):
    """A stand-in for a service whose state survives a crash."""

    def crash(self) -> None:
        """Keeps all state."""


class StandInServer:
    """Serves one stand-in on the loopback interface.

    Attributes:
        name: Unique in the process.
        stand_in: The stand-in that it serves.
        down_mode: See `DownMode`; set it with `set_down_mode`.
    """

    __slots__ = (
        "_host",
        "_port",
        "_runner",
        "_site",
        "down_mode",
        "name",
        "stand_in",
    )

    def __init__(self, *, name: str, stand_in: HttpStandIn, host: str):
        self.name = name
        self.stand_in = stand_in
        self.down_mode = DownMode.UP
        self._host = host
        self._port = 0
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """Address at which it listens, as `ip:port`."""
        return f"{self._host}:{self._port}"

    async def start(self, port: int = 0) -> None:
        """Starts to listen; port 0 lets the system choose."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._answer]
        )
        app.add_routes(self.stand_in.routes())
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=0.0,
        )
        await self._runner.setup()
        self._port = port
        await self._listen()

    async def stop(self) -> None:
        """Closes all connections and stops the server."""
        self._abort_connections()
        if self._runner is not None:
            await self._runner.cleanup()

    async def set_down_mode(self, mode: DownMode) -> None:
        """Applies a mode; `GONE` stops listening and crashes it."""
        was_gone = self.down_mode is DownMode.GONE
        self.down_mode = mode
        self.stand_in.faults.down = mode is DownMode.REFUSING
        if mode is DownMode.GONE and not was_gone:
            await self._close()
        elif was_gone and mode is not DownMode.GONE:
            await self._listen()

    async def crash(self) -> None:
        """Crashes the stand-in and listens again at the same address."""
        await self._close()
        await self._listen()

    async def _close(self) -> None:
        if self._site is not None:
            await self._site.stop()
            self._site = None
        self._abort_connections()
        self.stand_in.crash()

    async def _listen(self) -> None:
        if self._runner is None or self._site is not None:
            return
        self._site = web.TCPSite(self._runner, self._host, self._port)
        await self._site.start()
        if not self._port:
            self._port = self._runner.addresses[0][1]

    def _abort_connections(self) -> None:
        if self._runner is None or self._runner.server is None:
            return
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    @web.middleware
    async def _answer(
        self, request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        if self.down_mode is DownMode.HANGING:
            await asyncio.Event().wait()
        if self.down_mode is DownMode.CUTTING:
            return abort_connection(request)
        try:
            return await handler(request)
        except failures.NotDoneError as error:
            return refusal_response(error)
        except failures.OutcomeUnknownError:
            return abort_connection(request)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return refusal_response(
                failures.NotDoneError(f"bad call: {error!r}")
            )


def abort_connection(request: web.Request) -> web.Response:
    """Aborts the connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def refusal_response(error: failures.NotDoneError) -> web.Response:
    """Returns the response that states that the call was not run."""
    retry_after_ms = None
    if error.retry_after is not None:
        retry_after_ms = error.retry_after.total_seconds() * 1000
    body = http_exchange.Refusal(
        not_run=True,
        message=str(error),
        overloaded=error.overloaded,
        leaving=error.leaving,
        retry_after_ms=retry_after_ms,
    )
    return json_response(body, status=429 if error.overloaded else 503)


def json_response(body: object, *, status: int = 200) -> web.Response:
    """Returns a response with a JSON body."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )
