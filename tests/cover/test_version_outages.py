"""Roll-outs of a fleet of which some instances lose the store."""

import asyncio
import unittest

from nutmeghook.internal.version_plans import plan as plan_module
from tests import version_fixture
from tests import version_outages


def scene(*, bad_share: float) -> version_outages.Scene:
    """Nine instances, six cut off for 8 s or more, ten requests a second."""
    times = 2 * [(0.4, 8.0)] + [(3.0, 12.8)] + 3 * [(12.8, 60.0)]
    outages = tuple(
        version_outages.Outage(instance=number, from_s=begin, to_s=end)
        for number, (begin, end) in enumerate(times)
    )
    return version_outages.Scene(
        instances=9, per_s=9.5, bad_share=bad_share, outages=outages
    )


class OutagesTest(unittest.TestCase):
    def endings(
        self, bad_share: float, *, seeds: int
    ) -> list[version_outages.Ending]:
        """Returns how an order ends with each seed."""
        # The loop's debug mode would make them five times as slow.
        return [
            asyncio.run(
                version_outages.VersionFleet(
                    scene=scene(bad_share=bad_share), seed=seed
                ).to_verdict()
            )
            for seed in range(seeds)
        ]

    def test_a_bad_version_is_rarely_completed(self):
        """Instances that never lost the store decide on few answers.
        A version fails 35 of 100 requests and 10 answers are known. Half of the
        orders could be completed; with so few answers one in five still is.
        """
        endings = self.endings(0.35, seeds=40)
        completed = [
            ending
            for ending in endings
            if ending.verdict is plan_module.Verdict.GOOD
        ]
        self.assertLessEqual(len(completed), len(endings) // 4)

    def test_a_good_version_is_completed_in_time(self):
        """A version fails 2 of 100 requests; caution must not delay it.
        All orders are completed within their time.
        """
        for ending in self.endings(0.02, seeds=20):
            self.assertEqual(ending.verdict, plan_module.Verdict.GOOD)
            self.assertLess(ending.at_s, version_fixture.WITHIN_S)


if __name__ == "__main__":
    unittest.main()
