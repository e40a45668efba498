"""A port that serves small requests without a body, such as a probe's."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server

from nutmeghook.internal.clients import acceptor
from nutmeghook.internal.clients import bounds
from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.clients import http_connection
from nutmeghook.internal.clients import reading_lane
from nutmeghook.internal.clients import sliced_reads
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import metrics as metrics_module

Handler = Callable[
    [web_request.BaseRequest], Awaitable[web_response.StreamResponse]
]

_LIMITS = http_connection.HttpLimits(
    head_bytes=16 * 1024,
    header_time=datetime.timedelta(seconds=3),
    idle_time=datetime.timedelta(seconds=75),
)


class Port:
    """A listening socket with few clients.

    Args:
        name: For logs and metrics.
        handler: Answers a request.
        metrics: Counts connections that were closed.
        clock: Measures time.
    """

    __slots__ = ("_acceptor", "_connections", "_server")

    def __init__(
        self,
        *,
        name: str,
        handler: Handler,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._connections = connection_table.ConnectionTable(
            name=name,
            max_connections=bounds.PORT_CONNECTIONS,
            bound_bytes=bounds.PORT_BYTES,
            metrics=metrics,
            clock=clock,
        )
        self._server = web_server.Server(handler, access_log=None)
        self._acceptor: acceptor.Acceptor | None = None

    def start(self, *, host: str, port: int) -> str:
        """Listens; returns `ip:port` with the port in use."""
        loop = asyncio.get_running_loop()
        lane = reading_lane.ReadingLane(loop=loop)
        self._acceptor = acceptor.Acceptor(
            table=self._connections,
            protocol=lambda: sliced_reads.SlicedReads(
                protocol=http_connection.HttpConnection(
                    server=self._server,
                    loop=loop,
                    limits=lambda: _LIMITS,
                    table=self._connections,
                    lane=lane,
                )
            ),
        )
        self._acceptor.start(
            host=host,
            port=port,
            receive_buffer_bytes=_LIMITS.receive_buffer_bytes,
        )
        return self._acceptor.address

    async def stop(self) -> None:
        """Closes the socket and its connections."""
        if self._acceptor is not None:
            self._acceptor.close()
        await self._server.shutdown(timeout=0.1)
