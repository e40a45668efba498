"""Simulated routers with baseline policies or the product's own."""

import abc
import datetime
import random

from bench.models import baselines
from bench.models import fleet_parts
from bench.models import replicas
from bench.models import simulation
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cells as cells_module
from nutmeghook.internal.routing import chooser as chooser_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import ejection
from nutmeghook.internal.routing import load_digests
from nutmeghook.internal.routing import load_tracker
from nutmeghook.internal.routing import poller


class RouterEnvironment(abc.ABC):
    """The parts of the fleet that a router can reach.

    Attributes:
        rng: Randomness for everything but the traffic.
        routers: All routers of the fleet, including the router itself.
        by_address: The replicas by address.
    """

    rng: random.Random
    routers: list["Router"]
    by_address: dict[str, replicas.Replica]


class Router(abc.ABC):
    """One router with its own view of the load.

    Attributes:
        chooser: Its policy.
    """

    chooser: backends.BackendChooser

    @abc.abstractmethod
    def receive_report(
        self, number: int, report: engine.LoadReport, measured_s: float
    ) -> None:
        """Receives a replica's load report."""

    @abc.abstractmethod
    def start(self, fleet: RouterEnvironment) -> None:
        """Starts the router's periodic tasks."""


class BaselineRouter(Router):
    """A router with a baseline policy."""

    def __init__(
        self,
        *,
        shape: fleet_parts.Shape,
        rule: baselines.Rule,
        rng: random.Random,
    ):
        self._backends = [
            backends.Backend(
                address=fleet_parts.address_of(number),
                region="r",
                data_centre="r-1",
                service="engines",
            )
            for number in range(shape.replicas)
        ]
        self.chooser = baselines.BaselineChooser(
            candidates=self._backends, rule=rule, rng=rng
        )

    def start(self, fleet: RouterEnvironment) -> None:
        """Has no periodic tasks."""

    def receive_report(
        self, number: int, report: engine.LoadReport, measured_s: float
    ) -> None:
        """Stores it for the rule."""
        self._backends[number].report = report


class ProductRouter(Router):
    """A router built of the product's parts; only gossip is simulated.

    A digest reaches the peers of the cell after the network's delay, as
    often as the product's byte budget allows. With `gossips` False the router
    sends no digests.
    """

    def __init__(
        self,
        *,
        number: int,
        shape: fleet_parts.Shape,
        clock: simulation.Simulation,
        rng: random.Random,
        gossips: bool = True,
    ):
        self.address = fleet_parts.inner_address_of(number)
        self._clock = clock
        self._gossips = gossips
        self._tracker = load_tracker.LoadTracker(clock=clock)
        events = events_module.EventRing(clock=clock, capacity_events=16)
        self.directory = directory_module.BackendDirectory(
            clock=clock, events=events, tracker=self._tracker
        )
        self.directory.apply_list(
            [fleet_parts.listed(number) for number in range(shape.replicas)]
        )
        self._cells = cells_module.CellView(
            members=members_module.FixedMemberView(
                myself=fleet_parts.member(number),
                others=tuple(
                    fleet_parts.member(n)
                    for n in range(shape.routers)
                    if n != number
                ),
            ),
            directory=self.directory,
        )
        self._reported_in_flight: dict[str, int] = {}
        self.digests_sent = 0
        self.chooser = chooser_module.LeastLoadedChooser(
            directory=self.directory,
            tracker=self._tracker,
            ejector=ejection.OutlierEjector(
                directory=self.directory, clock=clock, events=events
            ),
            gossiper=None,
            clock=clock,
            rng=rng,
        )

    def start(self, fleet: RouterEnvironment) -> None:
        """Starts sending digests to the peers of its cell."""
        self._cells.refresh()
        peers = [
            router
            for router in fleet.routers
            if router.address in self._cells.cell.peers
        ]
        if self._gossips:
            self._send_digest(peers)
        self._clock.call_every(1.0, self._cells.refresh, first_s=1.0)
        self._clock.call_every(
            poller.REMOTE_REPORT_PERIOD.total_seconds(),
            lambda: self._poll_other_cell(fleet),
            first_s=fleet.rng.random(),
        )

    def receive_report(
        self, number: int, report: engine.LoadReport, measured_s: float
    ) -> None:
        """Applies a report that a poller of the cell would have fetched."""
        backend = self.directory.find(fleet_parts.address_of(number))
        if backend.locality is backends.Locality.OWN_CELL:
            self._note_report(backend, report, measured_s)

    def _note_report(
        self,
        backend: backends.Backend,
        report: engine.LoadReport,
        measured_s: float,
    ) -> None:
        self.directory.note_report(
            backend,
            report,
            measured_at=datetime.timedelta(seconds=measured_s),
        )

    def _poll_other_cell(self, fleet: RouterEnvironment) -> None:
        """Polls a replica of another cell, as the product's poller does."""
        other_cells = [
            b
            for b in self.directory.known()
            if b.locality is not backends.Locality.OWN_CELL
        ]
        if not other_cells:
            return
        backend = fleet.rng.choice(other_cells)
        report = fleet_parts.report_of(fleet.by_address[backend.address])
        measured_s = self._clock.now_s
        self._clock.call_at(
            measured_s + fleet_parts.REPORT_DELAY_S,
            lambda: self._note_report(backend, report, measured_s),
        )

    def receive_digest(self, changes: dict[str, int]) -> None:
        """Applies a peer's digest."""
        for address, change in changes.items():
            self._tracker.note_peers(self.directory.find(address), change)

    def _send_digest(self, peers: list["ProductRouter"]) -> None:
        changes = {}
        for backend in self.directory.known():
            change = backend.in_flight - self._reported_in_flight.get(
                backend.address, 0
            )
            if change:
                changes[backend.address] = change
                self._reported_in_flight[backend.address] = backend.in_flight
        now_s = self._clock.now_s
        if changes:
            self.digests_sent += 1
            for peer in peers:
                self._clock.call_at(
                    now_s + fleet_parts.NETWORK_DELAY_S,
                    lambda peer=peer: peer.receive_digest(changes),
                )
        period = load_digests.period_for(
            peers=len(peers), entries=len(changes), reports=0
        )
        self._clock.call_at(
            now_s + period.total_seconds(), lambda: self._send_digest(peers)
        )
