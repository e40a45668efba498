"""A trial: a system under load and faults, followed by the checks."""

import asyncio
import datetime
import pathlib
import random
import time

import aiohttp

from nutmeghook.experiment import balancer as balancer_module
from nutmeghook.experiment import caller as caller_module
from nutmeghook.experiment import checks
from nutmeghook.experiment import evidence as evidence_module
from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import history as history_module
from nutmeghook.experiment import system as system_module
from nutmeghook.experiment import workload as workload_module
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.ledger import records

CONFIG_BOUND = datetime.timedelta(seconds=4)
MAX_CONCURRENT = 200
ROLLOUT_TEAM = "inspectors-north"
ROLLOUT_TEMPLATE = "certificate-lookup"
GOOD_ROLLOUT_TEAM = "siam-charter"
GOOD_ROLLOUT_TEMPLATE = "legality-check"


class Trial:
    """Starts a system, sends work and checks the outcome.

    Attributes:
        history: What callers observed.
        config_times_s: How long each accepted change took to be in force.
        bills: Every bill record, set by `find_violations`.
    """

    __slots__ = (
        "_balancer",
        "_caller",
        "_clock",
        "_http",
        "_random",
        "_readiness_polling",
        "_tokens",
        "_workload",
        "bills",
        "config_times_s",
        "history",
        "system",
    )

    def __init__(
        self, *, folder: pathlib.Path, seed: int, drain_lag_ms: int = 1_500
    ):
        self._clock = clock_module.SystemClock()
        self._random = random.Random(seed)
        self._tokens = example_fleet.new_tokens()
        self._workload = workload_module.Workload(
            randomness=self._random,
            run_name=str(seed),
            agency_teams=example_fleet.AGENCY_TEAMS,
            airline_teams=example_fleet.AIRLINE_TEAMS,
        )
        self._readiness_polling: asyncio.Task[None] | None = None
        self._http: aiohttp.ClientSession | None = None
        self.history = history_module.History()
        self.config_times_s: list[float] = []
        self.bills: list[records.FinishRecord] = []
        self.system = system_module.System(
            folder=folder, clock=self._clock, drain_lag_ms=drain_lag_ms
        )

    async def start(self, *, instances: int, preloaded: bool) -> None:
        """Starts the system and imports the example's configuration.

        Args:
            instances: How many entry instances.
            preloaded: Engines have loaded the versions of roll-outs, for
                runs too short to wait until they are loaded.
        """
        await self.system.start_stand_ins(
            example_fleet.stand_ins(preloaded=preloaded)
        )
        self._http = aiohttp.ClientSession()
        self._balancer = balancer_module.Balancer(
            http=self._http, clock=self._clock, randomness=self._random
        )
        self._caller = caller_module.Caller(
            http=self._http,
            balancer=self._balancer,
            clock=self._clock,
            tokens=self._tokens,
            record=self.history,
        )
        for _ in range(instances):
            await self.add_instance()
        await self.system.import_example(self._tokens)
        self._readiness_polling = asyncio.create_task(self._balancer.run())

    def teams(self) -> tuple[documents.Team, ...]:
        """Returns the teams as they were imported."""
        return example_fleet.team_documents(self._tokens)

    async def add_instance(self) -> system_module.RunningInstance:
        """Starts one more entry instance behind the balancer."""
        instance = await self.system.start_agency_instance()
        self._balancer.add(instance.listen_address)
        return instance

    async def remove_instance(
        self, instance: system_module.RunningInstance
    ) -> None:
        """Removes an ended instance from the balancer and the list."""
        self._balancer.remove(instance.listen_address)
        await self.system.unlist_instance(instance)

    def running(self) -> list[system_module.RunningInstance]:
        """Returns the instances whose process runs."""
        return [
            instance
            for instance in self.system.instances
            if instance.process.exit_status is None
        ]

    async def accept(self, edit: edits.Edit, *, reason: str) -> None:
        """Submits a change through the first running instance."""
        started_s = time.monotonic()
        await self.system.accept(edit, reason=reason, through=self.running()[0])
        self.config_times_s.append(time.monotonic() - started_s)

    async def load(self, *, works: int, rate_per_s: float) -> None:
        """Starts work at a steady rate, independent of earlier work."""
        slots = asyncio.Semaphore(MAX_CONCURRENT)

        async def one(assignment: workload_module.Assignment) -> None:
            try:
                await self._caller.perform(assignment)
            finally:
                slots.release()

        async with asyncio.TaskGroup() as tasks:
            for _ in range(works):
                await slots.acquire()
                tasks.create_task(one(self._workload.draw()))
                await asyncio.sleep(1 / rate_per_s)

    async def perform_one(self) -> None:
        """Performs one piece of work."""
        await self._caller.perform(self._workload.draw())

    async def withdrawn(self) -> set[str]:
        """Returns the withdrawn versions, as reported by an instance."""
        async with self.system.administration(self.running()[0]) as client:
            status = await client.status()
        return {item.model_version for item in status.withdrawn}

    async def find_violations(self) -> list[checks.Violation]:
        """Runs all checks on the callers' history, the logs and the bills."""
        self.bills = await evidence_module.read_bill_records(self.system)
        return checks.check_all(
            evidence_module.build_evidence(
                works=self.history.works,
                runs=await evidence_module.read_runs(self.system),
                bills=evidence_module.observed_bills(self.bills),
                withdrawals=await evidence_module.read_withdrawals(
                    self.system,
                    through=self.running()[0],
                    bound=CONFIG_BOUND,
                ),
                teams=self.teams(),
            )
        )

    async def end(self) -> None:
        """Ends all processes, also after an incomplete start."""
        if self._readiness_polling is not None:
            self._readiness_polling.cancel()
        await self.system.end()
        if self._http is not None:
            await self._http.close()
