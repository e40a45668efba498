"""Backend servers over HTTP: model engines and plain services."""

import contextlib

from aiohttp import web
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_plain
from nutmeghook.standins import engine_settings
from nutmeghook.standins import memory_engine
from nutmeghook.standins import memory_plain
from nutmeghook.standins import serving

_generation_decoder = msgspec.json.Decoder(engine.Generation)
_encoder = msgspec.json.Encoder()


class RefuseBody(msgspec.Struct, frozen=True, kw_only=True):
    """The number of calls to refuse before they run."""

    refuse_next: int


class EngineStandIn(serving.HttpStandIn):
    """A model engine."""

    role = "engine"

    def __init__(self, *, memory: memory_engine.MemoryEngine):
        self.memory = memory
        self.faults = memory.faults

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of `http_engine`."""
        return [
            web.post(http_engine.GENERATE_PATH, self._generate),
            web.post(http_engine.CANCEL_PATH, self._cancel),
            web.get(http_engine.LOAD_PATH, self._load),
            web.post(http_engine.ORDER_PATH, self._order),
            web.get(http_engine.CACHE_EVENTS_PATH, self._cache_events),
            web.get(http_engine.CACHE_CONTENT_PATH, self._export_cache),
            web.post(http_engine.CACHE_CONTENT_PATH, self._import_cache),
        ]

    def control_routes(self, base: str) -> list[web.RouteDef]:
        """Returns the routes of its logs and settings."""
        return [
            web.get(f"{base}/runs", self._runs),
            web.get(f"{base}/orders", self._orders),
            web.get(f"{base}/settings", self._show),
            web.post(f"{base}/settings", self._set),
        ]

    def crash(self) -> None:
        """Loses all generations and caches."""
        self.memory.crash()

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        generation = _generation_decoder.decode(await request.read())
        async with contextlib.aclosing(
            self.memory.generate(generation)
        ) as chunks:
            # Before the first chunk the generation may still be refused, so
            # the response starts only after it.
            first = await anext(chunks)
            response = web.StreamResponse(
                headers={"Content-Type": "application/x-ndjson"}
            )
            await response.prepare(request)
            try:
                await _write(response, first)
                async for chunk in chunks:
                    await _write(response, chunk)
            except failures.PlatformError:
                return serving.abort_connection(request)
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(
            await request.read(), type=http_engine.CancelBody
        )
        await self.memory.cancel(body.attempt_id)
        return serving.json_response(http_engine.EmptyAnswer())

    async def _load(self, request: web.Request) -> web.Response:
        return serving.json_response(await self.memory.load_report())

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=engine.Order)
        state = await self.memory.order(order)
        return serving.json_response(http_engine.OrderAnswer(state=state))

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        events = await self.memory.cache_events(after)
        return serving.json_response(
            http_engine.CacheEventsAnswer(events=events)
        )

    async def _export_cache(self, request: web.Request) -> web.Response:
        content = await self.memory.export_cache(request.query["prefix_hash"])
        if content is None:
            return web.Response(status=204)
        return web.Response(body=content)

    async def _import_cache(self, request: web.Request) -> web.Response:
        await self.memory.import_cache(
            request.query["prefix_hash"], await request.read()
        )
        return serving.json_response(http_engine.EmptyAnswer())

    async def _runs(self, request: web.Request) -> web.Response:
        return serving.json_response(self.memory.runs)

    async def _orders(self, request: web.Request) -> web.Response:
        return serving.json_response(self.memory.orders)

    async def _show(self, request: web.Request) -> web.Response:
        return serving.json_response(self.memory.settings)

    async def _set(self, request: web.Request) -> web.Response:
        engine_settings.update(self.memory.settings, await request.read())
        self.memory.record_load()
        return serving.json_response(self.memory.settings)


class PlainStandIn(serving.DurableStandIn):
    """A plain service: every method and path is a call."""

    role = "plain_service"

    def __init__(self, *, memory: memory_plain.MemoryPlainService):
        self.memory = memory
        self.faults = memory.faults

    def routes(self) -> list[web.RouteDef]:
        """Returns one route for all methods and paths."""
        return [web.route("*", "/{path:.*}", self._call)]

    def control_routes(self, base: str) -> list[web.RouteDef]:
        """Returns the routes of its log and of refusals."""
        return [
            web.get(f"{base}/runs", self._runs),
            web.post(f"{base}/refuse", self._refuse),
        ]

    async def _call(self, request: web.Request) -> web.Response:
        answer = await self.memory.call(
            plain.PlainCall(
                request_id=request.headers.get(
                    http_plain.REQUEST_ID_HEADER, ""
                ),
                method=request.method,
                path=request.path_qs,
                headers=tuple(request.headers.items()),
                body=await request.read(),
            )
        )
        return web.Response(
            status=answer.status,
            headers=list(answer.headers),
            body=answer.body,
        )

    async def _runs(self, request: web.Request) -> web.Response:
        return serving.json_response(self.memory.runs)

    async def _refuse(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=RefuseBody)
        self.memory.refuse_next = body.refuse_next
        return web.Response(status=204)


async def _write(response: web.StreamResponse, chunk: engine.Chunk) -> None:
    line = _encoder.encode(chunk) + b"\n"
    if chunk.finish is None:
        await response.write(line)
    else:
        # Written together with the end of the body, so that the client reads
        # the end at once and can reuse its connection.
        await response.write_eof(line)
