"""Router processes on a stand-in platform, with overlapping faults."""

import asyncio
import dataclasses
import pathlib
import tempfile
import unittest

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial

SEED = 1
GOOD = platform_checks.ObservedCall(
    request_id="id",
    kind="stream",
    key="key",
    status=200,
    body=platform_checks.WHOLE_STREAM,
    complete=True,
    sealed=True,
    sent_s=10.0,
)


class TrialTest(unittest.TestCase):
    def test_kill_stop_outage_removed_key_and_bad_version_together(self):
        """Under load a bad version is ordered, one router is killed and
        another stopped, the store refuses all requests, a replica crashes and
        an API key is removed. Callers get complete answers or true errors,
        requests that may run once don't run twice, and the version is reverted.
        """
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(
                platform_trial.run(folder=pathlib.Path(folder), seed=SEED)
            )
        self.assertEqual(report.violations, [])
        self.assertEqual(report.roll_out, "reverted")
        self.assertGreater(report.answered, 0)


class ChecksCanFailTest(unittest.TestCase):
    """Each check finds its defect in a history made for it."""

    def found(self, *, runs: int = 1, stop_status: int = 0, **changes):
        """Returns the violations of one call."""
        call = dataclasses.replace(GOOD, **changes)
        return platform_checks.violations(
            calls=[call],
            runs={"id": runs},
            removed_key="removed",
            removed_at_s=5.0,
            stop_statuses=[stop_status],
        )

    def test_a_good_history_has_no_violations(self):
        self.assertEqual(self.found(), [])
        cut = {"body": GOOD.body[:20], "complete": False}
        self.assertEqual(self.found(**cut), [])

    def test_each_defect_is_found(self):
        defects = (
            {"kind": "once", "body": b"done", "runs": 2},
            {"status": 503},
            {"body": GOOD.body[:-1]},
            {"body": GOOD.body[10:]},
            {"sealed": False},
            {"key": "removed"},
            {"key": "removed", "status": 401},
            {"stop_status": 1},
        )
        for defect in defects:
            with self.subTest(defect=defect):
                self.assertEqual(len(self.found(**defect)), 1)


if __name__ == "__main__":
    unittest.main()
