"""Engines and services that fail, and versions that are bad."""

from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import faults
from tests.whole import trial_case


class BackendTrialsTest(trial_case.TrialCase):
    """What backend servers do to callers' answers."""

    def test_cut_and_crossed_streams_and_crashes(self):
        """Engines break streams in the middle, send chunks of other requests
        and die with their memory. Callers get their own whole answers, or an
        error that says whether the work ran; never a spliced text.
        """
        self.check_under(faults.engines_cut_streams, faults.engine_crashes)

    def test_bad_rollout_without_ratings_and_with_a_freeze(self):
        """A bad version is rolled out while the rating service is out and an
        instance, perhaps the one that drives the roll-out, stands still.
        Without ratings the share must not grow, and sessions stay on their
        version.
        """
        self.check_under(
            faults.bad_rollout, faults.ratings_down, faults.freeze_instance
        )

    def test_instance_list_down_with_a_kill(self):
        """The platform's list is out when an instance dies: the others must
        find out by themselves, and the replacement must join by its peers'
        word or as soon as the list is back.
        """
        self.check_under(faults.instance_list_down, faults.kill_instance)

    def test_good_rollout_with_a_freeze(self):
        """A good version goes from 30 to 60 to 100% of new sessions while an
        instance stands still past its leases. A session that began on the
        old version must stay there, on every instance, however the shares
        move; the frozen one wakes with shares that are seconds old.
        """
        works = self.check_under(
            faults.good_rollout, faults.freeze_instance, works=480
        )
        versions = {a.served_version for w in works for a in w.answers}
        self.assertIn(str(example_fleet.GOOD_VERSION), versions)

    def test_withdrawal_half_way_with_a_freeze(self):
        """An operator withdraws a version that is half rolled out, while an
        instance stands still. When it wakes, its configuration is older than
        the withdrawal, and requests wait in it that were admitted before; it
        must not give the version new work once the change is to be in force.
        """
        works = self.check_under(
            faults.withdrawal, faults.freeze_instance, works=480
        )
        versions = {a.served_version for w in works for a in w.answers}
        self.assertIn(str(example_fleet.GOOD_VERSION), versions)
