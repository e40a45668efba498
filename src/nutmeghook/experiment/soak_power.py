"""Loss of all routers at the same moment, in some seeds of a soak.

Routers keep nothing on their machines, so that what they know afterwards is
what lies in the store.
"""

import asyncio
import random

from nutmeghook.experiment import soak_trial
from nutmeghook.experiment import trial_routers

_PART_OF_SEEDS = 0.3
_UNTIL_LOSS_S = (4.0, 10.0)
_DOWN_S = (0.1, 1.5)


def is_drawn(draw: random.Random) -> bool:
    """Returns whether a seed loses all routers once."""
    return draw.random() < _PART_OF_SEEDS


async def play(trial: soak_trial.SoakTrial, draw: random.Random) -> None:
    """Kills all routers that have no fault, together, and starts them."""
    await asyncio.sleep(draw.uniform(*_UNTIL_LOSS_S))
    lost = [r for r in trial.routers if r.name not in trial.busy]
    trial.busy.update(router.name for router in lost)
    down_s = draw.uniform(*_DOWN_S)
    try:
        await asyncio.gather(*(_lose(trial, r, down_s) for r in lost))
    finally:
        trial.busy.difference_update(router.name for router in lost)


async def _lose(
    trial: soak_trial.SoakTrial,
    router: trial_routers.RouterProcess,
    down_s: float,
) -> None:
    with trial.recorded_fault("power", router.name):
        await router.kill()
        await asyncio.sleep(down_s)
        await router.start()
        await trial.wait_until_serving(router)
