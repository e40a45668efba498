"""Orders to engines under failures of holders, engines and the store."""

import asyncio
import datetime
import itertools
import random
import unittest

import msgspec

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import lease
from nutmeghook.internal.membership import members
from nutmeghook.internal.observe import events
from nutmeghook.internal.orders import controller as controller_module
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import service
from nutmeghook.internal.orders import weight_grants
from nutmeghook.internal.platform import engine
from nutmeghook.internal.platform import instances
from nutmeghook.standins import engine_settings
from nutmeghook.standins import memory_engine
from nutmeghook.standins import memory_instances
from nutmeghook.standins import memory_table
from nutmeghook.standins import memory_weights
from tests.cover import test_orders_planning as planning_case

SECOND = datetime.timedelta(seconds=1)
V1, V2 = planning_case.version(1), planning_case.version(2)
ROLL_OUT = planning_case.snapshot(v1="serving:99", v2="rolling_out:1")


class FakeLease(lease.Lease):
    """A lease that the test gives and takes."""

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
    """Counts how often it is asked."""

    asked = 0

    async def grant_download(self, model_version, address):
        self.asked += 1
        return await super().grant_download(model_version, address)


class Floor(engine.EngineConnector):
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
        """Returns an instance's part, with a lease of its own."""
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


def _run(scenario):
    asyncio.run(scenario())


class LoadTest(unittest.TestCase):
    """A version in roll-out gets its replicas, whatever fails meanwhile."""

    def test_it_is_loaded_where_it_was_not(self):
        async def scenario():
            floor = Floor(secret="s")
            await floor.run(floor.holder(FakeLease(7), secret="s"), 60)
            self.assertEqual(len(await floor.replicas(V2)), 2)
            self.assertEqual(floor.weights.asked, 2)
            self.assertEqual({r.fencing_token for r in floor.orders()}, {7})

        _run(scenario)

    def test_answer_or_request_of_an_order_lost(self):
        """An order's answer is lost, or the order itself.

        The holder can't tell which. It asks again under the same id: an
        engine that had it goes on, one that had not begins; neither loads
        twice, and the weight store is not asked for a second grant.
        """

        async def scenario(fault):
            floor = Floor(2)
            for one in floor.engines.values():
                setattr(one.faults, fault, 1)
            await floor.run(floor.holder(FakeLease(3)), 60)
            self.assertEqual(len(await floor.replicas(V2)), 2)
            self.assertEqual(floor.weights.asked, 2)
            ids = {record.order_id for record in floor.orders()}
            self.assertEqual(len(ids), 2)

        for fault in ("lose_next_answers", "lose_next_requests"):
            with self.subTest(fault):
                asyncio.run(scenario(fault))

    def test_holder_killed_while_engines_load(self):
        """A holder orders two loads, which take ten seconds, and dies.

        Reports don't show what is being loaded. Its successor can't know of
        the two, and must not bring about more replicas than wanted: it waits,
        reads back, and any order it gives meets the engine's own state.
        """

        async def scenario():
            floor = Floor(download_bytes_per_ms=0.2)
            table = memory_table.MemoryTable(clock=floor.clock)
            await floor.run(floor.instance(table, 1), 20)
            self.assertGreater(len(floor.orders()), 0)
            self.assertEqual(await floor.replicas(V2), [])
            await floor.run(floor.instance(table, 2), 120)
            tokens = {record.fencing_token for record in floor.orders()}
            self.assertEqual(len(tokens), 2)
            self.assertEqual(len(await floor.replicas(V2)), 2)
            loaded_on = {
                address
                for address, one in floor.engines.items()
                if any(r.target == str(V2) for r in one.orders)
            }
            self.assertEqual(len(loaded_on), 2)

        _run(scenario)

    def test_engines_die_or_hang_while_they_load(self):
        """All engines that were ordered to load die, or stop answering.

        They are as many as may load at once, and their orders stay open as
        far as the holder knows. The version must get its replicas on other
        engines, and not in a quarter of an hour.
        """

        async def scenario(**fault):
            floor = Floor(12, download_bytes_per_ms=0.2)
            config = planning_case.snapshot(v1="serving:95", v2="rolling_out:5")
            holder = floor.holder(FakeLease(3), config=config)
            await floor.run(holder, 40)
            victims = [one for one in floor.engines.values() if one.orders]
            self.assertEqual(len(victims), controller_module.LOADS_AT_ONCE)
            for one, (name, value) in itertools.product(victims, fault.items()):
                setattr(one.faults, name, value)
            await floor.run(holder, 200)
            self.assertEqual(len(await floor.replicas(V2)), 3)

        asyncio.run(scenario(down=True))
        asyncio.run(scenario(delay=3600 * SECOND))

    def test_engines_that_refuse_are_left_alone(self):
        """Two engines check who orders, and the secret is not theirs.

        They answer FORBIDDEN each time. The version must get its replicas
        elsewhere, and the two must not be asked again each pass.
        """

        async def scenario():
            floor = Floor()
            plan_first = floor.holder(FakeLease(3))
            await floor.run(plan_first, 30)
            first = set(await floor.replicas(V2))
            floor = Floor()
            for address in first:
                floor.engines[address].settings.secret = "other"
            await floor.run(floor.holder(FakeLease(3)), 90)
            replicas = set(await floor.replicas(V2))
            self.assertEqual(len(replicas), 2)
            self.assertFalse(replicas & first)
            for address in first:
                self.assertEqual(len(floor.engines[address].orders), 1)

        _run(scenario)

    def test_weight_store_out_then_limiting(self):
        """The weight store is out for a minute, then allows a grant in 10 s.

        Asking it again and again would use up, or prolong, what limits it.
        Loads come at the rate that it allows, and it is asked little more
        often than it grants.
        """

        async def scenario():
            floor = Floor(8, grants_per_s=0.1)
            floor.weights.faults.down = True
            config = planning_case.snapshot(
                v1="serving:50", v2="rolling_out:50"
            )
            holder = floor.holder(FakeLease(3), config=config)
            await floor.run(holder, 70)
            self.assertLessEqual(floor.weights.asked, 8)
            floor.weights.faults.down = False
            asked_before = floor.weights.asked
            await floor.run(holder, 220)
            self.assertEqual(len(await floor.replicas(V2)), 8)
            self.assertLessEqual(floor.weights.asked - asked_before, 20)

        _run(scenario)

    def test_an_accepted_roll_out_does_not_wait_for_the_next_pass(self):
        """A roll-out is accepted just after a pass over a large fleet.

        The next pass reads all reports again, and comes when that is
        affordable: here after 30 s. The loads must not wait for it.
        """

        async def scenario():
            floor = Floor(60)
            before = planning_case.snapshot(v1="serving:100")
            view = ChangingView(snapshot=before)
            holder = floor.holder(FakeLease(1), view=view)
            task = asyncio.ensure_future(holder.run())
            await floor.clock.advance(5 * SECOND)
            self.assertEqual(floor.weights.asked, 0)
            view.accept(msgspec.structs.replace(ROLL_OUT, revision=2))
            await floor.clock.advance(5 * SECOND)
            task.cancel()
            self.assertEqual(floor.weights.asked, 4)

        _run(scenario)

    def test_few_loads_at_once_one_grant_after_the_other(self):
        """Loads take minutes, and the weight store would grant all at once.

        Every engine that loads serves worse meanwhile, so few do at a time.
        """

        async def scenario():
            floor = Floor(8, grants_per_s=100.0, download_bytes_per_ms=0.1)
            config = planning_case.snapshot(
                v1="serving:50", v2="rolling_out:50"
            )
            holder = floor.holder(FakeLease(3), config=config)
            asked = []
            for _ in range(30):
                await floor.run(holder, 2)
                asked.append(floor.weights.asked)
            self.assertEqual(asked[-1], controller_module.LOADS_AT_ONCE)
            steps = [b - a for a, b in itertools.pairwise(asked)]
            # A grant a second at most, and two seconds between the samples.
            self.assertLessEqual(max(steps), 2)

        _run(scenario)


class HolderTest(unittest.TestCase):
    """Two instances believe that they hold the lease."""

    def test_paused_holder_meets_engines_that_check_the_token(self):
        """A holder is paused, another takes over, the first wakes.

        It still believes in its lease. The first engine that it orders has
        heard of the newer token and says so; it must not try the others.
        """

        async def scenario():
            floor = Floor()
            await floor.run(floor.holder(FakeLease(4)), 60)
            for one in floor.engines.values():
                await one.order(
                    engine.Order(
                        order_id="newer",
                        kind=engine.OrderKind.SET_ROLE,
                        target="any",
                        fencing_token=4,
                    )
                )
            other = planning_case.snapshot(v2="serving:100")
            late = floor.holder(FakeLease(3), config=other)
            await floor.run(late, 60)
            fenced = [
                r for r in floor.orders() if r.state is engine.OrderState.FENCED
            ]
            self.assertEqual(len(fenced), 1)
            self.assertEqual(len(await floor.replicas(V2)), 2)

        _run(scenario)

    def test_late_order_of_a_paused_holder_on_engines_that_ignore_tokens(self):
        """The order of a paused holder leaves its process minutes late.

        The engine ignores tokens and unloads a replica that is in use. With
        one such order under way at most, another replica is left; and the
        present holder reads back and loads again.
        """

        async def scenario():
            floor = Floor(honours_fencing=False)
            holder = floor.holder(FakeLease(2))
            await floor.run(holder, 60)
            address = (await floor.replicas(V2))[0]
            await floor.engines[address].order(
                engine.Order(
                    order_id="late",
                    kind=engine.OrderKind.UNLOAD,
                    target=str(V2),
                    fencing_token=1,
                )
            )
            await floor.clock.advance(1 * SECOND)
            self.assertEqual(len(await floor.replicas(V2)), 1)
            await floor.run(holder, 60)
            self.assertEqual(len(await floor.replicas(V2)), 2)

        _run(scenario)

    def test_lease_lapsing_within_a_pass_stops_the_orders(self):
        """The lease lapses while the holder waits for the weight store."""

        async def scenario():
            floor = Floor()
            held = FakeLease(3)
            holder = floor.holder(held)
            floor.weights.faults.delay = 2 * SECOND
            task = asyncio.ensure_future(holder.run())
            await floor.clock.advance(11 * SECOND)
            self.assertEqual(floor.weights.asked, 1)
            held.token = None
            await floor.clock.advance(60 * SECOND)
            task.cancel()
            self.assertEqual(floor.orders(), [])

        _run(scenario)

    def test_a_new_holder_first_waits_unless_there_was_none_before(self):
        async def scenario():
            floor = Floor()
            wait_s = controller_module.TAKE_OVER_WAIT / SECOND
            await floor.run(floor.holder(FakeLease(3)), wait_s - 1)
            self.assertEqual(floor.weights.asked, 0)
            first = FakeLease(controller_module.FIRST_TOKEN)
            await floor.run(floor.holder(first), 2)
            self.assertGreater(floor.weights.asked, 0)

        _run(scenario)


class UnloadTest(unittest.TestCase):
    """Withdrawn versions go, after their work."""

    def test_work_of_a_withdrawn_version_ends_first(self):
        """A version is withdrawn while an engine still generates with it.

        Its caller is to get the whole answer. Reports don't say which version
        the work is of; so the engine must have been idle, or the deadlines
        past, before the version is unloaded.
        """

        async def scenario():
            floor = Floor(3, step_ms=1000.0, mean_answer_tokens=400)
            busy = floor.engines["10.0.1.0:80"]
            chunks = []

            async def caller():
                async for chunk in busy.generate(
                    engine.Generation(
                        attempt_id="a1",
                        model_version=V1,
                        messages=(engine.Message(role="user", content="x"),),
                        max_tokens=40,
                    )
                ):
                    chunks.append(chunk)

            reading = asyncio.ensure_future(caller())
            config = planning_case.snapshot(v1="withdrawn", v2="serving:100")
            holder = floor.holder(FakeLease(3), config=config)
            await floor.run(holder, 35)
            kinds = {record.kind for record in busy.orders}
            self.assertNotIn(engine.OrderKind.UNLOAD, kinds)
            await floor.run(holder, 60)
            await reading
            self.assertEqual(sum(chunk.tokens for chunk in chunks), 40)
            self.assertEqual(await floor.replicas(V1), [])

        _run(scenario)

    def test_stale_configuration_unloads_nothing(self):
        """An instance cut off holds the lease of a store it can't reach.

        The withdrawal that it knows may have been taken back since.
        """

        async def scenario():
            floor = Floor(3)
            config = planning_case.snapshot(v1="withdrawn", v2="serving:100")
            holder = floor.holder(FakeLease(3), config=config, age_s=60)
            await floor.run(holder, 300)
            self.assertEqual(len(await floor.replicas(V1)), 3)
            self.assertEqual(len(await floor.replicas(V2)), 3)

        _run(scenario)

    def test_surplus_stays_for_a_while_then_goes_one_by_one(self):
        """A version's share went to zero, and it is still listed.

        Sessions may be pinned to it, so two replicas stay, and a third as a
        surplus too small to matter. The others go after five minutes, each
        after the one before it is read back as gone: then an order that
        arrives late takes one too many at most.
        """

        async def scenario():
            floor = Floor()
            for one in floor.engines.values():
                await one.order(
                    engine.Order(
                        order_id="before",
                        kind=engine.OrderKind.LOAD,
                        target=str(V2),
                        fencing_token=1,
                        ticket=await floor.weights.grant_download(V2, "any"),
                    )
                )
                await floor.clock.advance(1 * SECOND)
            await floor.clock.advance(20 * SECOND)
            config = planning_case.snapshot(v1="serving:100", v2="serving:0")
            holder = floor.holder(FakeLease(2), config=config)
            await floor.run(holder, 300)
            self.assertEqual(floor.orders(engine.OrderKind.UNLOAD), [])
            await floor.run(holder, 60)
            unloads = floor.orders(engine.OrderKind.UNLOAD)
            moments = sorted(record.received_ms for record in unloads)
            self.assertEqual(len(unloads), 3)
            gaps = [b - a for a, b in itertools.pairwise(moments)]
            self.assertGreaterEqual(min(gaps), 1000)
            self.assertEqual(len(await floor.replicas(V2)), 3)

        _run(scenario)
