"""The paths by which an instance is observed."""

from aiohttp import hdrs
from aiohttp import web
import aioprometheus

from nutmeghook.internal.observe import metrics as metrics_module


def add_routes(
    application: web.Application, *, metrics: metrics_module.Metrics
) -> None:
    """Adds `/metrics`."""

    async def show(request: web.Request) -> web.Response:
        body, headers = aioprometheus.render(
            metrics.registry, request.headers.getall(hdrs.ACCEPT, [])
        )
        return web.Response(body=body, headers=headers)

    application.router.add_get("/metrics", show)
