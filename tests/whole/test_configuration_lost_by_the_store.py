"""Router processes whose store comes back without a confirmed change.

The operator writes the change again seconds later. Until then only the
instances know it.
"""

import asyncio
import unittest

from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import trial_routers
from nutmeghook.internal.table_replication import follower
from nutmeghook.standins import users_store
from tests.whole import platform_trial_case

REMOVED_KEY = platform_trial.KEYS[1]
IN_FORCE_S = 2.0
# For so long after its start or a standstill a router is not judged.
SETTLING_S = 3.0
WRITTEN_AGAIN_S = 5.0
_PAUSE_S = 0.05


class ConfigurationLostByTheStoreTest(platform_trial_case.PlatformTrialCase):
    async def lose_the_removal_of_a_key(self) -> None:
        """Has the store lose a change that is in force on running routers."""
        copy = self.trial.store.copy()
        self.trial.remove_key()
        await asyncio.sleep(IN_FORCE_S)
        self.trial.store.fault = users_store.StoreFault.REFUSING
        await asyncio.sleep(0.3)
        self.lost = self.trial.store.restore(copy)
        self.trial.store.fault = users_store.StoreFault.NONE

    async def statuses(
        self, router: trial_routers.RouterProcess, *, key: str, seconds: float
    ) -> list[int]:
        """Returns the statuses of calls to one router, one by one."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        found = []
        while loop.time() < end_s:
            call = await self.trial.call("probe", key=key, router=router)
            found.append(call.status)
            await asyncio.sleep(_PAUSE_S)
        return found

    async def check_denies(self, router: trial_routers.RouterProcess) -> None:
        """The removed key is denied, and the other one accepted."""
        await asyncio.sleep(SETTLING_S)
        denied = await self.statuses(
            router, key=REMOVED_KEY, seconds=WRITTEN_AGAIN_S
        )
        self.assertEqual(set(denied), {401})
        self.trial.store.write_again(self.lost)
        await asyncio.sleep(IN_FORCE_S)
        for key, status in zip(platform_trial.KEYS, (200, 401), strict=True):
            found = await self.statuses(router, key=key, seconds=0.5)
            self.assertEqual(set(found), {status})

    async def test_a_router_that_starts_denies_a_removed_key(self):
        """It took the copy for the newest, and let the key in until the
        operator wrote again; its peers kept what they knew to themselves.
        """
        starting = self.trial.routers[0]
        await starting.kill()
        await self.lose_the_removal_of_a_key()
        await starting.start()
        await self.check_denies(starting)

    async def test_a_router_that_stood_still_denies_a_removed_key(self):
        """It had slept through the change as well as the restore."""
        paused = self.trial.routers[0]
        paused.pause()
        # The answers to its waiting calls don't have the change either.
        await asyncio.sleep(follower.FEED_WAIT.total_seconds() + 0.5)
        await self.lose_the_removal_of_a_key()
        # By then the others' tables are those of the copy.
        await asyncio.sleep(2 * follower.MAX_RETRY_DELAY.total_seconds())
        paused.resume()
        await self.check_denies(paused)


if __name__ == "__main__":
    unittest.main()
