"""Answers and their bills while no store can keep anything."""

import asyncio

from nutmeghook.experiment import faults
from nutmeghook.experiment import history
from nutmeghook.experiment import trial as trial_module
from tests.whole import guarantee_case

WORKS = 240
WORKS_PER_S = 40.0
FAULTS_AFTER_S = 1.0


class BillTest(guarantee_case.GuaranteeCase):
    """An instance's memory is lost while its bills are nowhere else."""

    def test_no_answer_before_its_bill_with_both_stores_silent(self):
        """Callers wait for the end of their answers, or hear an error.

        Both stores take requests and never answer. A second later an instance
        dies with everything that it held. Whoever has a whole answer from it
        must have a bill in a store: none may have been given while its bill
        was in memory only. Refusals as "not run" are true meanwhile.
        """
        works = self.run_trial(self._silence)
        tries = [one for work in works for one in work.tries]
        by_outcome = {
            outcome: sum(t.outcome is outcome for t in tries)
            for outcome in history.TryOutcome
        }
        self.assertEqual(len(works), WORKS)
        self.assertGreater(by_outcome[history.TryOutcome.CUT], 0)
        told = [t for t in tries if t.outcome is history.TryOutcome.NOT_RUN]
        self.assertGreater(len([t for t in told if t.request_id]), 0)

    async def _silence(self, trial: trial_module.Trial) -> None:
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
