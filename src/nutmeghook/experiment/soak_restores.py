"""Restores the store from an older copy, once or twice, during a soak."""

import asyncio
import random

from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_trial
from nutmeghook.standins import users_store

_UNTIL_COPY_S = (0.2, 4.0)
_COPY_AGE_S = (0.3, 4.0)
# From the last change that is lost until the store is away.
_UNTIL_READ_S = (0.0, 0.5)
_AWAY_S = (0.1, 1.0)
# Versions that other writers use since the copy, and lose. Where they are many,
# all that is written afterwards lies below what was once read.
_LOST_VERSIONS = (0, 20, 500)
# Until the operator and the replicas have written again what was lost.
_WRITTEN_AGAIN_S = (0.0, 1.5)
_UNTIL_SECOND_S = (0.0, 2.0)
_PART_WITH_SECOND = 0.3


async def play(trial: soak_trial.SoakTrial, draw: random.Random) -> None:
    """Copies the store, and restores it from the copy some seconds later."""
    await asyncio.sleep(draw.uniform(*_UNTIL_COPY_S))
    await _restore(trial, draw)
    if draw.random() < _PART_WITH_SECOND:
        await asyncio.sleep(draw.uniform(*_UNTIL_SECOND_S))
        await _restore(trial, draw)


async def _restore(trial: soak_trial.SoakTrial, draw: random.Random) -> None:
    copy = trial.store.copy()
    await asyncio.sleep(draw.uniform(*_COPY_AGE_S))
    for number in range(draw.choice(_LOST_VERSIONS)):
        trial.store.put("other", "key", str(number).encode())
    _write_configuration(trial)
    await asyncio.sleep(draw.uniform(*_UNTIL_READ_S))
    with trial.recorded_fault("store restored from a copy"):
        trial.store.fault = draw.choice(
            (users_store.StoreFault.REFUSING, users_store.StoreFault.SILENT)
        )
        await asyncio.sleep(draw.uniform(*_AWAY_S))
        lost = trial.store.restore(copy)
        trial.store.fault = users_store.StoreFault.NONE
        await asyncio.sleep(draw.uniform(*_WRITTEN_AGAIN_S))
        trial.store.write_again(lost)


def _write_configuration(trial: soak_trial.SoakTrial) -> None:
    """Writes a configuration that changes nothing but its version."""
    keys = platform_trial.KEYS
    if keys[1] in trial.busy:
        # It is removed at present.
        keys = keys[:1]
    trial.operator.write_configuration(keys)
