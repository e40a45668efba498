"""Cells and the load gossip between the instances of a cell."""

import asyncio
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cells
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import load_digests
from nutmeghook.internal.routing import load_tracker
from nutmeghook.internal.routing import service

VERSION = engine.ModelVersion(model="m", version="1")
REPORT = engine.LoadReport(loaded=(VERSION,), running=0, waiting=0, capacity=16)


def member(number):
    return members_module.Member(
        inner_address=f"10.0.0.{number}:7000",
        incarnation=str(number),
        region="r",
        data_centre="r-0",
    )


def view(number, count):
    return members_module.FixedMemberView(
        myself=member(number),
        others=tuple(member(n) for n in range(count) if n != number),
    )


def row(number):
    return instances.ListedInstance(
        address=f"10.1.0.{number}:8000",
        role=instances.InstanceRole.MODEL_ENGINE,
        state=instances.InstanceState.LIVE,
        region="r",
        data_centre="r-0",
        service="engines",
    )


class CellTest(unittest.TestCase):
    """Every instance computes its cell by itself."""

    @hypothesis.settings(max_examples=15)
    @hypothesis.given(
        members=strategies.integers(1, 30), engines=strategies.integers(1, 40)
    )
    def test_cells_cover_all_and_one_instance_polls_each(
        self, members, engines
    ):
        """Each instance computes its cell alone, from what it knows.

        It knows more of the engines in its cell than of others. Each engine
        must be in a cell, cells must be mutual, and in each cell one instance
        must poll each engine's report, or callers would queue at few replicas
        while others are idle.
        """
        views = [_CellView(n, members, engines) for n in range(members)]
        by_address = {
            member(n).inner_address: view for n, view in enumerate(views)
        }
        for address, view in by_address.items():
            self.assertEqual(view.own(), view.before_reports)
            self.assertLessEqual(len(view.cells.cell.peers), 9)
            for peer in view.cells.cell.peers:
                self.assertIn(address, by_address[peer].cells.cell.peers)
        for number in range(engines):
            holders = [v.index for v in views if v.holds(number)]
            pollers = [v.index for v in views if v.polls(number)]
            self.assertTrue(holders)
            self.assertEqual(sorted(pollers), sorted(set(holders)))


class _CellView:
    """One instance's cell, with reports of the engines in it."""

    def __init__(self, number, members, engines):
        clock = clock_module.FakeClock()
        self.directory = directory_module.BackendDirectory(
            clock=clock,
            events=events_module.EventRing(clock=clock),
            tracker=load_tracker.LoadTracker(clock=clock),
        )
        self.directory.apply_list([row(n) for n in range(engines)])
        self.cells = cells.CellView(
            members=view(number, members), directory=self.directory
        )
        self.cells.refresh()
        self.before_reports = self.own()
        for backend in self.before_reports:
            self.directory.note_report(
                backend, REPORT, measured_at=clock.monotonic()
            )
        self.cells.refresh()
        self.index = self.cells.cell.index

    def own(self):
        return list(filter(_in_own_cell, self.directory.known()))

    def holds(self, number):
        return _in_own_cell(self.directory.find(row(number).address))

    def polls(self, number):
        return self.cells.polls(self.directory.find(row(number).address))


def _in_own_cell(backend):
    return backend.locality is backends.Locality.OWN_CELL


class _Engine:
    """Gives everybody the same load report, or fails."""

    def __init__(self):
        self.report = REPORT

    async def load_report(self):
        if self.report is None:
            raise failures.NotDoneError("refused")
        return self.report


class _Platform(engine.EngineConnector, instances.InstanceList):
    """Engines and their list."""

    def __init__(self, count):
        self.rows = [row(n) for n in range(count)]
        self.engines = {r.address: _Engine() for r in self.rows}

    def connect(self, address):
        return self.engines[address]

    async def list_instances(self):
        return self.rows


class _CountingCaller(peers.PeerCaller):
    """Counts the bytes of what it sends, with TCP's and IP's headers."""

    def __init__(self, caller):
        self.caller = caller
        self.sent_bytes = 0

    async def call(self, inner_address, request, *, timeout):
        encoded = codec.encode(request, sequence=1, wants_reply=True)
        self.sent_bytes += len(encoded.data) + 40
        return await self.caller.call(inner_address, request, timeout=timeout)


class LoadGossipTest(unittest.IsolatedAsyncioTestCase):
    """Instances of one cell over a network that can be cut."""

    async def asyncSetUp(self):
        self.clock = clock_module.FakeClock()
        self.network = local.LocalNetwork(clock=self.clock)
        self.platform = _Platform(6)
        self.callers = []
        self.routings = [self.build(n) for n in range(4)]
        self.tasks = [asyncio.create_task(r.run()) for r in self.routings]
        await self.advance(3)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def build(self, number):
        handlers = peers.PeerHandlers()
        caller = _CountingCaller(
            self.network.attach(member(number).inner_address, handlers)
        )
        self.callers.append(caller)
        return service.build_backend_routing(
            clock=self.clock,
            events=events_module.EventRing(clock=self.clock),
            members=view(number, 4),
            caller=caller,
            handlers=handlers,
            instance_list=self.platform,
            connector=self.platform,
            rng=random.Random(number),
        )

    async def advance(self, seconds):
        await self.clock.advance(datetime.timedelta(seconds=seconds))

    def start(self, number, address):
        routing = self.routings[number]
        routing.chooser.started(routing.directory.find(address))

    async def test_ready_only_when_half_of_the_engines_are_known(self):
        """An instance starts while one engine of six reports.

        It must not be ready until more do, or all work would queue at the
        first replicas that reported.
        """
        reports = {a: e.report for a, e in self.platform.engines.items()}
        for address in list(reports)[1:]:
            self.platform.engines[address].report = None
        self.network = local.LocalNetwork(clock=self.clock)
        late = self.build(0)
        self.assertFalse(late.is_ready())
        self.tasks.append(asyncio.create_task(late.run()))
        await self.advance(4)
        self.assertFalse(late.is_ready())

    async def test_reports_polled_by_one_reach_all(self):
        criteria = backends.BackendCriteria(model_version=VERSION)
        for routing in self.routings:
            self.assertTrue(routing.is_ready())
            self.assertEqual(len(routing.directory.pool(criteria)), 6)

    async def test_peers_agree_after_a_partition(self):
        """Two partitioned instances send attempts to the same replica.

        After the partition heals, each must know of the other's, or callers
        would wait behind work unknown to their instance.
        """
        address = row(2).address
        self.start(0, address)
        await self.advance(1)
        self.network.cut_both_ways(
            member(0).inner_address, member(1).inner_address
        )
        self.start(0, address)
        self.start(1, address)
        await self.advance(2)
        known = [r.directory.find(address) for r in self.routings]
        self.assertEqual([b.peers_in_flight for b in known], [0, 1, 3, 3])
        self.network.heal_all()
        await self.advance(3)
        self.assertEqual([b.peers_in_flight for b in known], [1, 2, 3, 3])

    async def test_load_of_a_silent_peer_is_dropped(self):
        """An instance dies with attempts in flight, whose end nobody reports.

        After a few seconds they must not count any more, or the replica would
        count as busy for ever and get no work.
        """
        self.start(3, row(2).address)
        await self.advance(1)
        known = self.routings[0].directory.find(row(2).address)
        self.assertEqual(known.peers_in_flight, 1)
        self.tasks[3].cancel()
        await self.advance(8)
        self.assertEqual(known.peers_in_flight, 0)

    async def test_leaving_reported_to_one_is_known_to_all_in_3_s(self):
        leaving = engine.LoadReport(
            loaded=(VERSION,), running=0, waiting=0, capacity=16, leaving=True
        )
        self.platform.engines[row(2).address].report = leaving
        await self.advance(3)
        for routing in self.routings:
            self.assertTrue(routing.directory.find(row(2).address).leaving)

    async def test_leaving_reported_with_an_answer_is_known_to_all(self):
        routing = self.routings[0]
        backend = routing.directory.find(row(4).address)
        self.platform.engines[backend.address].report = None
        routing.chooser.started(backend)
        routing.chooser.finished(
            backend,
            outcome=backends.AttemptOutcome.ANSWERED,
            duration=datetime.timedelta(seconds=1),
            report=engine.LoadReport(
                loaded=(VERSION,),
                running=0,
                waiting=0,
                capacity=16,
                leaving=True,
            ),
        )
        await self.advance(1)
        for other in self.routings:
            self.assertTrue(other.directory.find(row(4).address).leaving)

    async def test_digests_keep_the_budget_of_bytes(self):
        before = self.callers[0].sent_bytes
        for _ in range(80):
            for number in range(3):
                self.start(0, row(number).address)
            await self.advance(0.1)
        sent = self.callers[0].sent_bytes - before
        self.assertGreater(sent / 8, load_digests.BUDGET_BYTES_PER_S / 4)
        self.assertLess(sent / 8, load_digests.BUDGET_BYTES_PER_S)
