"""Engines, their weight store and holders of the orders' lease, for tests."""

import asyncio
import datetime
import random

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import lease
from nutmeghook.internal.membership import members
from nutmeghook.internal.observe import events
from nutmeghook.internal.orders import controller as controller_module
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import service
from nutmeghook.internal.orders import weight_grants
from nutmeghook.standins import engine_settings
from nutmeghook.standins import memory_engine
from nutmeghook.standins import memory_instances
from nutmeghook.standins import memory_weights
from tests.cover import test_orders_planning as planning_case

SECOND = datetime.timedelta(seconds=1)
V1, V2 = planning_case.version(1), planning_case.version(2)
ROLL_OUT = planning_case.snapshot(v1="serving:99", v2="rolling_out:1")


class FakeLease(lease.Lease):
    """A lease whose token the test sets and removes."""

    def __init__(self, token=None):
        self.token = token

    @property
    def name(self):
        return "orders"

    @property
    def row_key(self):
        return "lease/orders"

    def row_version(self):
        return 1

    def fencing_token(self):
        return self.token


class ChangingView(view_module.FixedConfigView):
    """A configuration that the test changes."""

    def accept(self, snapshot):
        self._snapshot = snapshot


class CountingWeights(memory_weights.MemoryWeights):
    """Counts the grants requested."""

    asked = 0

    async def grant_download(self, model_version, address):
        self.asked += 1
        return await super().grant_download(model_version, address)


class OrdersFixture(engine.EngineConnector):
    """Engines, their list and their weight store, on a fake clock."""

    def __init__(self, count=6, *, grants_per_s=2.0, **settings):
        self.clock = clock_module.FakeClock()
        self.weights = CountingWeights(
            clock=self.clock,
            sizes_bytes={V1: 10_000, V2: 10_000},
            grants_per_s=grants_per_s,
        )
        defaults = {"needs_ticket": True, "download_bytes_per_ms": 1.0}
        self.engines = {
            f"10.0.1.{i}:80": memory_engine.MemoryEngine(
                clock=self.clock,
                loaded=(V1,),
                settings=engine_settings.EngineSettings(
                    **{**defaults, **settings}
                ),
                redeem=self.weights.redeem,
            )
            for i in range(count)
        }
        self.list = memory_instances.MemoryInstances(
            clock=self.clock,
            listed=tuple(
                instances.ListedInstance(
                    address=address,
                    role=instances.InstanceRole.MODEL_ENGINE,
                    state=instances.InstanceState.LIVE,
                    region="r",
                    data_centre=f"c{i % 3}",
                    service="pool",
                )
                for i, address in enumerate(self.engines)
            ),
        )

    def connect(self, address):
        return self.engines[address]

    def holder(
        self,
        held,
        *,
        config=ROLL_OUT,
        secret="",
        age_s=0,
        view=None,
        reports=None,
    ):
        return controller_module.OrderController(
            view=view
            or view_module.FixedConfigView(snapshot=config, age=age_s * SECOND),
            lease=held,
            reader=fleet_reading.FleetReader(
                instance_list=self.list,
                connector=self,
                clock=self.clock,
                reports=reports,
            ),
            connector=self,
            grants=weight_grants.GrantPacer(
                store=self.weights,
                clock=self.clock,
                randomness=random.Random(1),
            ),
            clock=self.clock,
            events=events.EventRing(clock=self.clock),
            secret=secret,
        )

    def instance(self, table, number):
        """Returns the order controller of an instance, with its own lease."""
        myself = members.Member(
            inner_address=f"10.0.0.{number}:7000",
            incarnation=f"{number}",
            region="r",
            data_centre="c0",
        )
        return service.Orders(
            members=members.FixedMemberView(myself=myself),
            view=view_module.FixedConfigView(snapshot=ROLL_OUT),
            table=table,
            weights=self.weights,
            instance_list=self.list,
            connector=self,
            clock=self.clock,
            events=events.EventRing(clock=self.clock),
            random_source=random.Random(number),
            secret="",
        )

    async def run(self, holder, seconds):
        """Runs a holder for a while, as its process would."""
        task = asyncio.ensure_future(holder.run())
        await self.clock.advance(seconds * SECOND)
        if task.done():
            task.result()
        task.cancel()

    async def load_everywhere(self, model_version):
        """Makes each engine load a version, one a second, by older orders."""
        for one in self.engines.values():
            await one.order(
                engine.Order(
                    order_id="before",
                    kind=engine.OrderKind.LOAD,
                    target=str(model_version),
                    fencing_token=1,
                    ticket=await self.weights.grant_download(
                        model_version, "any"
                    ),
                )
            )
            await self.clock.advance(SECOND)

    async def replicas(self, model_version):
        reports = {
            address: await one.load_report()
            for address, one in self.engines.items()
            if not (one.faults.down or one.faults.delay)
        }
        return [
            a for a, report in reports.items() if model_version in report.loaded
        ]

    def orders(self, kind=engine.OrderKind.LOAD):
        return [
            record
            for one in self.engines.values()
            for record in one.orders
            if record.kind is kind
        ]


def run(scenario):
    """Runs a scenario to its end."""
    asyncio.run(scenario())
