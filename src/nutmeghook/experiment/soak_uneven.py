"""Uneven replicas, a team's surges and slow readers, in some seeds of a soak.

Replicas state a load of four figures and differ in speed, which changes while
they run.
"""

import asyncio
import random

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial

_PART_OF_SEEDS = 0.5
# So few that a surge fills them at times.
_SLOTS = 3
_USUAL_PERCENT = 100
_WORK_TIME_PERCENTS = (40, 70, 100, 100, 150, 400)
_USUAL_PER_S = 4.0
_SURGE = 8.0
_SURGE_S = (2.0, 4.0)
_UNTIL_SURGE_S = (1.0, 3.0)
_UNTIL_CHANGE_S = (0.2, 0.8)
_UNTIL_SLOW_READER_S = (0.5, 1.5)
# 96 pauses, one for each 64 KiB, take 2 to 4 s of the 8 s that a caller has.
_READ_PAUSES_S = (0.02, 0.04)


def is_drawn(draw: random.Random) -> bool:
    """Returns whether a seed has these faults."""
    return draw.random() < _PART_OF_SEEDS


def add_team(trial: soak_trial.SoakTrial) -> None:
    """Adds the surging team to all configurations from now on."""
    trial.operator.further_teams = {
        soak_checks.SURGING_TEAM: soak_checks.SURGING_KEY
    }


async def play(
    trial: soak_trial.SoakTrial, draw: random.Random, *, seconds: float
) -> None:
    """Plays all of it for a time, and waits for the last callers."""
    end_s = asyncio.get_running_loop().time() + seconds
    # A source for each makes its draws independent of the others' timing.
    speeds, surges, readers = (
        random.Random(draw.getrandbits(64)) for _ in range(3)
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_change_speeds(trial, speeds, end_s))
        tasks.create_task(_send_surges(trial, surges, end_s))
        tasks.create_task(_read_slowly(trial, readers, end_s))


async def _change_speeds(
    trial: soak_trial.SoakTrial, draw: random.Random, end_s: float
) -> None:
    """Changes the speed of one replica after another, then ends it."""
    loop = asyncio.get_running_loop()
    for replica in trial.replicas.values():
        replica.slots = _SLOTS
        replica.work_time_percent = draw.choice(_WORK_TIME_PERCENTS)
    while loop.time() < end_s:
        await asyncio.sleep(draw.uniform(*_UNTIL_CHANGE_S))
        replica = trial.replicas[draw.choice(sorted(trial.replicas))]
        replica.slots = _SLOTS
        replica.work_time_percent = draw.choice(_WORK_TIME_PERCENTS)
    for replica in trial.replicas.values():
        if replica.work_time_percent is not None:
            replica.work_time_percent = _USUAL_PERCENT


async def _send_surges(
    trial: soak_trial.SoakTrial, draw: random.Random, end_s: float
) -> None:
    """Sends one team's usual load, and several times as much at times."""
    loop = asyncio.get_running_loop()
    surge_s = loop.time() + draw.uniform(*_UNTIL_SURGE_S)
    usual_s = surge_s + draw.uniform(*_SURGE_S)
    async with asyncio.TaskGroup() as tasks:
        while loop.time() < end_s:
            if loop.time() >= usual_s:
                surge_s = usual_s + draw.uniform(*_UNTIL_SURGE_S)
                usual_s = surge_s + draw.uniform(*_SURGE_S)
            surges = loop.time() >= surge_s
            per_s = _USUAL_PER_S * (_SURGE if surges else 1.0)
            kind = draw.choice(("stream", "stream", "once"))
            router = draw.choice(trial.routers)
            key = soak_checks.SURGING_KEY
            tasks.create_task(trial.call(kind, key=key, router=router))
            await asyncio.sleep(1 / per_s)


async def _read_slowly(
    trial: soak_trial.SoakTrial, draw: random.Random, end_s: float
) -> None:
    """Requests long answers and reads them slowly."""
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as tasks:
        while loop.time() < end_s:
            await asyncio.sleep(draw.uniform(*_UNTIL_SLOW_READER_S))
            tasks.create_task(
                trial.call(
                    "stream",
                    router=draw.choice(trial.routers),
                    body=platform_checks.LONG_BODY,
                    read_pause_s=draw.uniform(*_READ_PAUSES_S),
                )
            )
