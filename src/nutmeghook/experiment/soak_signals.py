"""Replicas of a soak that state a rate limit, ask for rest, or leave.

Signals overlap with each other and with all other faults, also at one replica.
"""

import asyncio
import random

from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica

_LIMITS_PER_S = (0.4, 1.0, 2.5, 6.0)
_RESTS_S = (0.5, 1.0, 3.0)
_REFUSAL = users_replica.Reply(status=503, not_run=True)


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
        kinds = (self._state_limit, self._state_limit, self._rest, self._leave)
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
        """Has a replica state a limit for some seconds."""
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

    async def _rest(self, draw: random.Random) -> None:
        """Has a replica turn all requests away and ask for rest."""
        replica = self._random_replica(draw)
        rest_s = draw.choice(_RESTS_S)
        if headers.REST in self._headers.get(replica.replica_id, {}):
            return
        self._set(replica, headers.REST, str(rest_s))
        answer = replica.decide

        def refuse(
            request: users_replica.ReceivedRequest,
        ) -> users_replica.Reply:
            self._trial.refusals.append(
                soak_checks.RestingRefusal(
                    replica_id=replica.replica_id,
                    request_id=request.request_id,
                    at_s=request.arrived_s,
                    rest_s=rest_s,
                )
            )
            return _REFUSAL

        replica.decide_by(refuse)
        await asyncio.sleep(rest_s + draw.uniform(0.0, 2.0))
        replica.decide_by(answer)
        self._set(replica, headers.REST, None)

    async def _leave(self, draw: random.Random) -> None:
        """Has a replica say that it leaves, and end some seconds later."""
        replica = self._random_replica(draw)
        replica_id = replica.replica_id
        if headers.LEAVING in self._headers.get(replica_id, {}):
            return
        await self._trial.add_replica(f"{replica_id}-next", "v1")
        self._set(replica, headers.LEAVING, "1")
        self._trial.said_leaving_since_s[replica_id] = (
            asyncio.get_running_loop().time()
        )
        await asyncio.sleep(2 * soak_checks.DRAIN_BOUND_S)
        self._trial.mark_ended(replica_id)
        self._trial.operator.delist_replica(replica_id)
