"""The comparison of a test run with the failures listed in KNOWN-RED.txt."""

import unittest

from tests import known_red

TEST = "tests.cover.test_part.PartTest.test_it"
SOMETIMES = f"{TEST}, sometimes: on a busy machine; issue 1"
ALWAYS = f"{TEST}, not mended yet; issue 1"
DAY = "bench day, sometimes: run SITE DAY --seed 6; issue 1"


def compared(
    text: str, *, started=frozenset(), failed=frozenset(), complete=True
) -> known_red.Report:
    return known_red.compare(
        known_red.parse(text),
        started=frozenset(started),
        failed=frozenset(failed),
        complete=complete,
    )


class KnownRedTest(unittest.TestCase):
    def test_what_is_no_test_is_never_reported_as_passed(self):
        report = compared(DAY)
        self.assertEqual(
            report.lines,
            (
                "known red, not run here: bench day: "
                "sometimes: run SITE DAY --seed 6; issue 1",
            ),
        )
        self.assertTrue(report.is_accepted)

    def test_passed_now_is_said_only_of_a_test_that_ran(self):
        self.assertIn(
            "passed now", compared(SOMETIMES, started={TEST}).lines[0]
        )
        self.assertEqual(compared(SOMETIMES, complete=False).lines, ())

    def test_a_listed_test_that_does_not_exist_fails_a_whole_run(self):
        self.assertFalse(compared(SOMETIMES).is_accepted)

    def test_a_listed_failure_is_accepted_and_an_unlisted_one_is_not(self):
        ran = {"started": {TEST}, "failed": {TEST}}
        self.assertTrue(compared(ALWAYS, **ran).is_accepted)
        self.assertFalse(compared(DAY, **ran).is_accepted)

    def test_a_listed_test_that_passes_fails_the_run_unless_sometimes(self):
        self.assertFalse(compared(ALWAYS, started={TEST}).is_accepted)
        self.assertTrue(compared(SOMETIMES, started={TEST}).is_accepted)
