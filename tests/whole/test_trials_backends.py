"""Trials with failing engines and services, and bad versions."""

from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import faults
from tests.whole import trial_case


class BackendTrialsTest(trial_case.TrialCase):
    """Faults of backend servers, the instance list and roll-outs."""

    def test_cut_and_crossed_streams_and_crashes(self):
        """Engines cut streams, send chunks of other requests and crash.
        Callers get their own complete answers or an error that says whether
        the work ran, never text from several answers.
        """
        self.check_under(faults.engines_cut_streams, faults.engine_crashes)

    def test_bad_rollout_without_ratings_and_with_a_freeze(self):
        """A bad version is rolled out while the rating service is down and an
        instance, possibly the one that drives the roll-out, is frozen. Without
        ratings the share must not grow, and sessions stay on their version.
        """
        self.check_under(
            faults.bad_rollout, faults.ratings_down, faults.freeze_instance
        )

    def test_instance_list_down_with_a_kill(self):
        """The platform's list is down when an instance is killed. The others
        must detect it themselves, and the replacement must join through its
        peers or as soon as the list is back.
        """
        self.check_under(faults.instance_list_down, faults.kill_instance)

    def test_good_rollout_with_a_freeze(self):
        """A good version goes from 30 to 60 to 100% of new sessions while an
        instance is frozen past its leases and resumes with shares that are
        seconds old. A session that began on the old version must stay on it on
        every instance.
        """
        works = self.check_under(
            faults.good_rollout, faults.freeze_instance, works=480
        )
        versions = {a.served_version for w in works for a in w.answers}
        self.assertIn(str(example_fleet.GOOD_VERSION), versions)

    def test_withdrawal_half_way_with_a_freeze(self):
        """A version is withdrawn during its roll-out, while an instance is
        frozen. When it resumes, its configuration predates the withdrawal and
        admitted requests wait in it. It must not send the version new work
        after the change's bound.
        """
        works = self.check_under(
            faults.withdrawal, faults.freeze_instance, works=480
        )
        versions = {a.served_version for w in works for a in w.answers}
        self.assertIn(str(example_fleet.GOOD_VERSION), versions)
