"""Answers and their bills while neither store responds."""

import asyncio

from nutmeghook.experiment import faults
from nutmeghook.experiment import history
from nutmeghook.experiment import trial as trial_module
from tests.whole import guarantee_case

WORKS = 240
WORKS_PER_S = 40.0
FAULTS_AFTER_S = 1.0


class BillTest(guarantee_case.GuaranteeCase):
    """An instance crashes while its bills are only in its memory."""

    def test_no_answer_before_its_bill_with_both_stores_silent(self):
        """Both stores accept requests and never answer, and an instance is
        killed. An answer completed while its bill was only in that instance's
        memory would stay unbilled. Refusals as "not run" must be true.
        """
        works = self.run_trial(self._stores_hang)
        tries = [one for work in works for one in work.tries]
        by_outcome = {
            outcome: sum(t.outcome is outcome for t in tries)
            for outcome in history.TryOutcome
        }
        self.assertEqual(len(works), WORKS)
        self.assertGreater(by_outcome[history.TryOutcome.CUT], 0)
        refused = [t for t in tries if t.outcome is history.TryOutcome.NOT_RUN]
        self.assertGreater(len([t for t in refused if t.request_id]), 0)

    async def _stores_hang(self, trial: trial_module.Trial) -> None:
        load = asyncio.create_task(
            trial.load(works=WORKS, rate_per_s=WORKS_PER_S)
        )
        await asyncio.sleep(FAULTS_AFTER_S)
        await asyncio.gather(
            faults.table_hangs(trial),
            faults.objects_hang(trial),
            faults.kill_instance(trial),
        )
        await load
