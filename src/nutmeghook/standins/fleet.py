"""Stand-ins for a whole platform, served by one process."""

import datetime
import random

from aiohttp import web
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import backend_apps
from nutmeghook.standins import control
from nutmeghook.standins import engine_settings
from nutmeghook.standins import memory_engine
from nutmeghook.standins import memory_instances
from nutmeghook.standins import memory_objects
from nutmeghook.standins import memory_plain
from nutmeghook.standins import memory_ratings
from nutmeghook.standins import memory_table
from nutmeghook.standins import memory_weights
from nutmeghook.standins import platform_apps
from nutmeghook.standins import rate_limited_store
from nutmeghook.standins import serving

_MILLISECOND = datetime.timedelta(milliseconds=1)
HOST = "127.0.0.1"


class _Spec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Fields of every stand-in's spec; port 0 lets the system choose."""

    port: int = 0


class StoreSpec(_Spec, frozen=True, kw_only=True):
    """A table service or an object store."""

    writes_per_s: float = rate_limited_store.WRITES_PER_S
    reads_per_s: float = rate_limited_store.READS_PER_S


class InstancesSpec(_Spec, frozen=True, kw_only=True):
    """The instance list; it initially lists the spec's backend servers."""

    lag_ms: float = 1000.0


class RatingsSpec(_Spec, frozen=True, kw_only=True):
    """The rating service."""

    settings: platform_apps.RatingSettings = msgspec.field(
        default_factory=platform_apps.RatingSettings
    )


class WeightsSpec(_Spec, frozen=True, kw_only=True):
    """The weight store.

    Attributes:
        sizes_bytes: Size by `model@version`.
        grants_per_s: Limit on download tickets.
    """

    sizes_bytes: dict[str, int] = {}
    grants_per_s: float = memory_weights.GRANTS_PER_S


class EngineSpec(_Spec, frozen=True, kw_only=True):
    """A model engine.

    Attributes:
        pool: Its pool's name in the instance list.
        loaded: The versions it starts with, as `model@version`.
    """

    name: str
    region: str = "hu-central"
    data_centre: str = "hu-central-1"
    pool: str = ""
    loaded: tuple[str, ...] = ()
    settings: engine_settings.EngineSettings = msgspec.field(
        default_factory=engine_settings.EngineSettings
    )


class PlainSpec(_Spec, frozen=True, kw_only=True):
    """A replica of a plain service."""

    name: str
    service: str
    region: str = "hu-central"
    data_centre: str = "hu-central-1"


class FleetSpec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The stand-ins that one process serves; omitted ones are not served.

    Attributes:
        seed: Seed of the random choice of lost cache events.
    """

    control_port: int = 0
    seed: int = 0
    table: StoreSpec | None = None
    objects: StoreSpec | None = None
    instances: InstancesSpec | None = None
    ratings: RatingsSpec | None = None
    weights: WeightsSpec | None = None
    engines: tuple[EngineSpec, ...] = ()
    plain_services: tuple[PlainSpec, ...] = ()


class Served(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of one stand-in.

    Attributes:
        address: `ip:port` of the interface that it stands in for.
        control: Base URL of its control interface.
    """

    name: str
    role: str
    address: str
    control: str


class FleetAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """The process prints this as JSON when all stand-ins listen."""

    stand_ins: tuple[Served, ...]

    def named(self, name: str) -> Served:
        """Returns the stand-in with a name."""
        return next(s for s in self.stand_ins if s.name == name)


class Fleet:
    """The stand-ins of a spec, and the server that controls them."""

    __slots__ = (
        "_clock",
        "_control_runner",
        "_random",
        "_servers",
        "_spec",
        "_weights",
    )

    def __init__(self, *, clock: clock_module.Clock, spec: FleetSpec):
        self._clock = clock
        self._spec = spec
        self._random = random.Random(spec.seed)
        self._servers: list[serving.StandInServer] = []
        self._control_runner: web.AppRunner | None = None
        self._weights: memory_weights.MemoryWeights | None = None

    async def start(self) -> FleetAddresses:
        """Starts everything and returns the addresses."""
        await self._start_stores()
        await self._start_ratings()
        await self._start_weights()
        for engine_spec in self._spec.engines:
            await self._start_engine(engine_spec)
        for plain_spec in self._spec.plain_services:
            memory = memory_plain.MemoryPlainService(clock=self._clock)
            await self._serve(
                plain_spec.name,
                backend_apps.PlainStandIn(memory=memory),
                plain_spec.port,
            )
        await self._start_instances()
        control_address = await self._start_control()
        return FleetAddresses(
            stand_ins=tuple(
                Served(
                    name=server.name,
                    role=server.stand_in.role,
                    address=server.address,
                    control=f"http://{control_address}"
                    f"{control.control_path(server.name)}",
                )
                for server in self._servers
            )
        )

    async def stop(self) -> None:
        """Stops everything."""
        for server in self._servers:
            await server.stop()
        if self._control_runner is not None:
            await self._control_runner.cleanup()

    async def _start_stores(self) -> None:
        table, objects = self._spec.table, self._spec.objects
        if table is not None:
            memory = memory_table.MemoryTable(
                clock=self._clock,
                writes_per_s=table.writes_per_s,
                reads_per_s=table.reads_per_s,
            )
            await self._serve(
                "table", platform_apps.TableStandIn(memory=memory), table.port
            )
        if objects is not None:
            memory_blobs = memory_objects.MemoryObjects(
                clock=self._clock,
                writes_per_s=objects.writes_per_s,
                reads_per_s=objects.reads_per_s,
            )
            await self._serve(
                "objects",
                platform_apps.ObjectsStandIn(memory=memory_blobs),
                objects.port,
            )

    async def _start_ratings(self) -> None:
        spec = self._spec.ratings
        if spec is None:
            return
        memory = memory_ratings.MemoryRatings(
            clock=self._clock, quality=lambda task: 1.0
        )
        stand_in = platform_apps.RatingsStandIn(memory=memory)
        stand_in.apply(spec.settings)
        await self._serve("ratings", stand_in, spec.port)

    async def _start_weights(self) -> None:
        spec = self._spec.weights
        if spec is None:
            return
        sizes = platform_apps.WeightSizes(sizes_bytes=spec.sizes_bytes)
        self._weights = memory_weights.MemoryWeights(
            clock=self._clock,
            sizes_bytes=sizes.by_version(),
            grants_per_s=spec.grants_per_s,
        )
        stand_in = platform_apps.WeightsStandIn(memory=self._weights)
        await self._serve("weights", stand_in, spec.port)

    async def _start_engine(self, spec: EngineSpec) -> None:
        memory = memory_engine.MemoryEngine(
            clock=self._clock,
            loaded=tuple(
                engine.ModelVersion.parse(text) for text in spec.loaded
            ),
            settings=spec.settings,
            random_source=self._random,
            redeem=self._weights.redeem if self._weights else None,
        )
        stand_in = backend_apps.EngineStandIn(memory=memory)
        await self._serve(spec.name, stand_in, spec.port)

    async def _start_instances(self) -> None:
        spec = self._spec.instances
        if spec is None:
            return
        memory = memory_instances.MemoryInstances(
            clock=self._clock,
            lag=spec.lag_ms * _MILLISECOND,
            listed=self._listed(),
        )
        stand_in = platform_apps.InstancesStandIn(memory=memory)
        await self._serve("instances", stand_in, spec.port)

    def _listed(self) -> tuple[instances.ListedInstance, ...]:
        addresses = {server.name: server.address for server in self._servers}
        engines = [
            instances.ListedInstance(
                address=addresses[spec.name],
                role=instances.InstanceRole.MODEL_ENGINE,
                state=instances.InstanceState.LIVE,
                region=spec.region,
                data_centre=spec.data_centre,
                service=spec.pool,
            )
            for spec in self._spec.engines
        ]
        services = [
            instances.ListedInstance(
                address=addresses[spec.name],
                role=instances.InstanceRole.PLAIN_SERVICE,
                state=instances.InstanceState.LIVE,
                region=spec.region,
                data_centre=spec.data_centre,
                service=spec.service,
            )
            for spec in self._spec.plain_services
        ]
        return (*engines, *services)

    async def _serve(
        self, name: str, stand_in: serving.HttpStandIn, port: int
    ) -> None:
        if any(server.name == name for server in self._servers):
            raise ValueError(f"name {name!r} is given twice; choose another")
        server = serving.StandInServer(name=name, stand_in=stand_in, host=HOST)
        await server.start(port)
        self._servers.append(server)

    async def _start_control(self) -> str:
        self._control_runner = web.AppRunner(
            control.control_app(self._servers),
            access_log=None,
            shutdown_timeout=0.0,
        )
        await self._control_runner.setup()
        site = web.TCPSite(self._control_runner, HOST, self._spec.control_port)
        await site.start()
        return f"{HOST}:{self._control_runner.addresses[0][1]}"
