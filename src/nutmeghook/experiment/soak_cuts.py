"""Cuts routers off from all replicas during a soak, one to all but one."""

import asyncio
import random

from nutmeghook.experiment import cut_paths
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial

_BETWEEN_S = (0.2, 2.0)
# Some end before the users' bound applies, and some flap.
_LENGTHS_S = (0.4, 2.0, 5.0, 8.0)
_CUTS = (
    cut_paths.PathCut.REFUSED,
    cut_paths.PathCut.SILENT,
    cut_paths.PathCut.RESET,
)


async def play(
    trial: soak_trial.SoakTrial, draw: random.Random, *, seconds: float
) -> None:
    """Cuts routers off, each time others, in series."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        await asyncio.sleep(draw.uniform(*_BETWEEN_S))
        most = len(trial.routers) - 1
        chosen = draw.sample(trial.routers, draw.randint(1, most))
        cut, length_s = draw.choice(_CUTS), draw.choice(_LENGTHS_S)
        from_s = loop.time()
        for router in chosen:
            router.cut(cut)
        await asyncio.sleep(length_s)
        for router in chosen:
            router.cut(cut_paths.PathCut.NONE)
        trial.cuts.append(
            soak_checks.PathsCut(
                kind=cut.value,
                routers=frozenset(router.name for router in chosen),
                from_s=from_s,
                to_s=loop.time(),
            )
        )
