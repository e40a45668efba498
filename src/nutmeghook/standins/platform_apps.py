"""The platform's services over HTTP, backed by the in-memory stand-ins."""

import datetime

from aiohttp import web
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.standin_http import http_instances
from nutmeghook.internal.standin_http import http_objects
from nutmeghook.internal.standin_http import http_ratings
from nutmeghook.internal.standin_http import http_table
from nutmeghook.internal.standin_http import http_weights
from nutmeghook.standins import instance_list_deltas
from nutmeghook.standins import memory_instances
from nutmeghook.standins import memory_objects
from nutmeghook.standins import memory_ratings
from nutmeghook.standins import memory_table
from nutmeghook.standins import memory_weights
from nutmeghook.standins import quality as quality_module
from nutmeghook.standins import serving

_MILLISECOND = datetime.timedelta(milliseconds=1)


class Counters(msgspec.Struct, frozen=True, kw_only=True):
    """Operations that a store counted against its limits so far."""

    writes: int
    reads: int
    commits: int = 0


class AddressBody(msgspec.Struct, frozen=True, kw_only=True):
    """Names a listed instance."""

    address: str


class LagBody(msgspec.Struct, frozen=True, kw_only=True):
    """The lag of the instance list."""

    lag_ms: float


class RatingSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the rating service; tests may change them."""

    delay_ms: float = 200.0
    stopped: bool = False
    bias: float = 0.0
    quality: quality_module.QualitySettings = msgspec.field(
        default_factory=quality_module.QualitySettings
    )


class WeightSizes(msgspec.Struct, frozen=True, kw_only=True):
    """The versions in the weight store: size by `model@version`."""

    sizes_bytes: dict[str, int]

    def by_version(self) -> dict[engine.ModelVersion, int]:
        """Returns the sizes by parsed version."""
        return {
            engine.ModelVersion.parse(text): size_bytes
            for text, size_bytes in self.sizes_bytes.items()
        }


class _StoreStandIn(serving.DurableStandIn):
    """Base class of both stores' stand-ins: faults and counters."""

    def __init__(
        self, *, memory: memory_table.MemoryTable | memory_objects.MemoryObjects
    ):
        self.memory = memory
        self.faults = memory.faults

    def control_routes(self, base: str) -> list[web.RouteDef]:
        """Returns the counters' route."""
        return [web.get(f"{base}/counters", self._counters)]

    def _current_counters(self) -> Counters:
        return Counters(writes=self.memory.writes, reads=self.memory.reads)

    async def _counters(self, request: web.Request) -> web.Response:
        return serving.json_response(self._current_counters())


class TableStandIn(_StoreStandIn):
    """The table service."""

    role = "table"

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of `http_table`."""
        return [
            web.get(http_table.READ_PATH, self._read),
            web.get(http_table.SCAN_PATH, self._scan),
            web.post(http_table.COMMIT_PATH, self._commit),
        ]

    async def _read(self, request: web.Request) -> web.Response:
        row = await self.memory.read(request.query["key"])
        return serving.json_response(http_table.ReadAnswer(row=row))

    async def _scan(self, request: web.Request) -> web.Response:
        rows = await self.memory.scan(
            prefix=request.query["prefix"],
            after=request.query["after"],
            limit=int(request.query["limit"]),
        )
        return serving.json_response(http_table.ScanAnswer(rows=rows))

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.read()
        transaction = msgspec.json.decode(body, type=table.Transaction)
        return serving.json_response(await self.memory.commit(transaction))

    def _current_counters(self) -> Counters:
        return msgspec.structs.replace(
            super()._current_counters(), commits=self.memory.commits
        )


class ObjectsStandIn(_StoreStandIn):
    """The object store."""

    role = "objects"

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of `http_objects`."""
        return [
            web.get(http_objects.BLOB_PATH, self._get),
            web.post(http_objects.BLOB_PATH, self._put),
            web.get(http_objects.LIST_PATH, self._list),
            web.post(http_objects.DELETE_PATH, self._delete),
        ]

    async def _get(self, request: web.Request) -> web.Response:
        content = await self.memory.get(request.query["key"])
        if content is None:
            return web.Response(status=204)
        return web.Response(body=content)

    async def _put(self, request: web.Request) -> web.Response:
        stored = await self.memory.put_if_absent(
            request.query["key"], await request.read()
        )
        return serving.json_response(http_objects.PutAnswer(stored=stored))

    async def _list(self, request: web.Request) -> web.Response:
        keys = await self.memory.list_keys(
            prefix=request.query["prefix"],
            after=request.query["after"],
            limit=int(request.query["limit"]),
        )
        return serving.json_response(http_objects.KeysAnswer(keys=keys))

    async def _delete(self, request: web.Request) -> web.Response:
        await self.memory.delete(request.query["key"])
        return serving.json_response(http_objects.DeleteAnswer())


class InstancesStandIn(serving.DurableStandIn):
    """The instance list."""

    role = "instances"

    def __init__(self, *, memory: memory_instances.MemoryInstances):
        self.memory = memory
        self.faults = memory.faults
        self._changes = instance_list_deltas.InstanceListDeltas()

    def routes(self) -> list[web.RouteDef]:
        """Returns the route of `http_instances`."""
        return [web.get(http_instances.LIST_PATH, self._list)]

    def control_routes(self, base: str) -> list[web.RouteDef]:
        """Returns the routes that change the list."""
        return [
            web.post(f"{base}/put", self._put),
            web.post(f"{base}/leaving", self._leaving),
            web.post(f"{base}/remove", self._remove),
            web.post(f"{base}/lag", self._lag),
        ]

    async def _list(self, request: web.Request) -> web.Response:
        listed = await self.memory.list_instances()
        answer = self._changes.answer(
            listed,
            known_tag=request.headers.get("If-None-Match", ""),
            changes_only=http_instances.CHANGES_ONLY in request.query,
        )
        headers = {"ETag": answer.entity_tag}
        if answer.body is None:
            return web.Response(status=304, headers=headers)
        response = serving.json_response(answer.body)
        response.headers.update(headers)
        return response

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.memory.put(
            msgspec.json.decode(body, type=instances.ListedInstance)
        )
        return web.Response(status=204)

    async def _leaving(self, request: web.Request) -> web.Response:
        self.memory.mark_leaving(await _address(request))
        return web.Response(status=204)

    async def _remove(self, request: web.Request) -> web.Response:
        self.memory.remove(await _address(request))
        return web.Response(status=204)

    async def _lag(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=LagBody)
        self.memory.lag = body.lag_ms * _MILLISECOND
        return web.Response(status=204)


class RatingsStandIn(serving.DurableStandIn):
    """The rating service."""

    role = "ratings"

    def __init__(self, *, memory: memory_ratings.MemoryRatings):
        self.memory = memory
        self.faults = memory.faults
        self.settings = RatingSettings()

    def apply(self, settings: RatingSettings) -> None:
        """Applies settings to the ratings from now on."""
        self.settings = settings
        self.memory.delay = settings.delay_ms * _MILLISECOND
        self.memory.stopped = settings.stopped
        self.memory.bias = settings.bias
        self.memory.quality = lambda task: quality_module.quality_of(
            task, settings.quality
        )

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of `http_ratings`."""
        return [
            web.post(http_ratings.TASKS_PATH, self._submit),
            web.get(http_ratings.RATINGS_PATH, self._ratings),
        ]

    def control_routes(self, base: str) -> list[web.RouteDef]:
        """Returns the routes of its settings."""
        return [
            web.get(f"{base}/settings", self._show),
            web.post(f"{base}/settings", self._set),
        ]

    async def _submit(self, request: web.Request) -> web.Response:
        body = await request.read()
        decoded = msgspec.json.decode(body, type=http_ratings.TasksBody)
        await self.memory.submit(decoded.tasks)
        return serving.json_response(http_ratings.TasksAnswer())

    async def _ratings(self, request: web.Request) -> web.Response:
        given = await self.memory.ratings_after(
            int(request.query["after"]), limit=int(request.query["limit"])
        )
        return serving.json_response(http_ratings.RatingsAnswer(ratings=given))

    async def _show(self, request: web.Request) -> web.Response:
        return serving.json_response(self.settings)

    async def _set(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.apply(msgspec.json.decode(body, type=RatingSettings))
        return serving.json_response(self.settings)


class WeightsStandIn(serving.DurableStandIn):
    """The weight store."""

    role = "weights"

    def __init__(self, *, memory: memory_weights.MemoryWeights):
        self.memory = memory
        self.faults = memory.faults

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of `http_weights`."""
        return [
            web.get(http_weights.INFO_PATH, self._info),
            web.post(http_weights.GRANT_PATH, self._grant),
        ]

    def control_routes(self, base: str) -> list[web.RouteDef]:
        """Returns the route that sets the versions."""
        return [web.post(f"{base}/versions", self._set_versions)]

    async def _info(self, request: web.Request) -> web.Response:
        version = engine.ModelVersion.parse(request.query["model_version"])
        info = await self.memory.describe(version)
        return serving.json_response(http_weights.InfoAnswer(info=info))

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.read()
        wanted = msgspec.json.decode(body, type=http_weights.GrantBody)
        ticket = await self.memory.grant_download(
            wanted.model_version, wanted.address
        )
        return serving.json_response(http_weights.GrantAnswer(ticket=ticket))

    async def _set_versions(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=WeightSizes)
        self.memory.sizes_bytes = body.by_version()
        return web.Response(status=204)


async def _address(request: web.Request) -> str:
    body = msgspec.json.decode(await request.read(), type=AddressBody)
    return body.address
