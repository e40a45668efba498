"""Copies of a crashing request at several router processes."""

import asyncio
import pathlib
import tempfile
import unittest

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import trial_routers

REPLICAS = 6
# The users' limit once a request has crashed three replicas.
RETRIES_AFTER_THREE = 3
# Within this time a router knows a newly listed replica.
LISTED_S = 0.5
# Other requests; without them the retry budget allows hardly any retry.
RATE_PER_S = 30.0
# Copies to each router, once the bound after the third crash has passed.
COPIES = 2


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.trial = platform_trial.PlatformTrial(
            folder=pathlib.Path(self.folder.name), seed=1
        )
        self.addAsyncCleanup(self.trial.end)
        await self.trial.start()
        for number in range(3, REPLICAS):
            await self.trial.add_replica(f"v1-{number}", "v1")

    async def copy(self, router: trial_routers.RouterProcess) -> None:
        """Sends the crashing request.

        Waits until the replicas that it crashed have been replaced.
        """
        await self.trial.call(
            "stream", router=router, body=platform_checks.CRASHING_BODY
        )
        await asyncio.sleep(platform_trial.RESTART_S + LISTED_S)

    @staticmethod
    async def end_of(load: asyncio.Task[None]) -> None:
        """Cancels the load."""
        load.cancel()
        await asyncio.wait({load})

    def arrivals_after(self, from_s: float) -> int:
        """Returns how often the crashing request reached a replica since."""
        return sum(
            request.body == platform_checks.CRASHING_BODY
            and request.arrived_s > from_s
            for replica in self.trial.all_replicas().values()
            for request in replica.received
        )

    async def test_all_routers_know_a_request_that_crashed_three_replicas(self):
        """Copies of a request that crashes its replicas come to each router,
        one of which starts only after three crashes. If routers don't share
        what they know of the request, each crashes further replicas.
        """
        load = asyncio.create_task(
            self.trial.load(seconds=60.0, rate_per_s=RATE_PER_S)
        )
        self.addAsyncCleanup(self.end_of, load)
        await asyncio.sleep(1.0)
        await self.copy(self.trial.routers[0])
        await self.copy(self.trial.routers[1])
        self.assertGreaterEqual(len(self.trial.crashes), 3)
        third_s = self.trial.crashes[2].at_s
        killed = self.trial.routers[0]
        await killed.kill()
        await killed.start()
        await self.trial.wait_until_serving(killed)
        # By then replicas are replaced and routers have exchanged state.
        await asyncio.sleep(soak_checks.UNDISTURBED_S)
        bound_s = asyncio.get_running_loop().time()
        self.assertGreater(bound_s, third_s + soak_checks.UNDISTURBED_S)
        for _ in range(COPIES):
            for router in self.trial.routers:
                await self.copy(router)
        self.assertLessEqual(self.arrivals_after(bound_s), RETRIES_AFTER_THREE)


if __name__ == "__main__":
    unittest.main()
