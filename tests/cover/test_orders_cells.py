"""The holder of the orders' lease reads engines through routing's cells."""

import asyncio
import dataclasses
import datetime
import unittest

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.orders import cell_reports
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import report_pages
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cells as cells_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import load_tracker
from tests.cover import test_orders_planning as planning_case

SECOND = datetime.timedelta(seconds=1)
V1, V2 = planning_case.version(1), planning_case.version(2)
# More than fit into one cell of the region, so each data centre is a cell.
CENTRES = {"c0": 7, "c1": 2}


class Members(members_module.MemberView):
    """One member's view of all members; the test changes the list."""

    def __init__(self, number, everyone):
        self.number = number
        self.everyone = everyone

    @property
    def myself(self):
        return self.everyone[self.number]

    def members(self):
        return list(self.everyone)


class Engine:
    """Returns its report, unless it is dead."""

    def __init__(self):
        self.loaded = (V1,)
        self.running = 0
        self.dead = False

    def report(self):
        return engine.LoadReport(
            loaded=self.loaded, running=self.running, waiting=0, capacity=256
        )


class Router:
    """One instance: its directory and its cell reports."""

    def __init__(self, fleet, number):
        self.members = Members(number, fleet.members)
        self.directory = directory_module.BackendDirectory(
            clock=fleet.clock,
            events=events_module.EventRing(clock=fleet.clock),
            tracker=load_tracker.LoadTracker(clock=fleet.clock),
        )
        self.cells = cells_module.CellView(
            members=self.members, directory=self.directory
        )
        handlers = peers.PeerHandlers()
        address = self.members.myself.inner_address
        self.reports = cell_reports.CellReports(
            members=self.members,
            caller=fleet.network.attach(address, handlers),
            handlers=handlers,
            known=self.directory.known,
            clock=fleet.clock,
        )


class Fleet(engine.EngineConnector, instances.InstanceList):
    """Members in two data centres, and engines there and in others."""

    def __init__(self, **engines):
        self.clock = clock_module.FakeClock()
        self.network = local.LocalNetwork(clock=self.clock)
        self.members = []
        for centre, count in CENTRES.items():
            self.members += [
                member(len(self.members) + n, centre) for n in range(count)
            ]
        self.rows = [
            instances.ListedInstance(
                address=f"{centre}.{number}:80",
                role=instances.InstanceRole.MODEL_ENGINE,
                state=instances.InstanceState.LIVE,
                region="r",
                data_centre=centre,
                service="pool",
            )
            for centre, count in engines.items()
            for number in range(count)
        ]
        self.engines = {row.address: Engine() for row in self.rows}
        self.read_directly = []
        self.routers = [Router(self, n) for n in range(len(self.members))]
        self.reader = fleet_reading.FleetReader(
            instance_list=self,
            connector=self,
            clock=self.clock,
            reports=self.routers[0].reports,
        )
        self.poll()

    async def list_instances(self):
        return self.rows

    def connect(self, address):
        return Connection(self, address)

    def poll(self):
        """Gives each instance the reports of its cell, as routing does."""
        for router in self.routers:
            router.directory.apply_list(self.rows)
            router.cells.refresh()
            for backend in router.directory.known():
                one = self.engines[backend.address]
                is_local = backend.locality is backends.Locality.OWN_CELL
                if is_local and not one.dead:
                    router.directory.note_report(
                        backend,
                        one.report(),
                        measured_at=self.clock.monotonic(),
                    )

    async def read(self, **wanted):
        """Reads the fleet once; returns the loaded versions by address."""
        self.read_directly.clear()
        reading = asyncio.ensure_future(self.reader.read(**wanted))
        while not reading.done():
            await self.clock.advance(SECOND)
        return {view.address: view.loaded for view in reading.result()}

    def matches(self, reading):
        """Tells whether a reading matches the engines."""
        return reading == {
            address: None if one.dead else frozenset(one.loaded)
            for address, one in self.engines.items()
        }

    def addresses_in(self, centre):
        """Returns a data centre's engines."""
        return [r.address for r in self.rows if r.data_centre == centre]


@dataclasses.dataclass
class Connection:
    """One engine that the holder reads directly."""

    fleet: Fleet
    address: str

    async def load_report(self):
        self.fleet.read_directly.append(self.address)
        one = self.fleet.engines[self.address]
        if one.dead:
            raise failures.NotDoneError("refused")
        return one.report()


def member(number, centre):
    return members_module.Member(
        inner_address=f"10.0.0.{number}:7000",
        incarnation=str(number),
        region="r",
        data_centre=centre,
    )


def _run(scenario):
    asyncio.run(scenario())


class CellReportsTest(unittest.TestCase):
    """Each engine's state is known, by a cell or by a direct read."""

    def test_unchanged_pages_are_not_sent_again(self):
        async def scenario():
            fleet = Fleet(c0=40, c1=40)
            holder = fleet.members[0].inner_address
            traffic = fleet.network._traffic[holder]
            self.assertTrue(fleet.matches(await fleet.read()))
            first = traffic.kinds()["loaded_page"].received_bytes
            fleet.poll()
            self.assertTrue(fleet.matches(await fleet.read()))
            second = traffic.kinds()["loaded_page"].received_bytes - first
            self.assertLess(second, 40)
            fleet.engines[fleet.addresses_in("c1")[3]].loaded = (V1, V2)
            fleet.poll()
            self.assertTrue(fleet.matches(await fleet.read()))
            self.assertEqual(fleet.read_directly, [])

        _run(scenario)

    def test_a_data_centre_without_members(self):
        """The last members of a data centre died; its engines continue to run.

        No cell polls them, so the holder reads a limited number of them in
        each pass and keeps the earlier reports. A withdrawal that needs direct
        reads of all other engines must not starve them.
        """

        async def scenario(withdrawn):
            fleet = Fleet(c0=100, c2=100)
            fleet.engines[fleet.addresses_in("c2")[99]].dead = True
            for _ in range(4):
                fleet.poll()
                seen = await fleet.read(first_hand=withdrawn(fleet))
                self.assertLessEqual(
                    len(fleet.read_directly), fleet_reading.MAX_DIRECT_READS
                )
            self.assertTrue(fleet.matches(seen))

        asyncio.run(scenario(lambda fleet: frozenset()))
        asyncio.run(scenario(lambda fleet: frozenset(fleet.addresses_in("c0"))))

    def test_a_member_moves_to_another_data_centre(self):
        """A data centre's second last member is replaced in another one.

        Its cell changes, and its earlier page covers engines of another cell.
        Then the last member moves too.
        """

        async def scenario():
            fleet = Fleet(c0=10, c1=10, c2=10)
            await fleet.read()
            self.assertEqual(
                set(fleet.read_directly), set(fleet.addresses_in("c2"))
            )
            for number, unreported in ((7, []), (8, fleet.addresses_in("c1"))):
                fleet.members[number] = member(number, "c2")
                for address in fleet.addresses_in("c1"):
                    fleet.engines[address].loaded = (V1, V2)
                await fleet.clock.advance(report_pages.MAX_REPORT_AGE + SECOND)
                fleet.poll()
                self.assertTrue(fleet.matches(await fleet.read()))
                self.assertEqual(
                    sorted(fleet.read_directly), sorted(unreported)
                )

        _run(scenario)

    def test_silent_members(self):
        """The member that was asked hangs; another of its cell answers.

        The other is asked in the same pass, and first in the next. When both
        are silent, the holder reads their engines directly.
        """

        async def scenario(first, second):
            fleet = Fleet(c0=10, c1=10)
            fleet.network.freeze(fleet.members[first].inner_address)
            for _ in range(2):
                costs.append(fleet.reader.cost)
                self.assertTrue(fleet.matches(await fleet.read()))
                self.assertEqual(fleet.read_directly, [])
            self.assertEqual(fleet.reader.cost, fleet_reading.CALL_COST)
            fleet.network.freeze(fleet.members[second].inner_address)
            self.assertTrue(fleet.matches(await fleet.read()))
            self.assertEqual(
                set(fleet.read_directly), set(fleet.addresses_in("c1"))
            )

        costs = []
        asyncio.run(scenario(7, 8))
        asyncio.run(scenario(8, 7))
        # One of the two scenarios freezes the member that is asked first.
        calls = [(c - fleet_reading.PAGE_COST) for c in costs[1::2]]
        one = fleet_reading.CALL_COST
        self.assertEqual(sorted(calls), [one, 2 * one])

    def test_an_older_page_does_not_hide_what_an_order_did(self):
        """A direct read shows a load; the cell has not polled since.

        By the cell's older page the load would be ordered again on another
        engine, and an engine that the direct read found dead would count as a
        replica.
        """

        async def scenario():
            fleet = Fleet(c0=5, c1=5)
            loading, dying = fleet.addresses_in("c1")[:2]
            await fleet.clock.advance(SECOND)
            fleet.engines[loading].loaded = (V1, V2)
            fleet.engines[dying].dead = True
            seen = await fleet.read(urgent=frozenset({loading, dying}))
            self.assertTrue(fleet.matches(seen))
            self.assertTrue(fleet.matches(await fleet.read()))
            fleet.engines[loading].loaded = (V1,)
            # A page is as old as its oldest report, here the dead engine's.
            await fleet.clock.advance(report_pages.MAX_REPORT_AGE)
            fleet.poll()
            self.assertEqual((await fleet.read())[loading], {V1})

        _run(scenario)

    def test_an_engine_that_stopped_reporting_is_no_replica(self):
        """An engine dies; its cell's directories keep its last report."""

        async def scenario():
            fleet = Fleet(c0=5, c1=5)
            for address in (
                fleet.addresses_in("c0")[0],
                fleet.addresses_in("c1")[0],
            ):
                fleet.engines[address].dead = True
            await fleet.clock.advance(report_pages.MAX_REPORT_AGE + SECOND)
            fleet.poll()
            self.assertTrue(fleet.matches(await fleet.read()))
            self.assertEqual(len(fleet.read_directly), 2)

        _run(scenario)

    def test_second_hand_reports_show_no_engine_as_idle(self):
        """A withdrawn version's last generation runs alone on an engine.

        Load digests round one of 256 slots to zero. If the engine counted as
        idle, the version would be unloaded while it generates.
        """

        async def scenario():
            fleet = Fleet(c0=2, c1=2)
            views = await fleet.reader.read()
            self.assertFalse(any(view.idle for view in views))
            every = frozenset(fleet.engines)
            fleet.engines[fleet.addresses_in("c1")[0]].running = 1
            await fleet.clock.advance(SECOND)
            views = await fleet.reader.read(first_hand=every)
            self.assertEqual([v.idle for v in views], [True, True, False, True])

        _run(scenario)
