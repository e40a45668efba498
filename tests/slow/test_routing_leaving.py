"""A leaving or dead backend server gets no new work after 3 seconds."""

import asyncio
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from bench.models import leaving

SCENARIOS = [
    leaving.Scenario(name="report", list_lag_s=60.0),
    leaving.Scenario(name="list", report_lag_s=None),
    leaving.Scenario(name="plain", plain=True),
    leaving.Scenario(name="refuses", plain=True, refuses=True, list_lag_s=60),
    leaving.Scenario(name="dead", dead=True, report_lag_s=None, list_lag_s=60),
]


class LeavingTest(unittest.TestCase):
    """Each way of leaving, at any phase of the polling periods."""

    # Without shrinking: each example runs many virtual seconds.
    @hypothesis.settings(
        max_examples=4,
        phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    )
    @hypothesis.given(
        leaves_at_s=strategies.floats(3.0, 6.0),
        list_lag_s=strategies.floats(0.0, 1.7),
    )
    def test_no_new_work_after_3_s(self, leaves_at_s, list_lag_s):
        """Work sent after 3 s would be cut off when the backend server ends.

        One of four backend servers begins to leave, or dies. The list shows
        it up to 1.7 s later or not at all, reports 1 s later or not at all,
        or only its refusals do. Three instances continue to send.
        """
        for scenario in SCENARIOS:
            if scenario.list_lag_s < 60:
                scenario = dataclasses.replace(scenario, list_lag_s=list_lag_s)
            with self.subTest(scenario.name):
                sent = asyncio.run(
                    leaving.run_scenario(scenario, leaves_at_s=leaves_at_s)
                )
                self.assertLessEqual(sent.last_s, 3.0)
