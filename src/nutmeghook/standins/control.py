"""HTTP interface through which tests inject faults and read logs."""

import datetime

from aiohttp import typedefs
from aiohttp import web
import msgspec

from nutmeghook.standins import faults as faults_module
from nutmeghook.standins import serving

_MILLISECOND = datetime.timedelta(milliseconds=1)


class FaultSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All faults of one stand-in; an omitted field means "no such fault".

    Attributes:
        late_effect_ms: The outcome of writes is lost, and they take effect
            this much later.
    """

    down: serving.DownMode = serving.DownMode.UP
    delay_ms: float = 0.0
    lose_next_answers: int = 0
    lose_next_requests: int = 0
    late_effect_ms: float | None = None


class _FaultsControl:
    """Sets the faults of one stand-in."""

    __slots__ = ("_server",)

    def __init__(self, *, server: serving.StandInServer):
        self._server = server

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces all faults and returns the new ones."""
        body = await request.read()
        wanted = msgspec.json.decode(body, type=FaultSettings)
        apply(wanted, self._server.stand_in.faults)
        await self._server.set_down_mode(wanted.down)
        return serving.json_response(wanted)

    async def crash(self, request: web.Request) -> web.Response:
        """Crashes the stand-in and restarts it at once."""
        await self._server.crash()
        return web.Response(status=204)


def apply(settings: FaultSettings, faults: faults_module.Faults) -> None:
    """Sets all faults except `down`, which the server implements."""
    late_effect = None
    if settings.late_effect_ms is not None:
        late_effect = settings.late_effect_ms * _MILLISECOND
    faults.delay = settings.delay_ms * _MILLISECOND
    faults.lose_next_answers = settings.lose_next_answers
    faults.lose_next_requests = settings.lose_next_requests
    faults.late_effect = late_effect


def control_app(servers: list[serving.StandInServer]) -> web.Application:
    """Returns the application that controls all stand-ins of a process."""
    app = web.Application(
        client_max_size=serving.MAX_BODY_BYTES, middlewares=[_explain_faults]
    )
    for server in servers:
        base = control_path(server.name)
        control = _FaultsControl(server=server)
        app.add_routes(
            [
                web.post(f"{base}/faults", control.set_faults),
                web.post(f"{base}/crash", control.crash),
                *server.stand_in.control_routes(base),
            ]
        )
    return app


def control_path(name: str) -> str:
    """Returns the path under which a stand-in is controlled."""
    return f"/control/{name}"


@web.middleware
async def _explain_faults(
    request: web.Request, handler: typedefs.Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except (msgspec.DecodeError, KeyError, ValueError) as error:
        return web.Response(status=400, text=f"{error!r}\n")
