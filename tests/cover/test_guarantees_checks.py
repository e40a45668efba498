"""The checks of configuration revisions and of departures can fail."""

import unittest

from nutmeghook.experiment import checks

ACCEPTED = [
    checks.AcceptedRevision(revision=2, in_force_ms=100.0),
    checks.AcceptedRevision(revision=3, in_force_ms=200.0),
]


def revisions_seen(*reports):
    return [
        checks.ObservedRevision(
            instance=name, asked_ms=asked_ms, revision=revision
        )
        for name, asked_ms, revision in reports
    ]


class RevisionChecksTest(unittest.TestCase):
    def rules(self, *reports, frozen=()):
        found = checks.check_revisions(
            revisions_seen(*reports), ACCEPTED, frozen=frozenset(frozen)
        )
        return [(v.rule, v.marker) for v in found]

    def test_newer_revisions_in_time_break_no_rule(self):
        reports = (("a", 0, 1), ("b", 99, 1), ("a", 99, 3), ("b", 150, 2))
        self.assertEqual(self.rules(*reports, ("b", 201, 3)), [])

    def test_each_instance_is_checked_against_its_own_history(self):
        reports = (("a", 0, 3), ("b", 1, 2), ("a", 2, 2), ("a", 3, 3))
        self.assertEqual(self.rules(*reports), [(checks.Rule.REVERTED, "a")])

    def test_late_revisions_are_reported_and_frozen_instances_must_not_revert(
        self,
    ):
        late = (checks.Rule.NOT_IN_FORCE, "a")
        self.assertEqual(self.rules(("a", 101, 1)), [late])
        self.assertEqual(self.rules(("a", 101, 1), frozen="a"), [])
        back = (("a", 0, 2), ("a", 300, 1))
        self.assertEqual(
            self.rules(*back, frozen="a"), [(checks.Rule.REVERTED, "a")]
        )


class DepartureChecksTest(unittest.TestCase):
    def test_only_runs_started_after_the_bound_are_reported(self):
        runs = [
            checks.Run(request_id="", marker=f"w{at_ms}", started_ms=at_ms)
            for at_ms in (1.0, 10.0, 11.0)
        ]
        gone = checks.Departure(name="e", runs=runs, no_work_from_ms=10.0)
        found = list(checks.check_departures([gone]))
        self.assertEqual(
            [(v.rule, v.marker) for v in found],
            [(checks.Rule.AFTER_LEAVING, "w11.0")],
        )
