"""Evacuates a data centre, ends the evacuation and restarts it cold."""

import asyncio
import random

from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial

COLD_S = 3.0
# Fields of the operator's service for its cold replicas.
COLD_LIMITS = {"coldS": COLD_S, "coldPerS": soak_checks.MAX_COLD_RATE_PER_S}
DATA_CENTRE = "annex"
# In that data centre, at the start.
REPLICAS = 2


async def play(trial: soak_trial.SoakTrial, draw: random.Random) -> None:
    """Evacuates a data centre for longer than the bound, then restarts it."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(draw.uniform(0.2, 2.0))
    from_s = loop.time()
    trial.operator.evacuate(DATA_CENTRE)
    await asyncio.sleep(soak_checks.EVACUATION_BOUND_S + draw.uniform(1.5, 3.0))
    trial.evacuations.append(
        soak_checks.Evacuation(
            data_centre=DATA_CENTRE, from_s=from_s, to_s=loop.time()
        )
    )
    trial.operator.end_evacuation(DATA_CENTRE)
    await asyncio.sleep(draw.uniform(0.0, 2.0))
    with trial.recorded_fault("cold return"):
        await _return_cold(trial, draw)
    await asyncio.sleep(COLD_S)


async def _return_cold(
    trial: soak_trial.SoakTrial, draw: random.Random
) -> None:
    """Replaces all replicas of the data centre with cold ones."""
    ended = [
        replica_id
        for replica_id in list(trial.replicas)
        if trial.data_centres[replica_id] == DATA_CENTRE
        and not replica_id.startswith(soak_trial.BAD_VERSION)
    ]
    for replica_id in ended:
        replica = trial.replicas[replica_id]
        trial.mark_ended(replica_id)
        await replica.stop()
        trial.replica_proxies[replica_id].reset_all()
        trial.operator.delist_replica(replica_id)
    await asyncio.sleep(draw.uniform(0.2, 1.0))
    for number in range(len(ended)):
        await trial.add_replica(
            f"v1-cold-{number}",
            "v1",
            data_centre=DATA_CENTRE,
            cold_left_s=COLD_S,
        )
