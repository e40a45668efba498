"""Trials with random faults: operations checked and violations found.

Runs real processes under load; each trial injects two faults of different
kinds at the same time. The seed determines the faults and the load but not the
timing, so runs differ; the bound must hold for each of them.
"""

import asyncio
import pathlib
import random
import tempfile

from bench import report
from nutmeghook.experiment import checks
from nutmeghook.experiment import faults
from nutmeghook.experiment import trial as trial_module

# Chosen for the variety of their faults.
SEEDS = (101, 104, 106, 158)
WORKS = 200
WORKS_PER_S = 40.0
INSTANCES = 3
FIRST_FAULT_AFTER_S = 1.0
DRAIN_LAG_MS = 700
# Two faults of one kind would interfere: setting a stand-in's faults replaces
# all earlier ones, and an instance can't both be killed and exit with status 0.
KINDS: tuple[tuple[faults.Fault, ...], ...] = (
    (faults.kill_instance, faults.freeze_instance, faults.drain_instance),
    (
        faults.table_down,
        faults.table_hangs,
        faults.table_slow,
        faults.table_loses_answers,
        faults.table_effects_late,
    ),
    (faults.objects_down, faults.ratings_down, faults.instance_list_down),
    (faults.engines_cut_streams, faults.engine_crashes),
    (faults.services_slow, faults.services_lose_answers),
)


def drawn_faults(seed: int) -> list[faults.Fault]:
    """Returns the two faults of a seed, of different kinds."""
    randomness = random.Random(seed)
    return [randomness.choice(kind) for kind in randomness.sample(KINDS, 2)]


def run() -> list[report.Line]:
    """Runs a trial for each seed and sums up the checks' results."""
    checked = 0
    violations: list[checks.Violation] = []
    for seed in SEEDS:
        with tempfile.TemporaryDirectory() as folder:
            operations, found = asyncio.run(
                _run_trial(pathlib.Path(folder), seed)
            )
        checked += operations
        violations += found
        for violation in found:
            print(f"# {_describe(seed)}: {violation}")
    return [
        report.Line(
            name="history.operations_checked",
            value=checked,
            unit=f"requests in {len(SEEDS)} trials",
            bound=WORKS * len(SEEDS),
            better=report.Better.HIGHER,
        ),
        report.Line(
            name="history.violations",
            value=len(violations),
            unit="violations",
            bound=0,
        ),
    ]


async def _run_trial(
    folder: pathlib.Path, seed: int
) -> tuple[int, list[checks.Violation]]:
    """Returns the number of requests sent, and the violations."""
    trial = trial_module.Trial(
        folder=folder, seed=seed, drain_lag_ms=DRAIN_LAG_MS
    )
    try:
        await trial.start(instances=INSTANCES, preloaded=True)
        load = asyncio.create_task(
            trial.load(works=WORKS, rate_per_s=WORKS_PER_S)
        )
        await asyncio.sleep(FIRST_FAULT_AFTER_S)
        await asyncio.gather(*(fault(trial) for fault in drawn_faults(seed)))
        await load
        found = await trial.find_violations()
    finally:
        await trial.end()
    return sum(len(work.tries) for work in trial.history.works), found


def _describe(seed: int) -> str:
    names = " with ".join(fault.__name__ for fault in drawn_faults(seed))
    return f"seed {seed}, {names}"
