"""Requests at several router processes that share a crashing prompt part."""

import asyncio
import unittest

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import soak_checks
from tests.whole import platform_trial_case

REPLICAS = 6
COMMON = "feed"
# Requests that the users' rule allows once five replicas have crashed.
SENDS_AFTER_FIVE = 3
# Sound requests are judged from this multiple of the undisturbed time on.
SERVED_FROM = 2
SOUND_RATE_PER_S = 30.0
CRASHING_RATE_PER_S = 4.0
SECONDS = 8.0
JUDGED_S = 4.0
IDENTIFYING_CRASHES = 5


class CrashingPartTest(platform_trial_case.PlatformTrialCase):
    async def _send(self, rate_per_s: float, *parts: str) -> None:
        """Sends streams to all routers, no two alike, until cancelled."""
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while True:
                number += 1
                body = f"{parts} {number}".encode()
                tasks.create_task(
                    self.trial.call("stream", body=body, parts=parts)
                )
                await asyncio.sleep(1 / rate_per_s)

    def _arrivals_after(self, from_s: float) -> int:
        """Returns how many crashing requests reached a replica since."""
        return sum(
            platform_checks.CRASHING_PART in request.prompt_part_ids
            and request.arrived_s > from_s
            for replica in self.trial.all_replicas().values()
            for request in replica.received
        )

    def _served_share(self, from_s: float) -> float:
        """Returns the share of sound requests since then that were served."""
        statuses = [
            call.status
            for call in self.trial.calls
            if call.sent_s > from_s
            and platform_checks.CRASHING_PART.encode() not in call.sent_body
        ]
        return statuses.count(200) / len(statuses)

    async def test_requests_with_a_crashing_part_stop_and_others_are_served(
        self,
    ):
        """No request is seen twice, and each router sees a few of them only."""
        for number in range(3, REPLICAS):
            await self.trial.add_replica(f"v1-{number}", "v1")
        loads = [
            asyncio.create_task(self._send(SOUND_RATE_PER_S, COMMON)),
            asyncio.create_task(
                self._send(
                    CRASHING_RATE_PER_S, COMMON, platform_checks.CRASHING_PART
                )
            ),
        ]
        await asyncio.sleep(SECONDS)
        self.assertTrue(self.trial.crashes)
        # A probe may be the fifth crash.
        last_s = self.trial.crashes[:IDENTIFYING_CRASHES][-1].at_s
        undisturbed_s = soak_checks.UNDISTURBED_S
        served_from_s = last_s + SERVED_FROM * undisturbed_s
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(served_from_s + JUDGED_S - now_s)
        for load in loads:
            load.cancel()
        await asyncio.wait(loads)
        self.assertLessEqual(
            self._arrivals_after(last_s + undisturbed_s), SENDS_AFTER_FIVE
        )
        self.assertGreaterEqual(self._served_share(served_from_s), 0.5)


if __name__ == "__main__":
    unittest.main()
