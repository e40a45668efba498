"""Replicas of a soak that state a rate limit, under all other faults."""

import asyncio
import random

from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica

_LIMITS_PER_S = (0.4, 1.0, 2.5, 6.0)


async def play(
    trial: soak_trial.SoakTrial, draw: random.Random, *, seconds: float
) -> None:
    """Plays signals of replicas, overlapping."""
    await SignalPlayer(trial=trial, draw=draw).run(seconds=seconds)


class SignalPlayer:
    """Draws signals of replicas at random."""

    def __init__(self, *, trial: soak_trial.SoakTrial, draw: random.Random):
        self._trial = trial
        self._draw = draw
        # Headers by replica and kind of signal.
        self._headers: dict[str, dict[str, str]] = {}

    async def run(self, *, seconds: float) -> None:
        """Begins signals for a time and waits until the last has ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        kinds = (self._state_limit,)
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end_s:
                await asyncio.sleep(self._draw.uniform(0.5, 2.0))
                kind = self._draw.choice(kinds)
                signal_draw = random.Random(self._draw.getrandbits(64))
                tasks.create_task(kind(signal_draw))

    def _random_replica(
        self, draw: random.Random
    ) -> users_replica.StandInReplica:
        names = sorted(i for i in self._trial.replicas if i.startswith("v1"))
        return self._trial.replicas[draw.choice(names)]

    def _set(
        self,
        replica: users_replica.StandInReplica,
        name: str,
        value: str | None,
    ) -> None:
        """Sets a header of all of a replica's answers, or drops it."""
        fields = self._headers.setdefault(replica.replica_id, {})
        if value is None:
            fields.pop(name, None)
        else:
            fields[name] = value
        replica.signals = tuple(fields.items())

    async def _state_limit(self, draw: random.Random) -> None:
        """Has a replica state a limit that changes once, then ends."""
        replica = self._random_replica(draw)
        if headers.RATE_LIMIT in self._headers.get(replica.replica_id, {}):
            return
        loop = asyncio.get_running_loop()
        per_s = draw.choice(_LIMITS_PER_S)
        self._set(replica, headers.RATE_LIMIT, str(per_s))
        from_s = loop.time()
        await asyncio.sleep(draw.uniform(4.0, 8.0))
        self._trial.stated_limits.append(
            soak_checks.StatedLimit(
                replica_id=replica.replica_id,
                per_s=per_s,
                from_s=from_s,
                to_s=loop.time(),
            )
        )
        self._set(replica, headers.RATE_LIMIT, None)
