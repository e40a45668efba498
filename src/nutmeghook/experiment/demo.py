"""The demo: work of both users under several faults, with a summary."""

import asyncio
import pathlib
import sys
import time

import msgspec

from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import faults
from nutmeghook.experiment import report as report_module
from nutmeghook.experiment import trial as trial_module
from nutmeghook.internal.commands import timeline as timeline_command
from nutmeghook.internal.config import edits
from nutmeghook.internal.observe import timeline
from nutmeghook.standins import control
from nutmeghook.standins import serving

INITIAL_INSTANCES = 3
WORKS_PER_S = 70.0
STORE_OUTAGE_S = 10.0
ROLLOUT_STOP_TIMEOUT_S = 60.0
PROGRESS_PERIOD_S = 5.0


class Demo:
    """One run of the demo."""

    __slots__ = ("_drained_clean", "_folder", "_trial", "_works")

    def __init__(self, *, folder: pathlib.Path, works: int, seed: int):
        if works < 1:
            raise ValueError(f"works is {works}; give 1 or more")
        self._folder = folder
        self._works = works
        self._drained_clean = False
        self._trial = trial_module.Trial(folder=folder, seed=seed)

    async def run(self) -> report_module.Summary:
        """Runs the load and the faults and returns the summary."""
        _print_status("starting the platform's stand-ins and 3 entry instances")
        try:
            await self._trial.start(
                instances=INITIAL_INSTANCES, preloaded=False
            )
            load = asyncio.create_task(
                self._trial.load(works=self._works, rate_per_s=WORKS_PER_S)
            )
            progress = asyncio.create_task(self._show_progress())
            await self._inject_faults()
            await load
            await self._wait_for_rollout_stop()
            progress.cancel()
            return await self._evaluate()
        finally:
            await self._trial.end()

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_PERIOD_S)
            _print_status(
                f"{len(self._trial.history.works)} of {self._works} done"
            )

    async def _inject_faults(self) -> None:
        """Injects the faults one after the other, during the load."""
        await asyncio.sleep(2)
        _print_status("accepting a template change")
        await self._change_template()
        _print_status(f"rolling out {example_fleet.BAD_VERSION}, which is bad")
        await faults.bad_rollout(self._trial)
        await asyncio.sleep(3)
        _print_status("SIGKILL for one instance; a new one takes its place")
        await faults.kill_instance(self._trial)
        await asyncio.sleep(3)
        _print_status("SIGTERM for one instance; another takes its place")
        await faults.drain_instance(self._trial)
        self._drained_clean = True
        _print_status(f"the table service goes out for {STORE_OUTAGE_S:.0f} s")
        await self._trial.system.set_faults(
            "table", control.FaultSettings(down=serving.DownMode.CUTTING)
        )
        await asyncio.sleep(STORE_OUTAGE_S)
        await self._trial.system.set_faults("table", control.FaultSettings())
        _print_status("the table service is back")

    async def _change_template(self) -> None:
        template = next(
            t
            for t in example_fleet.template_documents()
            if t.team == "plant-operators"
        )
        await self._trial.accept(
            edits.PutTemplate(
                template=msgspec.structs.replace(template, max_tokens=900),
                expected_revision=1,
            ),
            reason="shorter answers",
        )

    async def _wait_for_rollout_stop(self) -> None:
        """Sends work until the bad version is withdrawn or time is up."""
        deadline_s = time.monotonic() + ROLLOUT_STOP_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if await self._rollout_stopped():
                return
            await self._trial.perform_one()

    async def _rollout_stopped(self) -> bool:
        withdrawn = await self._trial.withdrawn()
        return str(example_fleet.BAD_VERSION) in withdrawn

    async def _evaluate(self) -> report_module.Summary:
        _print_status("collecting the evidence")
        works = self._trial.history.works
        violations = await self._trial.find_violations()
        await self._draw_timeline()
        self._trial.history.write(self._folder / "history.jsonl")
        for line in report_module.kinds_table(works):
            print(line)
        for violation in violations[:20]:
            print(f"VIOLATION {violation}")
        return report_module.summarize(
            works=works,
            violations=violations,
            bills=self._trial.bills,
            config_in_force_s=max(self._trial.config_times_s),
            drained_clean=self._drained_clean,
            rollout_stopped=await self._rollout_stopped(),
        )

    async def _draw_timeline(self) -> None:
        processes = await timeline_command.fetch(
            f"http://{self._trial.running()[0].listen_address}",
            self._trial.system.administrator_token,
        )
        page = timeline.html_page(timeline.merge(processes), title="demo")
        path = self._folder / "timeline.html"
        path.write_text(page)
        print(f"time line of {len(processes)} processes: {path}")


def _print_status(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def main(*, folder: str, works: int, seed: int) -> None:
    """Runs the demo; exits with status 1 if a check failed."""
    demo = Demo(folder=pathlib.Path(folder), works=works, seed=seed)
    summary = asyncio.run(demo.run())
    print(msgspec.json.encode(summary).decode())
    sys.exit(0 if summary.holds() else 1)
