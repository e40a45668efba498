"""Trials with instances that are killed, frozen and drained."""

from nutmeghook.experiment import faults
from nutmeghook.experiment import history
from tests.whole import trial_case


class InstanceTrialsTest(trial_case.TrialCase):
    """Kills, freezes and drains of entry instances."""

    def test_kill_with_calls_under_way(self):
        """An instance is killed with requests, claims and bills in memory. Its
        callers retry with the same key and get the first answer, or an unknown
        outcome. No other instance may run the work again or bill it twice.
        """
        self.check_under(faults.services_slow, faults.kill_instance)

    def test_freeze_past_the_lease_with_a_kill(self):
        """An instance is frozen for longer than its leases, and another is
        killed. The third takes over their ledger partitions. The frozen one
        resumes during its commits, unaware that its leases have expired; its
        rows must not take effect.
        """
        self.check_under(faults.freeze_instance, faults.kill_instance)

    def test_drain_while_services_lose_answers(self):
        """An instance gets SIGTERM while plain services run calls and lose the
        answers. The shutdown may cut no request, and a booking whose answer
        was lost must not be sent a second time.
        """
        works = self.check_under(
            faults.services_lose_answers, faults.drain_instance
        )
        tries = [one for work in works for one in work.tries]
        cut = [t for t in tries if t.outcome is history.TryOutcome.CUT]
        self.assertEqual(cut, [])
