"""Trials with stores that are down, hang, are slow or lose answers."""

from nutmeghook.experiment import faults
from tests.whole import trial_case


class StoreTrialsTest(trial_case.TrialCase):
    """Outages of the table service and the object store."""

    def test_both_stores_down(self):
        """Both stores fail, so no claim and no bill can become durable. Callers
        are refused as "not run", which must be true. Answers in progress wait
        for their bill; none may be completed unbilled.
        """
        self.check_under(faults.table_down, faults.objects_down)

    def test_lost_answers_with_a_kill(self):
        """Commits take effect but their answers are lost, and an instance is
        killed with such writes in doubt. Its successor reads the rows; no bill
        may be missing or duplicate, and no claim won twice.
        """
        self.check_under(faults.table_loses_answers, faults.kill_instance)

    def test_late_effects_with_racing_operators(self):
        """Commits with an unknown outcome take effect 0.5 s later, while two
        operators replace the same template five times from the same revision.
        Exactly one of the two must be accepted each time.
        """
        self.check_under(faults.table_effects_late, faults.operators_race)

    def test_slow_table_with_a_freeze(self):
        """Each table call, lease renewals included, takes 0.4 s longer while an
        instance is frozen past its leases and resumes.
        """
        self.check_under(faults.table_slow, faults.freeze_instance)

    def test_hanging_table_with_a_kill(self):
        """The table service never answers, and an instance is killed while
        bills wait. A completed answer must be billed, so none may be completed
        before its bill is durable in the table or the object store.
        """
        self.check_under(faults.table_hangs, faults.kill_instance)
