"""The demo: both users' work, every fault at once, and what came of it."""

import asyncio
import datetime
import pathlib
import random
import sys
import time

import aiohttp
import msgspec

from nutmeghook.experiment import balancer as balancer_module
from nutmeghook.experiment import caller as caller_module
from nutmeghook.experiment import checks
from nutmeghook.experiment import evidence as evidence_module
from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import history as history_module
from nutmeghook.experiment import report as report_module
from nutmeghook.experiment import system as system_module
from nutmeghook.experiment import workload as workload_module
from nutmeghook.internal.commands import timeline as timeline_command
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import timeline
from nutmeghook.standins import control
from nutmeghook.standins import serving

FIRST_INSTANCES = 3
WORKS_PER_S = 70.0
MOST_AT_ONCE = 200
STORE_OUTAGE_S = 10.0
CONFIG_BOUND = datetime.timedelta(seconds=4)
ROLLOUT_TEAM = "inspectors-north"
ROLLOUT_TEMPLATE = "certificate-lookup"
ROLLOUT_STOP_TIMEOUT_S = 60.0


class Demo:
    """One run of the demo."""

    __slots__ = (
        "_balancer",
        "_caller",
        "_clock",
        "_config_times_s",
        "_drain_status",
        "_folder",
        "_history",
        "_random",
        "_system",
        "_tokens",
        "_workload",
        "_works",
    )

    def __init__(self, *, folder: pathlib.Path, works: int, seed: int):
        if works < 1:
            raise ValueError(f"works is {works}; give 1 or more")
        self._folder = folder
        self._works = works
        self._clock = clock_module.SystemClock()
        self._random = random.Random(seed)
        self._history = history_module.History()
        self._tokens = example_fleet.new_tokens()
        self._config_times_s: list[float] = []
        self._drain_status: int | None = None
        self._system = system_module.System(folder=folder, clock=self._clock)
        self._workload = workload_module.Workload(
            randomness=self._random,
            run_name=str(seed),
            agency_teams=example_fleet.AGENCY_TEAMS,
            airline_teams=example_fleet.AIRLINE_TEAMS,
        )

    async def run(self) -> report_module.Summary:
        """Runs everything and returns the summary."""
        _say("starting the platform's stand-ins and 3 entry instances")
        await self._system.start_stand_ins(example_fleet.stand_ins())
        try:
            async with aiohttp.ClientSession() as http:
                await self._prepare(http)
                asking = asyncio.create_task(self._balancer.run())
                await self._under_load()
                asking.cancel()
            return await self._judge()
        finally:
            await self._system.end()

    async def _prepare(self, http: aiohttp.ClientSession) -> None:
        self._balancer = balancer_module.Balancer(
            http=http, clock=self._clock, randomness=self._random
        )
        self._caller = caller_module.Caller(
            http=http,
            balancer=self._balancer,
            clock=self._clock,
            tokens=self._tokens,
            record=self._history,
        )
        for number in range(FIRST_INSTANCES):
            await self._add_instance(number)
        await self._accept(
            edits.ImportDocuments(
                expected_revision=0,
                fleet=example_fleet.fleet_document(),
                teams=example_fleet.team_documents(self._tokens),
                templates=example_fleet.template_documents(),
            ),
            "first import",
        )
        for instance in self._system.instances:
            await self._system.until_ready(instance)

    async def _add_instance(self, number: int) -> None:
        instance = await self._system.start_instance(
            name=f"entry-{number}",
            region=example_fleet.AGENCY_REGION,
            data_centre=example_fleet.data_centre(
                example_fleet.AGENCY_REGION, number
            ),
        )
        self._balancer.add(instance.listen_address)

    async def _under_load(self) -> None:
        load = asyncio.create_task(self._load())
        progress = asyncio.create_task(self._show_progress())
        await self._faults()
        await load
        await self._until_rollout_stopped()
        progress.cancel()

    async def _load(self) -> None:
        """Starts work at a steady rate, whatever becomes of earlier work."""
        slots = asyncio.Semaphore(MOST_AT_ONCE)

        async def one(assignment: workload_module.Assignment) -> None:
            try:
                await self._caller.do(assignment)
            finally:
                slots.release()

        async with asyncio.TaskGroup() as tasks:
            for _ in range(self._works):
                await slots.acquire()
                tasks.create_task(one(self._workload.draw()))
                await asyncio.sleep(1 / WORKS_PER_S)

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(5)
            _say(f"{len(self._history.works)} of {self._works} done")

    async def _faults(self) -> None:
        """What happens meanwhile; each step at its own moment."""
        await asyncio.sleep(2)
        _say("accepting a template change")
        await self._accept(
            edits.PutTemplate(
                template=await self._changed_template(), expected_revision=1
            ),
            "shorter answers",
        )
        _say(f"rolling out {example_fleet.NEW_VERSION}, which is bad")
        await self._accept(
            edits.RollOutVersion(
                team=ROLLOUT_TEAM,
                template=ROLLOUT_TEMPLATE,
                model_version=example_fleet.NEW_VERSION,
            ),
            "new version",
        )
        await asyncio.sleep(3)
        await self._kill(1)
        await asyncio.sleep(3)
        await self._drain(2)
        await self._store_outage()

    async def _changed_template(self) -> documents.Template:
        template = next(
            t
            for t in example_fleet.template_documents()
            if t.team == "plant-operators" and t.name == ROLLOUT_TEMPLATE
        )
        return msgspec.structs.replace(template, max_tokens=900)

    async def _kill(self, number: int) -> None:
        instance = self._system.instances[number]
        _say(f"SIGKILL for {instance.name}; a new instance takes its place")
        instance.process.kill()
        await self._add_instance(FIRST_INSTANCES)
        self._balancer.remove(instance.listen_address)
        await self._system.unlist_instance(instance)

    async def _drain(self, number: int) -> None:
        instance = self._system.instances[number]
        _say(f"SIGTERM for {instance.name}; another takes its place")
        await self._add_instance(FIRST_INSTANCES + 1)
        instance.process.ask_to_end()
        self._drain_status = await instance.process.ended()
        self._balancer.remove(instance.listen_address)
        await self._system.unlist_instance(instance)
        _say(f"{instance.name} ended with status {self._drain_status}")

    async def _store_outage(self) -> None:
        _say(f"the table service goes out for {STORE_OUTAGE_S:.0f} s")
        await self._system.set_faults(
            "table", control.FaultSettings(down=serving.DownMode.CUTTING)
        )
        await asyncio.sleep(STORE_OUTAGE_S)
        await self._system.set_faults("table", control.FaultSettings())
        _say("the table service is back")

    async def _accept(self, edit: edits.Edit, reason: str) -> None:
        started = time.monotonic()
        answer = await self._system.accept(
            edit, reason=reason, through=self._system.instances[0]
        )
        if answer.where and answer.where.unconfirmed:
            _say(f"not yet confirmed by {answer.where.unconfirmed}")
        self._config_times_s.append(time.monotonic() - started)

    async def _until_rollout_stopped(self) -> None:
        """Waits until the bad version is withdrawn, for a bounded time."""
        deadline = time.monotonic() + ROLLOUT_STOP_TIMEOUT_S
        while time.monotonic() < deadline:
            if await self._rollout_stopped():
                return
            await self._caller.do(self._workload.draw())

    async def _rollout_stopped(self) -> bool:
        async with self._system.administration(
            self._system.instances[0]
        ) as client:
            status = await client.status()
        bad = str(example_fleet.NEW_VERSION)
        return any(item.model_version == bad for item in status.withdrawn)

    async def _judge(self) -> report_module.Summary:
        _say("collecting the evidence")
        rollout_stopped = await self._rollout_stopped()
        bills = await evidence_module.bill_records(self._system)
        found = evidence_module.evidence_of(
            works=self._history.works,
            runs=await evidence_module.runs_of(self._system),
            bills=evidence_module.bills_seen(bills),
            withdrawals=await evidence_module.withdrawals_of(
                self._system,
                through=self._system.instances[0],
                bound=CONFIG_BOUND,
            ),
            teams=example_fleet.team_documents(self._tokens),
        )
        violations = checks.check_all(found)
        await self._draw_timeline()
        self._history.write(self._folder / "history.jsonl")
        for line in report_module.kinds_table(self._history.works):
            print(line)
        for violation in violations[:20]:
            print(f"VIOLATION {violation}")
        return report_module.summarize(
            works=self._history.works,
            violations=violations,
            bills=bills,
            config_in_force_s=max(self._config_times_s),
            drained_clean=self._drain_status == 0,
            rollout_stopped=rollout_stopped,
        )

    async def _draw_timeline(self) -> None:
        processes = await timeline_command.fetch(
            f"http://{self._system.instances[0].listen_address}",
            self._system.administrator_token,
        )
        page = timeline.html_page(timeline.merge(processes), title="demo")
        path = self._folder / "timeline.html"
        path.write_text(page)
        print(f"time line of {len(processes)} processes: {path}")


def _say(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def main(*, folder: str, works: int, seed: int) -> None:
    """Runs the demo; exits with 1 if something that must hold did not."""
    demo = Demo(folder=pathlib.Path(folder), works=works, seed=seed)
    summary = asyncio.run(demo.run())
    print(msgspec.json.encode(summary).decode())
    sys.exit(0 if summary.holds() else 1)
