"""Runs router processes on the stand-in of the users' platform as tests."""

import asyncio
import pathlib
import tempfile
import unittest

from nutmeghook.experiment import platform_trial
from nutmeghook.standins import users_replica


class PlatformTrialCase(unittest.IsolatedAsyncioTestCase):
    """Gives each test a trial of three replicas and some routers."""

    router_count = 3

    async def asyncSetUp(self):
        # In unittest's debug mode the loop, on which the replicas and callers
        # run too, stalls for a second under some hundred requests a second.
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.trial = platform_trial.PlatformTrial(
            folder=pathlib.Path(folder.name),
            seed=1,
            routers=self.router_count,
        )
        self.addAsyncCleanup(self.trial.end)
        await self.trial.start()

    def list_slots(self, slots: int, *, work_s: float) -> None:
        """Has all replicas list so many slots, and answer within a time."""
        for replica in self.trial.replicas.values():
            self.trial.operator.list_replica(
                replica.replica_id,
                address=replica.address,
                version="v1",
                slots=slots,
            )
            replica.slots = slots
            replica.decide_by(
                lambda _: users_replica.Reply(events=(0, 1), pause_s=work_s / 2)
            )
