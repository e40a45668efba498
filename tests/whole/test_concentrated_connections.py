"""Most callers connect to one router, before replicas that want restraint."""

import asyncio
import random
import unittest

from tests.whole import platform_trial_case

ROUTERS = 7
# Of the connections, to the one router.
CONCENTRATION = 0.9
SLOTS = 12
WORK_S = 0.3
RATE_LIMIT_PER_S = 12.0
REFUSALS_PER_S = 3
# Callers send so much of what the replicas take.
LIMITED_LOAD = 0.6
BRITTLE_LOAD = 0.8
# New instances have no part of what replicas take for so long.
SETTLED_S = 10.0
# From when the connections came to one router until the bound applies.
IN_FORCE_S = 3.0
JUDGED_S = 4.0
# The users' bound on what is served, relative to before.
MIN_SERVED = 0.75


class ConcentratedConnectionsTest(platform_trial_case.PlatformTrialCase):
    router_count = ROUTERS

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.draw = random.Random(1)
        self.replicas = list(self.trial.replicas.values())
        self.list_slots(SLOTS, work_s=WORK_S)
        await asyncio.sleep(SETTLED_S)

    async def served(self, rate_per_s: float, concentration: float) -> float:
        """Returns the share of requests that are served once settled."""
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        calls = []
        while (now_s := loop.time()) < begin_s + IN_FORCE_S + JUDGED_S:
            # So many are due, also if this process was busy.
            due = (now_s - begin_s) * rate_per_s - len(calls)
            for _ in range(int(due)):
                router = self.draw.choice(self.trial.routers)
                if self.draw.random() < concentration:
                    router = self.trial.routers[0]
                calls.append(
                    asyncio.create_task(
                        self.trial.call("stream", router=router)
                    )
                )
            await asyncio.sleep(1 / rate_per_s)
        answers = await asyncio.gather(*calls)
        judged = [a for a in answers if a.sent_s >= begin_s + IN_FORCE_S]
        return sum(a.status == 200 for a in judged) / len(judged)

    async def assert_served_alike(self, rate_per_s: float) -> None:
        """Compares what is served with connections spread and concentrated."""
        before = await self.served(rate_per_s, 0.0)
        after = await self.served(rate_per_s, CONCENTRATION)
        self.assertGreaterEqual(after, MIN_SERVED * before)

    async def test_a_stated_limit_is_used_where_the_callers_are(self):
        """Each router has a fixed part of a replica's limit, and those parts
        stay unused whose routers get no connections.
        """
        for replica in self.replicas:
            replica.signals = (("Server-Limit", str(RATE_LIMIT_PER_S)),)
        await self.assert_served_alike(
            LIMITED_LOAD * RATE_LIMIT_PER_S * len(self.replicas)
        )

    async def test_brittle_replicas_take_what_they_have_room_for(self):
        """A router takes itself for one of many equal ones, and so expects
        several times the requests that there are.
        """
        for replica in self.replicas:
            replica.brittle = REFUSALS_PER_S
            replica.room = SLOTS
        await self.assert_served_alike(
            BRITTLE_LOAD * SLOTS / WORK_S * len(self.replicas)
        )
        self.assertEqual(sum(len(r.falls) for r in self.replicas), 0)


if __name__ == "__main__":
    unittest.main()
