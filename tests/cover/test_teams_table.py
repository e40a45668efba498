"""What became of each team's requests is counted over all logs."""

import unittest

from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import teams_table
from tests import log_lines

Result = teams_table.Result
line = log_lines.line


def ended(at_ms: float, request: str, team: str | None, **changes) -> str:
    """Returns a team's `request:ended` line."""
    return log_lines.ended(at_ms, request=request, team=team, **changes)


class TeamsTableTest(log_lines.LogCase):
    def counted(self) -> list[teams_table.TeamRow]:
        """Counts the lines of all files."""
        files = log_reading.LogFiles(paths=[str(self.folder)])
        return teams_table.count(files.lines())

    def test_refusals_are_counted_by_their_cause(self):
        """A team complains that it is refused. Refusals for lack of capacity
        have the code of refusals for other causes, so the events before the
        end tell them apart, each on the instance that logged it. An answer
        that was kept since a larger model could not end in time is none.
        """
        refused = {"code": 3002, "outcome": "not run"}
        self.write(
            "edge-1.log",
            [
                line("request:no_room", 1.0, request="a", team="search"),
                ended(1.0, "a", "search", **refused),
                line("request:cannot_end", 2.0, request="b", left_ms=9),
                ended(2.0, "b", "search", **refused),
                line("request:cannot_end", 2.0, request="kept"),
                ended(2.0, "kept", "search"),
                ended(3.0, "c", "search", code=2003, outcome="no key"),
                # A retry under the same id, with a result of its own.
                ended(4.0, "a", "search"),
                ended(5.0, "d", "search", code=4001, outcome="late"),
                ended(6.0, "e", "search", code=3006, outcome="late"),
                ended(7.0, "f", "search", code=4000, cut=True),
                ended(8.0, "g", "search", code=4000),
                ended(9.0, "h", None, code=7, outcome="of a newer version"),
            ],
        )
        # Another instance's request of the same id was refused otherwise.
        self.write("edge-2.log", [ended(1.0, "b", "search", **refused)])
        search, unknown = self.counted()
        self.assertEqual(
            dict(search.results),
            {
                Result.NO_ROOM: 1,
                Result.CANNOT_END: 1,
                Result.REFUSED: 2,
                Result.ANSWERED: 2,
                Result.LATE: 2,
                Result.CUT: 1,
                Result.OTHER: 1,
            },
        )
        self.assertEqual((unknown.team, unknown.asked), ("", 1))

    def test_a_team_far_above_its_usual_load_is_seen(self):
        """For one second of twenty a team sends nine times its usual load, to
        all instances, and some requests end in the next second; counted when
        they end, they would be missing from the surge.
        """
        for instance in range(2):
            lines = [
                ended(
                    1000 * second + 10 * number + 50, f"{second}-{number}", team
                )
                for second in range(20)
                for team, usual in (("search", 1), ("mail", 9))
                for number in range(
                    9 if team == "search" and second == 12 else usual
                )
            ]
            lines.append(ended(13_500.0, "late", "search", duration_ms=800))
            self.write(f"edge-{instance}.log", lines)
        # The only request of its second is no surge.
        self.write("edge-9.log", [ended(30_010.0, "last", "search")])
        mail, search = self.counted()
        self.assertEqual(search.peak.at_s, log_lines.START_S + 12)
        self.assertEqual((search.peak.requests, search.asked), (20, 59))
        self.assertAlmostEqual(search.peak.share, 20 / 38)
        self.assertAlmostEqual(search.share, 59 / 419)
        self.assertAlmostEqual(mail.peak.share, 0.9)
        texts = teams_table.text_lines([mail, search])
        self.assertIn("0.141  0.526", texts[2])
        self.assertIn("22:13:32.000", texts[2])

    def test_durations_are_of_answers_only(self):
        """Refusals at once would hide that the answers take long."""
        self.write(
            "edge-1.log",
            [
                ended(9000.0 + n, f"{n}", "a", duration_ms=n + 1)
                for n in range(200)
            ]
            + [
                ended(9500.0, f"r{n}", "a", code=3002, duration_ms=0)
                for n in range(900)
            ],
        )
        text = teams_table.text_lines(self.counted())[1].split()
        self.assertEqual(text[9:11], ["100", "198"])


if __name__ == "__main__":
    unittest.main()
