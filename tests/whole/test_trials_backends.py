"""Engines and services that fail, and versions that are bad."""

from nutmeghook.experiment import faults
from tests.whole import trial_case


class BackendTrialsTest(trial_case.TrialCase):
    """What backend servers do to callers' answers."""

    def test_cut_and_crossed_streams_and_crashes(self):
        """Engines break streams in the middle, send chunks of other requests
        and die with their memory. Callers get their own whole answers, or an
        error that says whether the work ran; never a spliced text.
        """
        self.hold_under(faults.engines_cut_streams, faults.engine_crashes)

    def test_bad_rollout_without_ratings_and_with_a_freeze(self):
        """A bad version is rolled out while the rating service is out and an
        instance, perhaps the one that drives the roll-out, stands still.
        Without ratings the share must not grow, and sessions stay on their
        version.
        """
        self.hold_under(
            faults.bad_rollout, faults.ratings_down, faults.freeze_instance
        )

    def test_instance_list_down_with_a_kill(self):
        """The platform's list is out when an instance dies: the others must
        find out by themselves, and the replacement must join by its peers'
        word or as soon as the list is back.
        """
        self.hold_under(faults.instance_list_down, faults.kill_instance)
