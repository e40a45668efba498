"""Backend servers that leave, with a delayed list and delayed reports."""

import asyncio
import dataclasses
import datetime
import random

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import service

VERSION = engine.ModelVersion(model="inspection", version="3")
BACKENDS = 4
ROUTERS = 3
# Each router sends one request in each step.
STEP_S = 0.1
WARM_UP_S = 4.0
OBSERVED_S = 8.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """How one backend server leaves, and when that becomes visible.

    Attributes:
        plain: It is a plain service, not a model engine.
        list_lag_s: Delay until the list shows that it leaves.
        report_lag_s: Delay until its reports show it; None for never.
        refuses: It refuses new work as leaving.
        dead: It crashes: it no longer answers and never reports that it
            leaves.
    """

    name: str
    plain: bool = False
    list_lag_s: float = 1.5
    report_lag_s: float | None = 1.0
    refuses: bool = False
    dead: bool = False


class _Engine:
    """The load reports of one engine."""

    def __init__(self, *, platform: "Platform", address: str):
        self._platform = platform
        self._address = address

    async def load_report(self) -> engine.LoadReport:
        """Returns a report, or fails if the engine is dead."""
        platform = self._platform
        leaves = self._address == platform.rows[0].address
        if (
            leaves
            and platform.scenario.dead
            and platform.since_leaving_s() >= 0
        ):
            raise failures.NotDoneError("connection refused")
        lag_s = platform.scenario.report_lag_s
        shown = lag_s is not None and platform.since_leaving_s() >= lag_s
        return engine.LoadReport(
            loaded=(VERSION,),
            running=0,
            waiting=0,
            capacity=16,
            leaving=leaves and shown and not platform.scenario.dead,
        )


class Platform(engine.EngineConnector, instances.InstanceList):
    """The platform's list and its backend servers, one of which leaves."""

    def __init__(
        self,
        *,
        scenario: Scenario,
        clock: clock_module.FakeClock,
        leaves_at_s: float,
    ):
        self.scenario = scenario
        self._clock = clock
        self._leaves_at_s = leaves_at_s
        self.rows = [_row(n, plain=scenario.plain) for n in range(BACKENDS)]

    def since_leaving_s(self) -> float:
        """Returns the seconds since it began to leave; negative before."""
        return self._clock.monotonic().total_seconds() - self._leaves_at_s

    def connect(self, address: str) -> engine.Engine:
        """Returns the engine at an address."""
        return _Engine(platform=self, address=address)

    async def list_instances(self) -> list[instances.ListedInstance]:
        """Returns the list, delayed by `list_lag_s`."""
        if self.since_leaving_s() < self.scenario.list_lag_s:
            return self.rows
        if self.scenario.dead:
            return self.rows[1:]
        leaving = _row(0, plain=self.scenario.plain, leaving=True)
        return [leaving, *self.rows[1:]]

    def outcome_at(self, address: str) -> backends.AttemptOutcome:
        """Returns how an attempt ends."""
        leaves = address == self.rows[0].address and self.since_leaving_s() >= 0
        if leaves and self.scenario.dead:
            return backends.AttemptOutcome.UNREACHABLE
        if leaves and self.scenario.refuses:
            return backends.AttemptOutcome.REFUSED_LEAVING
        return backends.AttemptOutcome.ANSWERED


@dataclasses.dataclass(slots=True, kw_only=True)
class SendsAfterLeaving:
    """Attempts sent to the backend server after it began to leave.

    Attributes:
        last_s: Time from the beginning to the last attempt.
        attempts: Number of attempts.
    """

    last_s: float = 0.0
    attempts: int = 0


async def run_scenario(
    scenario: Scenario, *, leaves_at_s: float
) -> SendsAfterLeaving:
    """Runs the routers before, during and after the backend server leaves."""
    clock = clock_module.FakeClock()
    network = local.LocalNetwork(clock=clock)
    platform = Platform(scenario=scenario, clock=clock, leaves_at_s=leaves_at_s)
    routers = [
        _router(number, platform=platform, clock=clock, network=network)
        for number in range(ROUTERS)
    ]
    tasks = [asyncio.create_task(router.run()) for router in routers]
    sends = SendsAfterLeaving()
    try:
        for _ in range(round((leaves_at_s + OBSERVED_S) / STEP_S)):
            await clock.advance(datetime.timedelta(seconds=STEP_S))
            for router in routers:
                _send(router, platform, sends)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return sends


def _send(
    router: service.BackendRouting, platform: Platform, sends: SendsAfterLeaving
) -> None:
    if platform.scenario.plain:
        criteria = backends.BackendCriteria(service="registry")
    else:
        criteria = backends.BackendCriteria(model_version=VERSION)
    backend = router.chooser.choose(criteria)
    if backend is None:
        return
    since_leaving_s = platform.since_leaving_s()
    if backend.address == platform.rows[0].address and since_leaving_s >= 0:
        sends.last_s = since_leaving_s
        sends.attempts += 1
    router.chooser.started(backend)
    router.chooser.finished(
        backend,
        outcome=platform.outcome_at(backend.address),
        duration=datetime.timedelta(seconds=1),
    )


def _router(
    number: int,
    *,
    platform: Platform,
    clock: clock_module.FakeClock,
    network: local.LocalNetwork,
) -> service.BackendRouting:
    members = [_member(n) for n in range(ROUTERS)]
    myself = members.pop(number)
    handlers = peers.PeerHandlers()
    return service.build_backend_routing(
        clock=clock,
        events=events_module.EventRing(clock=clock),
        members=members_module.FixedMemberView(
            myself=myself, others=tuple(members)
        ),
        caller=network.attach(myself.inner_address, handlers),
        handlers=handlers,
        instance_list=platform,
        connector=platform,
        rng=random.Random(number),
    )


def _member(number: int) -> members_module.Member:
    return members_module.Member(
        inner_address=f"10.0.0.{number}:7000",
        incarnation=str(number),
        region="r",
        data_centre="r-1",
    )


def _row(
    number: int, *, plain: bool, leaving: bool = False
) -> instances.ListedInstance:
    live = instances.InstanceState.LIVE
    return instances.ListedInstance(
        address=f"10.1.0.{number}:8000",
        role=(
            instances.InstanceRole.PLAIN_SERVICE
            if plain
            else instances.InstanceRole.MODEL_ENGINE
        ),
        state=instances.InstanceState.LEAVING if leaving else live,
        region="r",
        data_centre="r-1",
        service="registry" if plain else "engines",
    )
