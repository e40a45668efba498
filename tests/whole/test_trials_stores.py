"""The platform's stores down, hanging, slow, losing answers, too late."""

from nutmeghook.experiment import faults
from tests.whole import trial_case


class StoreTrialsTest(trial_case.TrialCase):
    """Outages of the table service and the object store."""

    def test_both_stores_down(self):
        """Neither store takes anything, so no claim and no bill can be made
        durable. Callers are refused as "not run", and that is true; answers
        that were under way wait for their bill, and none is given unbilled.
        """
        self.check_under(faults.table_down, faults.objects_down)

    def test_lost_answers_with_a_kill(self):
        """Commits take effect but their answers are lost, and an instance
        dies before it has found out. Its successor reads the rows back; no
        bill may be missing or doubled, no claim won by two.
        """
        self.check_under(faults.table_loses_answers, faults.kill_instance)

    def test_late_effects_with_racing_operators(self):
        """Commits whose outcome is unknown take effect half a second later,
        while two operators replace the same template five times from the
        same revision. One of the two is accepted each time, never both.
        """
        self.check_under(faults.table_effects_late, faults.operators_race)

    def test_slow_table_with_a_freeze(self):
        """Each call takes 0.4 s longer, renewals of leases too, while an
        instance stands still past its leases and wakes.
        """
        self.check_under(faults.table_slow, faults.freeze_instance)

    def test_hanging_table_with_a_kill(self):
        """The table service takes requests and never answers; an instance
        dies while the bills of its answers wait. An answer that a caller has
        whole must be billed: so none may have been given before its bill was
        durable, here or in the object store.
        """
        self.check_under(faults.table_hangs, faults.kill_instance)
