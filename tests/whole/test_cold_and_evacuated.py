"""Router processes with evacuated data centres and cold replicas."""

import asyncio
import pathlib
import tempfile
import unittest

from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import trial_routers
from nutmeghook.internal.replicas import sender_election

IN_FORCE_S = 2.0
# The service's rate limit on a cold replica, and the most requests that the
# settings of RouterProcess allow in one second (coldOverrun, coldAllowance).
COLD_PER_S = 8.0
MOST_IN_ONE_SECOND = COLD_PER_S * 1.5 + 5
COLD_S = 4.0


class ColdAndEvacuatedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.trial = platform_trial.PlatformTrial(
            folder=pathlib.Path(folder.name), seed=1, routers=3
        )
        self.trial.operator.cold_limits = {
            "coldS": COLD_S,
            "coldPerS": COLD_PER_S,
        }
        self.addAsyncCleanup(self.trial.end)
        await self.trial.start()

    def arrivals_s(self, *replica_ids: str) -> list[float]:
        """Returns the arrival times of requests at some replicas, in order."""
        replicas = self.trial.all_replicas()
        return sorted(
            request.arrived_s
            for replica_id in replica_ids
            for request in replicas[replica_id].received
        )

    async def calls(
        self, count: int, *, kind: str = "stream", gap_s: float = 0.01
    ) -> list[int]:
        """Sends requests to all routers; returns their statuses."""
        async with asyncio.TaskGroup() as tasks:
            sent = []
            for number in range(count):
                router: trial_routers.RouterProcess = self.trial.routers[
                    number % len(self.trial.routers)
                ]
                sent.append(
                    tasks.create_task(self.trial.call(kind, router=router))
                )
                await asyncio.sleep(gap_s)
        return [task.result().status for task in sent]

    async def test_an_evacuated_data_centre_gets_no_requests_until_the_end(
        self,
    ):
        """An evacuation must be in force on every router for all kinds of
        requests, or evacuated replicas still get some. It ends with its row.
        """
        await self.trial.add_replica("far-1", "v1", data_centre="annex")
        await asyncio.sleep(IN_FORCE_S)
        self.trial.operator.evacuate("hall")
        await asyncio.sleep(IN_FORCE_S)
        in_hall = [i for i in self.trial.replicas if i != "far-1"]
        before = len(self.arrivals_s(*in_hall))
        for kind in ("stream", "once", "probe"):
            await self.calls(12, kind=kind)
        self.assertEqual(len(self.arrivals_s(*in_hall)), before)
        self.assertGreaterEqual(len(self.arrivals_s("far-1")), 36)
        self.trial.operator.end_evacuation("hall")
        await asyncio.sleep(IN_FORCE_S + COLD_S)
        await self.calls(12)
        self.assertGreater(len(self.arrivals_s(*in_hall)), before)

    async def test_a_cold_replica_gets_no_more_than_its_limit(self):
        """A cold replica has the lowest load, so all routers would send to it
        at once. It gets some requests, but within its limit in every second.
        """
        for replica_id in list(self.trial.replicas):
            self.trial.operator.delist_replica(replica_id)
        await self.trial.add_replica("cold-1", "v1", cold_left_s=60.0)
        await asyncio.sleep(sender_election.SETTLING_TIME.total_seconds())
        await self.calls(150)
        arrived_s = self.arrivals_s("cold-1")
        worst = soak_checks.max_in_one_second(arrived_s)
        self.assertLessEqual(worst, MOST_IN_ONE_SECOND)
        self.assertGreater(len(arrived_s), 0)


if __name__ == "__main__":
    unittest.main()
