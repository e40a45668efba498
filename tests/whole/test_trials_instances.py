"""Instances that die, freeze and leave, alone and with other faults."""

from nutmeghook.experiment import faults
from nutmeghook.experiment import history
from tests.whole import trial_case


class InstanceTrialsTest(trial_case.TrialCase):
    """Kills, freezes and drains of entry instances."""

    def test_kill_with_calls_under_way(self):
        """An instance dies with requests, claims and bills in its memory.
        Its callers' connections are cut; they ask again under the same key
        and hear the first answer, or that it is unknown: another instance
        must not run the work again, nor bill it twice.
        """
        self.check_under(faults.services_slow, faults.kill_instance)

    def test_freeze_past_the_lease_with_a_kill(self):
        """An instance stands still for longer than its leases last, and
        another dies meanwhile. The third takes their ledger partitions over.
        The frozen one wakes in the middle of its commits and still believes
        that it may write; its rows must not take effect.
        """
        self.check_under(faults.freeze_instance, faults.kill_instance)

    def test_drain_while_services_lose_answers(self):
        """An instance is told to leave while plain services run calls and
        lose the answers. Nobody's request may be cut by the shutdown, and a
        booking whose answer was lost must not be sent a second time.
        """
        works = self.check_under(
            faults.services_lose_answers, faults.drain_instance
        )
        tries = [one for work in works for one in work.tries]
        cut = [t for t in tries if t.outcome is history.TryOutcome.CUT]
        self.assertEqual(cut, [])
