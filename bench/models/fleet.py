"""Many routers before many replicas, with reports that come late."""

import abc
from collections.abc import Callable
import dataclasses
import datetime
import random

from bench.models import baselines
from bench.models import replicas
from bench.models import simulation
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.platform import engine
from nutmeghook.internal.platform import instances
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cells as cells_module
from nutmeghook.internal.routing import chooser as chooser_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import ejection
from nutmeghook.internal.routing import load_book
from nutmeghook.internal.routing import load_digests
from nutmeghook.internal.routing import poller

VERSION = engine.ModelVersion(model="inspection", version="3")
REPORT_LAG_S = 1.0
NETWORK_S = 0.002
# By then each replica was heard of, as by an instance that says it is ready.
TRAFFIC_STARTS_S = 8.0
# An answer's tokens: lookups, checks and a few reviews; 214 in the mean, as
# 1.8 million tokens and 8,400 requests a second give.
TOKENS_OF_KIND = (90, 300, 1500)
SHARE_OF_KIND = (0.70, 0.25, 0.05)
TOKEN_S = 0.034
MEAN_WORK_S = TOKEN_S * sum(
    tokens * share
    for tokens, share in zip(TOKENS_OF_KIND, SHARE_OF_KIND, strict=True)
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Shape:
    """A fleet and its traffic.

    Attributes:
        bursts: Traffic goes between 1.6 times its mean, for 3 s in the mean,
            and 0.7 times, for 6 s; else it is Poisson at one rate.
        reports_stop_s: Time from which no report arrives any more.
    """

    routers: int
    replicas: int
    capacity: int
    bursts: bool
    load_share: float = 0.8
    warm_up_s: float = 60.0
    duration_s: float = 240.0
    reports_stop_s: float = float("inf")


class Router(abc.ABC):
    """One router with its own knowledge.

    Attributes:
        chooser: Its policy.
    """

    chooser: backends.BackendChooser

    @abc.abstractmethod
    def take_report(
        self, number: int, report: engine.LoadReport, measured_s: float
    ) -> None:
        """Takes in a replica's report."""

    @abc.abstractmethod
    def start(self, fleet: "Fleet") -> None:
        """Starts what the router does by itself."""


class BaselineRouter(Router):
    """A router with one of the usual policies."""

    def __init__(
        self,
        *,
        shape: Shape,
        rule: baselines.Rule,
        rng: random.Random,
    ):
        self._backends = [
            backends.Backend(
                address=address_of(number),
                region="r",
                data_centre="r-1",
                service="engines",
            )
            for number in range(shape.replicas)
        ]
        self.chooser = baselines.BaselineChooser(
            candidates=self._backends, rule=rule, rng=rng
        )

    def start(self, fleet: "Fleet") -> None:
        """Does nothing by itself."""

    def take_report(
        self, number: int, report: engine.LoadReport, measured_s: float
    ) -> None:
        """Keeps it for the rule."""
        self._backends[number].report = report


class ProductRouter(Router):
    """The product's own parts; only its digests' way is modelled.

    A digest reaches the peers of the cell after the network's delay, as
    often as the product's budget of bytes allows. With `shares` False the
    router tells its peers nothing.
    """

    def __init__(
        self,
        *,
        number: int,
        shape: Shape,
        clock: simulation.Simulation,
        rng: random.Random,
        shares: bool = True,
    ):
        self.address = inner_address_of(number)
        self._clock = clock
        self._shares = shares
        self._book = load_book.LoadBook(clock=clock)
        events = events_module.EventRing(clock=clock, capacity_events=16)
        self.directory = directory_module.BackendDirectory(
            clock=clock, events=events, book=self._book
        )
        self.directory.apply_list(
            [listed(number) for number in range(shape.replicas)]
        )
        self._cells = cells_module.CellView(
            members=members_module.FixedMemberView(
                myself=member(number),
                others=tuple(
                    member(n) for n in range(shape.routers) if n != number
                ),
            ),
            directory=self.directory,
        )
        self._told: dict[str, int] = {}
        self.digests = 0
        self.chooser = chooser_module.LeastLoadedChooser(
            directory=self.directory,
            book=self._book,
            ejector=ejection.OutlierEjector(
                directory=self.directory, clock=clock, events=events
            ),
            sharer=None,
            clock=clock,
            rng=rng,
        )

    def start(self, fleet: "Fleet") -> None:
        """Begins to send digests to the peers of the cell."""
        self._cells.refresh()
        peers = [
            router
            for router in fleet.routers
            if router.address in self._cells.cell.peers
        ]
        if self._shares:
            self._tell(peers)
        self._clock.call_every(1.0, self._cells.refresh, first_s=1.0)
        self._clock.call_every(
            poller.STRANGER_PERIOD.total_seconds(),
            lambda: self._poll_stranger(fleet),
            first_s=fleet.rng.random(),
        )

    def take_report(
        self, number: int, report: engine.LoadReport, measured_s: float
    ) -> None:
        """Gives the directory what the cell's pollers would have brought."""
        backend = self.directory.find(address_of(number))
        if backend.nearness is backends.Nearness.OWN_CELL:
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

    def _poll_stranger(self, fleet: "Fleet") -> None:
        """Polls a replica of another cell, as the product's poller does."""
        strangers = [
            b
            for b in self.directory.known()
            if b.nearness is not backends.Nearness.OWN_CELL
        ]
        if not strangers:
            return
        backend = fleet.rng.choice(strangers)
        report = report_of(fleet.by_address[backend.address])
        measured_s = self._clock.now_s
        self._clock.call_at(
            measured_s + REPORT_LAG_S,
            lambda: self._note_report(backend, report, measured_s),
        )

    def hear(self, changes: dict[str, int]) -> None:
        """Takes in a peer's digest."""
        for address, change in changes.items():
            self._book.note_peers(self.directory.find(address), change)

    def _tell(self, peers: list["ProductRouter"]) -> None:
        changes = {}
        for backend in self.directory.known():
            change = backend.in_flight - self._told.get(backend.address, 0)
            if change:
                changes[backend.address] = change
                self._told[backend.address] = backend.in_flight
        now_s = self._clock.now_s
        if changes:
            self.digests += 1
            for peer in peers:
                self._clock.call_at(
                    now_s + NETWORK_S, lambda peer=peer: peer.hear(changes)
                )
        period = load_digests.period_for(
            peers=len(peers), entries=len(changes), reports=0
        )
        self._clock.call_at(
            now_s + period.total_seconds(), lambda: self._tell(peers)
        )


class Fleet:
    """Runs routers and replicas on a virtual clock and notes the waits.

    Attributes:
        waits_s: Time that each request stood before a batch.
        unevenness: At each sample, the largest queue over the mean one.
    """

    def __init__(
        self,
        *,
        shape: Shape,
        seed: int,
        build_router: Callable[["Fleet", int], Router],
    ):
        self.shape = shape
        self.simulation = simulation.Simulation()
        self.rng = random.Random(seed)
        # The traffic's own, so that every policy meets the same requests.
        self._traffic_rng = random.Random(f"traffic {seed}")
        self.replicas = [
            replicas.Replica(
                simulation=self.simulation, capacity=shape.capacity
            )
            for _ in range(shape.replicas)
        ]
        self.by_address = {
            address_of(number): replica
            for number, replica in enumerate(self.replicas)
        }
        self.routers = [build_router(self, n) for n in range(shape.routers)]
        self.waits_s: list[float] = []
        self.unevenness: list[float] = []
        self._rate_factor = 1.0
        self._rate_per_s = (
            shape.load_share * shape.replicas * shape.capacity / MEAN_WORK_S
        )

    def run(self) -> None:
        """Runs for the shape's duration."""
        for router in self.routers:
            router.start(self)
        for number in range(self.shape.replicas):
            self._send_report(number)
            first_s = self.rng.random() * self._report_period_s()
            self.simulation.call_every(
                self._report_period_s(),
                lambda number=number: self._send_report(number),
                first_s=first_s,
            )
        if self.shape.bursts:
            self._switch_rate()
        self.simulation.call_every(0.5, self._sample, first_s=0.0)
        self.simulation.call_at(TRAFFIC_STARTS_S, self._arrive)
        self.simulation.run_until(self.shape.duration_s)

    def _report_period_s(self) -> float:
        """Returns how often a report is polled at this size."""
        polled = self.shape.replicas // self.shape.routers
        return poller.report_period(polled).total_seconds()

    def _send_report(self, number: int) -> None:
        replica = self.replicas[number]
        report = report_of(replica)
        measured_s = self.simulation.now_s
        if measured_s >= self.shape.reports_stop_s:
            return

        def arrive() -> None:
            for router in self.routers:
                router.take_report(number, report, measured_s)

        self.simulation.call_at(measured_s + REPORT_LAG_S, arrive)

    def _switch_rate(self) -> None:
        in_burst = self._rate_factor > 1.0
        self._rate_factor = 0.7 if in_burst else 1.6
        mean_s = 6.0 if in_burst else 3.0
        self.simulation.call_at(
            self.simulation.now_s + self._traffic_rng.expovariate(1 / mean_s),
            self._switch_rate,
        )

    def _sample(self) -> None:
        if self.simulation.now_s < self.shape.warm_up_s:
            return
        loads = [replica.load for replica in self.replicas]
        mean = sum(loads) / len(loads)
        self.unevenness.append(max(loads) / max(mean, 1.0))

    def _arrive(self) -> None:
        rng = self._traffic_rng
        now_s = self.simulation.now_s
        gap_s = rng.expovariate(self._rate_per_s * self._rate_factor)
        self.simulation.call_at(now_s + gap_s, self._arrive)
        chooser = rng.choice(self.routers).chooser
        kind_tokens = rng.choices(TOKENS_OF_KIND, SHARE_OF_KIND)[0]
        work_s = TOKEN_S * kind_tokens * rng.uniform(0.5, 1.5)
        backend = chooser.choose(backends.BackendNeed(model_version=VERSION))
        chooser.started(backend)
        job = replicas.Job(arrived_s=now_s, work_s=work_s)
        job.done = lambda: self._end(chooser, backend, job)
        self.by_address[backend.address].arrive(job)

    def _end(
        self,
        chooser: backends.BackendChooser,
        backend: backends.Backend,
        job: replicas.Job,
    ) -> None:
        chooser.finished(
            backend,
            outcome=backends.AttemptOutcome.ANSWERED,
            duration=datetime.timedelta(
                seconds=self.simulation.now_s - job.arrived_s
            ),
        )
        if job.arrived_s >= self.shape.warm_up_s:
            self.waits_s.append(job.waited_s)


def report_of(replica: replicas.Replica) -> engine.LoadReport:
    """Returns what a replica says of its load now."""
    return engine.LoadReport(
        loaded=(VERSION,),
        running=replica.running,
        waiting=replica.waiting,
        capacity=replica.capacity,
    )


def address_of(number: int) -> str:
    """Returns a replica's address."""
    return f"10.1.{number // 250}.{number % 250}:8000"


def inner_address_of(number: int) -> str:
    """Returns a router's address."""
    return f"10.0.{number // 250}.{number % 250}:7000"


def listed(number: int) -> instances.ListedInstance:
    """Returns a replica's row of the instance list."""
    return instances.ListedInstance(
        address=address_of(number),
        role=instances.InstanceRole.MODEL_ENGINE,
        state=instances.InstanceState.LIVE,
        region="r",
        data_centre="r-1",
        service="engines",
    )


def member(number: int) -> members_module.Member:
    """Returns a router as a member."""
    return members_module.Member(
        inner_address=inner_address_of(number),
        incarnation=str(number),
        region="r",
        data_centre="r-1",
    )
