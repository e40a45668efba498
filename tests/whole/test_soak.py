"""Short soaks: routers as processes under troubles drawn from a seed."""

import asyncio
import pathlib
import tempfile
import unittest

from nutmeghook.experiment import soak

# Seeds that once failed, each with what it showed, and one more.
SEEDS = (1,)
SECONDS = 6.0


class SoakTest(unittest.TestCase):
    def test_troubles_that_overlap_break_nothing_that_must_hold(self):
        """Routers are killed, frozen and stopped; the store, the ways to it
        and to replicas fail in turn; replicas crash and leave; a key goes and
        comes back; a bad version is ordered. Callers get whole answers or the
        truth, and all routers serve again afterwards.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as at:
                report = asyncio.run(
                    soak.run(
                        folder=pathlib.Path(at),
                        seed=seed,
                        seconds=SECONDS,
                        with_bounds=False,
                    )
                )
                self.assertEqual(report.violations, [])
                self.assertGreater(report.answered, 0)


if __name__ == "__main__":
    unittest.main()
