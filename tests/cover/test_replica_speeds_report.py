"""Believed and measured speeds of replicas are read from all logs."""

import itertools
import unittest

from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import replica_speeds
from tests import log_lines

line = log_lines.line


class ReplicaSpeedsTest(log_lines.LogCase):
    def setUp(self):
        super().setUp()
        self.requests = itertools.count()

    def answers(self, replica: str, *taken_ms: float, **forecast) -> list[str]:
        """Returns the lines of answers that began after these times."""
        forecast = forecast or {"expected_first_ms": 100.0}
        lines = []
        for after_ms in taken_ms:
            fields = {
                "request": f"r-{next(self.requests)}",
                "attempt": 1,
                "replica": replica,
            }
            lines.append(log_lines.sent(0.0, **fields, **forecast))
            lines.append(
                line("attempt:answered", after_ms, after_ms=after_ms, **fields)
            )
        return lines

    def report(self) -> list[replica_speeds.ReplicaRow]:
        """Returns the report on all files."""
        files = log_reading.LogFiles(paths=[str(self.folder)])
        return replica_speeds.report(files.lines())

    def test_a_belief_far_from_what_was_measured_is_seen(self):
        """An operator asks whether the router knows that a replica is slow.
        i-2 takes four times as long as expected, and the last instance to log
        something of it takes it for an average one.
        """
        speed = {"weight": 2.0, "source": "own"}
        self.write(
            "edge-1.log",
            [
                line("replica:listed", -9.0, replica="i-2", service="s"),
                line(
                    "replica:speed", 1.0, replica="i-1", slowness=3.0, **speed
                ),
                line(
                    "replica:speed", 9.0, replica="i-2", slowness=1.0, **speed
                ),
                *self.answers("i-1", *[95.0] * 5, *[105.0] * 5, 900.0),
                *self.answers("i-2", *[400.0] * 9),
                *self.answers("i-3", *[100.0] * 8),
            ],
        )
        self.write(
            "edge-2.log",
            [
                line(
                    "replica:speed", 2.0, replica="i-1", slowness=2.5, **speed
                ),
                line(
                    "replica:speed", 3.0, replica="i-2", slowness=4.0, **speed
                ),
            ],
        )
        rows = self.report()
        self.assertEqual(
            [
                (row.replica, row.belief and row.belief.slowness, row.ratio)
                for row in rows
            ],
            [("i-1", 2.5, 1.05), ("i-2", 1.0, 4.0), ("i-3", None, 1.0)],
        )
        texts = replica_speeds.text_lines(rows)
        self.assertIn("own     4.00            9", texts[2])
        # i-3 has too few answers to count.
        self.assertEqual(
            texts[-1],
            "# taken/expected over 2 replicas with at least 9 answers: 1.05 to"
            " 4.00, median 2.52",
        )

    def test_logs_without_an_expected_time_use_the_forecast(self):
        """Logs from before the expected time was logged stay comparable; plain
        services, of which nothing is forecast, have no ratio.
        """
        self.write(
            "edge-1.log",
            [
                *self.answers("i-1", 60.0, waiting_ms=10.0, reading_ms=20.0),
                *self.answers("i-2", 60.0, waiting_ms=None),
            ],
        )
        self.assertEqual(
            [(row.ratio, row.answers) for row in self.report()],
            [(2.0, 1), (None, 0)],
        )
        self.assertIn(
            "spread is not known", replica_speeds.text_lines(self.report())[-1]
        )


if __name__ == "__main__":
    unittest.main()
