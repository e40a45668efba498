"""Callers that don't wait for a fleet that is lost."""

import asyncio
import dataclasses
import random

import aiohttp

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import trial_routers

# A connection that is refused fails at once, and callers repeat at once.
_REPEAT_DELAY_S = 0.05
# Of the balancer's questions to a router.
_ASK_PERIOD_S = 1.0
_ASK_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_SEED = 1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Load:
    """What callers ask for.

    Attributes:
        rate_per_s: New calls, whatever becomes of those before.
        repeats: How often a call that fails is sent again, to any router.
    """

    rate_per_s: float = 40.0
    repeats: int = 0


class _Balancer:
    """Sends callers to routers that say they are ready, while there are any."""

    __slots__ = ("_random", "_ready", "_trial")

    def __init__(self, *, trial: platform_trial.PlatformTrial):
        self._trial = trial
        self._random = random.Random(_SEED)
        self._ready: set[str] = set()

    def pick(self) -> trial_routers.RouterProcess:
        """Returns a router for a call."""
        routers = self._trial.routers
        ready = [one for one in routers if one.name in self._ready]
        return self._random.choice(ready or routers)

    async def run(self) -> None:
        """Asks all routers, each periodically, until cancelled."""
        async with (
            aiohttp.ClientSession(timeout=_ASK_TIMEOUT) as session,
            asyncio.TaskGroup() as tasks,
        ):
            for router in self._trial.routers:
                tasks.create_task(self._watch(router, session))

    async def _watch(
        self,
        router: trial_routers.RouterProcess,
        session: aiohttp.ClientSession,
    ) -> None:
        while True:
            if await _is_ready(router, session):
                self._ready.add(router.name)
            else:
                self._ready.discard(router.name)
            await asyncio.sleep(_ASK_PERIOD_S * self._random.uniform(0.5, 1.5))


async def _is_ready(
    router: trial_routers.RouterProcess, session: aiohttp.ClientSession
) -> bool:
    try:
        async with session.get(f"http://{router.ready_address}/") as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def run(
    trial: platform_trial.PlatformTrial, load: Load, *, seconds: float
) -> None:
    """Sends a load for so long.

    Calls that are due while this process is busy are sent as soon as it can, so
    that their number does not depend on how long others take.
    """
    loop = asyncio.get_running_loop()
    balancer = _Balancer(trial=trial)
    asking = asyncio.create_task(balancer.run())
    began_s = loop.time()
    async with asyncio.TaskGroup() as tasks:
        for number in range(round(seconds * load.rate_per_s)):
            due_s = began_s + number / load.rate_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            tasks.create_task(_call(trial, balancer, repeats=load.repeats))
    asking.cancel()


async def _call(
    trial: platform_trial.PlatformTrial, balancer: _Balancer, *, repeats: int
) -> None:
    for _ in range(1 + repeats):
        observed = await trial.call_any(router=balancer.pick())
        if is_answered(observed):
            return
        await asyncio.sleep(_REPEAT_DELAY_S)


def is_answered(call: platform_checks.ObservedCall) -> bool:
    """Tells whether a caller got its whole answer."""
    return call.status == 200 and call.complete
