"""The HTTP paths for metrics and events of an instance."""

from aiohttp import hdrs
from aiohttp import web
import msgspec

from nutmeghook.internal.administration import principals as principals_module
from nutmeghook.internal.assembly import gauges as gauges_module
from nutmeghook.internal.entry import replies
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.observe import gathering
from nutmeghook.internal.observe import metrics as metrics_module

TIMELINE_PATH = "/observe/v1/timeline"


def add_routes(
    application: web.Application,
    *,
    metrics: metrics_module.Metrics,
    gauges: gauges_module.Gauges,
    gatherer: gathering.EventsGatherer,
    principals: principals_module.PrincipalFinder,
) -> None:
    """Adds `/metrics` and the path of the time line's events."""

    async def show_metrics(request: web.Request) -> web.Response:
        gauges.refresh()
        body, headers = metrics.render(request.headers.getall(hdrs.ACCEPT, []))
        return web.Response(body=body, headers=headers)

    async def show_events(request: web.Request) -> web.Response:
        try:
            principal = principals.find(request.headers)
            # Events show the requests of all teams.
            principal.check_may_read("")
        except errors.CodedError as error:
            return replies.error_response(error, request_id="")
        gathered = await gatherer.gather()
        return web.Response(
            body=msgspec.json.encode(gathered),
            content_type="application/json",
        )

    application.router.add_get("/metrics", show_metrics)
    application.router.add_get(TIMELINE_PATH, show_events)
