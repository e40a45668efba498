"""A randomized soak test of router processes under injected faults.

Faults follow each other and overlap. They are drawn from the seed, so a seed
repeats the same faults; their timing relative to requests varies with the
machine.
"""

import asyncio
from collections.abc import Coroutine
import pathlib
import random
import signal
import tempfile
from typing import Any

import msgspec

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_brittle
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_copies
from nutmeghook.experiment import soak_cuts
from nutmeghook.experiment import soak_evacuations
from nutmeghook.experiment import soak_faults
from nutmeghook.experiment import soak_parts
from nutmeghook.experiment import soak_power
from nutmeghook.experiment import soak_restores
from nutmeghook.experiment import soak_signal_checks
from nutmeghook.experiment import soak_signals
from nutmeghook.experiment import soak_trial
from nutmeghook.experiment import soak_uneven

# For how long new faults begin.
SECONDS = 12.0
# From the last fault until every router is probed.
SETTLE_S = 4.0
RECOVERY_S = 6.0
# For a busy machine: finds only routers that never serve again.
_LENIENT_RECOVERY_S = 60.0
PROBES = 5


class SoakReport(msgspec.Struct, frozen=True, kw_only=True):
    """A soak's outcome.

    Attributes:
        read_slowly: How many long answers slow readers got whole.
        falls: How often brittle replicas fell over.
    """

    seed: int
    routers: int
    troubles: int
    calls: int
    answered: int
    read_slowly: int
    falls: int
    violations: list[str]


async def run(
    *,
    folder: pathlib.Path,
    seed: int,
    seconds: float = SECONDS,
    routers: int = 4,
    rate_per_s: float = 40.0,
    with_bounds: bool = True,
    with_brittle: bool = True,
    with_copies: bool = True,
    with_crashing: bool = True,
    with_cuts: bool = True,
    with_evacuation: bool = True,
    with_parts: bool = True,
    with_power_loss: bool = True,
    with_restores: bool = True,
    with_signals: bool = True,
    with_uneven: bool = True,
) -> SoakReport:
    """Runs one seed and checks the history.

    Args:
        folder: For settings and logs.
        seed: Of the faults and the load.
        seconds: For how long new faults begin.
        routers: Number of router processes.
        rate_per_s: Of requests.
        with_bounds: Check time bounds too.
        with_brittle: In some seeds, replicas say that they are brittle.
        with_copies: In some seeds, replicas send answers twice, and callers
            that were refused come again.
        with_crashing: Send copies of a request that crashes its replicas.
        with_cuts: Cut routers off from all replicas.
        with_evacuation: Evacuate a data centre; its replicas return cold.
        with_parts: In some seeds, send different requests that share a
            crashing prompt part.
        with_power_loss: In some seeds, lose all routers at the same moment.
        with_restores: The store is restored from an older copy.
        with_signals: Replicas state limits, ask for rest, and leave.
        with_uneven: In some seeds, replicas differ in speed, a team's load
            surges, and callers read slowly.
    """
    uneven_draw = random.Random(f"uneven {seed}")
    is_uneven = with_uneven and soak_uneven.is_drawn(uneven_draw)
    brittle_draw = random.Random(f"brittle {seed}")
    is_brittle = with_brittle and soak_brittle.is_drawn(brittle_draw)
    trial = soak_trial.SoakTrial(folder=folder, seed=seed, routers=routers)
    if with_evacuation:
        trial.operator.cold_limits = soak_evacuations.COLD_LIMITS
    if is_uneven:
        soak_uneven.add_team(trial)
    try:
        soak_brittle.set_up(trial, is_brittle=is_brittle)
        await trial.start()
        await _add_replicas(trial, with_evacuation=with_evacuation)
        stop_load = asyncio.Event()
        load = asyncio.create_task(_load(trial, rate_per_s, stop_load))
        injector = soak_faults.FaultInjector(
            trial=trial, draw=random.Random(seed)
        )
        # Separate random sources leave a seed's other faults unchanged.
        plays = [injector.run(seconds=seconds)]
        if with_crashing:
            plays.append(
                injector.send_crashing_requests(
                    random.Random(seed), seconds=seconds
                )
            )
        plays += _platform_plays(
            trial,
            seed,
            seconds,
            with_copies=with_copies,
            with_evacuation=with_evacuation,
            with_parts=with_parts,
            with_power_loss=with_power_loss,
            with_restores=with_restores,
            with_signals=with_signals,
        )
        if is_brittle:
            plays.append(
                soak_brittle.play(trial, brittle_draw, seconds=seconds)
            )
        if with_cuts:
            draw = random.Random(f"cuts {seed}")
            plays.append(soak_cuts.play(trial, draw, seconds=seconds))
        if is_uneven:
            plays.append(soak_uneven.play(trial, uneven_draw, seconds=seconds))
        await _run_together(plays)
        # Found behind by a router that follows the store no more.
        trial.operator.write_configuration(platform_trial.KEYS)
        await asyncio.sleep(SETTLE_S)
        if with_crashing:
            await injector.send_final_copies()
        await soak_parts.send_last(trial)
        unrecovered = await _unrecovered_routers(
            trial, RECOVERY_S if with_bounds else _LENIENT_RECOVERY_S
        )
        stop_load.set()
        await load
        history = trial.history()
        _keep_faults(folder, history)
        return SoakReport(
            seed=seed,
            routers=routers,
            troubles=len(trial.injected_faults),
            calls=len(trial.calls),
            answered=sum(c.status == 200 and c.complete for c in trial.calls),
            read_slowly=sum(
                c.sent_body == platform_checks.LONG_BODY
                and c.status == 200
                and c.complete
                for c in trial.calls
            ),
            falls=sum(len(one.falls) for one in trial.brittle),
            violations=soak_checks.violations(history, with_bounds=with_bounds)
            + list(soak_parts.violations(history))
            + trial.reverts()
            + trial.behind()
            + trial.unexpected_exits()
            + (trial.not_serving if with_bounds else [])
            + (soak_signal_checks.violations(history) if with_bounds else [])
            + (list(soak_copies.violations(history)) if with_bounds else [])
            + unrecovered,
        )
    finally:
        await trial.end()


def _keep_faults(folder: pathlib.Path, history: soak_checks.History) -> None:
    """Writes what was injected beside the routers' logs."""
    kept = {
        "faults": history.injected_faults,
        "cuts": history.cuts,
        "crashes": history.crashes,
        "brittle": history.brittle,
    }
    (folder / "faults.json").write_bytes(msgspec.json.encode(kept))


def _platform_plays(
    trial: soak_trial.SoakTrial,
    seed: int,
    seconds: float,
    *,
    with_copies: bool,
    with_evacuation: bool,
    with_parts: bool,
    with_power_loss: bool,
    with_restores: bool,
    with_signals: bool,
) -> list[Coroutine[Any, Any, None]]:
    """Returns what the platform and callers do beside the other faults."""
    plays = []
    copies_draw = random.Random(f"copies {seed}")
    if with_copies and soak_copies.is_drawn(copies_draw):
        plays.append(soak_copies.play(trial, copies_draw, seconds=seconds))
    parts_draw = random.Random(f"parts {seed}")
    if with_parts and soak_parts.is_drawn(parts_draw):
        plays.append(soak_parts.play(trial, parts_draw, seconds=seconds))
    power_draw = random.Random(f"power {seed}")
    if with_power_loss and soak_power.is_drawn(power_draw):
        plays.append(soak_power.play(trial, power_draw))
    if with_evacuation:
        plays.append(soak_evacuations.play(trial, random.Random(seed)))
    if with_restores:
        plays.append(
            soak_restores.play(trial, random.Random(f"restore {seed}"))
        )
    if with_signals:
        plays.append(
            soak_signals.play(trial, random.Random(seed), seconds=seconds)
        )
    return plays


async def _run_together(plays: list[Coroutine[Any, Any, None]]) -> None:
    async with asyncio.TaskGroup() as tasks:
        for play in plays:
            tasks.create_task(play)


async def _add_replicas(
    trial: soak_trial.SoakTrial, *, with_evacuation: bool
) -> None:
    for number in range(3, soak_trial.REPLICAS):
        await trial.add_replica(f"v1-{number}", "v1")
    if not with_evacuation:
        return
    for number in range(soak_evacuations.REPLICAS):
        await trial.add_replica(
            f"v1-annex-{number}",
            "v1",
            data_centre=soak_evacuations.DATA_CENTRE,
        )


async def _load(
    trial: soak_trial.SoakTrial, rate_per_s: float, stop: asyncio.Event
) -> None:
    """Sends steady load of all kinds to all routers until `stop` is set."""
    async with asyncio.TaskGroup() as tasks:
        while not stop.is_set():
            kind = trial.draw.choice(("stream", "stream", "once"))
            key = trial.draw.choice(platform_trial.KEYS)
            tasks.create_task(trial.call(kind, key=key))
            await asyncio.sleep(1 / rate_per_s)


async def _unrecovered_routers(
    trial: soak_trial.SoakTrial, within_s: float
) -> list[str]:
    """Probes every router and reports those that do not serve."""
    found = []
    for router in trial.routers:
        try:
            async with asyncio.timeout(within_s):
                for _ in range(PROBES):
                    await trial.wait_until_serving(router)
        except TimeoutError:
            found.append(f"{router.name} does not serve after all faults")
    return found


async def _run_until_sigterm(
    work: Coroutine[Any, Any, SoakReport],
) -> SoakReport:
    """Cancels the soak on SIGTERM, which also ends its routers."""
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(*, seed: int, seconds: float, routers: int, keep: str) -> int:
    """Prints a soak's report as JSON; returns 1 if a check failed."""
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(keep) if keep else pathlib.Path(folder)
        place.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            _run_until_sigterm(
                run(folder=place, seed=seed, seconds=seconds, routers=routers)
            )
        )
    print(msgspec.json.encode(report).decode())
    return 1 if report.violations else 0
