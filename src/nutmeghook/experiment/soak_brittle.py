"""Replicas that say that they are brittle, in some seeds of a soak.

They say so at the same time, and seconds later have room for few requests; one
that turns too many away in a second falls over for a while.
"""

import asyncio
import random

from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial
from nutmeghook.standins import users_replica

_PART_OF_SEEDS = 0.5
_SLOTS = 4
_REFUSALS_PER_S = (2, 3, 6)
# How long a stream takes: the load is a quarter of what the replicas can do,
# three quarters, or more than that.
_STREAM_S = (0.1, 0.3, 0.5)
_UNTIL_BRITTLE_S = (0.5, 3.0)
# From when they say so until there is less room, as the users' bound has it.
_UNTIL_FULL_S = soak_checks.UNDISTURBED_S
_FULL_S = (3.0, 6.0)


def is_drawn(draw: random.Random) -> bool:
    """Returns whether a seed has brittle replicas."""
    return draw.random() < _PART_OF_SEEDS


def set_up(trial: soak_trial.SoakTrial, *, is_brittle: bool) -> None:
    """Has replicas list as many slots as they will have room for."""
    if is_brittle:
        trial.listed_slots = _SLOTS


async def play(
    trial: soak_trial.SoakTrial, draw: random.Random, *, seconds: float
) -> None:
    """Has the replicas of the good version be brittle now and then."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        await asyncio.sleep(draw.uniform(*_UNTIL_BRITTLE_S))
        await _be_brittle(trial, draw)


async def _be_brittle(trial: soak_trial.SoakTrial, draw: random.Random) -> None:
    loop = asyncio.get_running_loop()
    replicas = [
        replica
        for replica_id, replica in trial.replicas.items()
        if replica_id.startswith("v1")
    ]
    from_s = loop.time()
    slots = {replica: replica.slots for replica in replicas}
    refusals_per_s = draw.choice(_REFUSALS_PER_S)
    for replica in replicas:
        replica.slots = _SLOTS
        replica.brittle = refusals_per_s
    await asyncio.sleep(_UNTIL_FULL_S)
    trial.stream_s = draw.choice(_STREAM_S)
    for replica in replicas:
        replica.room = _SLOTS
    await asyncio.sleep(draw.uniform(*_FULL_S))
    trial.stream_s = None
    for replica in replicas:
        replica.room = None
        replica.brittle = None
        replica.slots = slots[replica]
    _record(trial, replicas, from_s=from_s, to_s=loop.time())


def _record(
    trial: soak_trial.SoakTrial,
    replicas: list[users_replica.StandInReplica],
    *,
    from_s: float,
    to_s: float,
) -> None:
    falls = [
        fall
        for replica in replicas
        for fall in replica.falls
        if fall.at_s >= from_s
    ]
    trial.brittle.append(
        soak_checks.BrittleTime(
            replicas=len(replicas),
            falls=tuple(fall.refused_ids for fall in falls),
            from_s=from_s,
            to_s=to_s,
        )
    )
    trial.injected_faults.extend(
        soak_checks.InjectedFault(
            kind="replica falls over",
            router=soak_checks.ALL_ROUTERS,
            from_s=fall.at_s,
            to_s=fall.at_s + users_replica.FALL_S,
        )
        for fall in falls
    )
