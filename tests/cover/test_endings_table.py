"""How requests ended is counted over all logs."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.observe import endings_table
from nutmeghook.internal.observe import log_reading
from tests import log_lines

ended = log_lines.ended


def counted(*paths: str) -> endings_table.Endings:
    """Counts the endings in files."""
    return endings_table.count(log_reading.LogFiles(paths=paths).lines())


class EndingsTableTest(log_lines.LogCase):
    def test_cut_answers_come_first_and_name_a_request(self):
        """Two streams of one instance are cut, among many answers and some
        refusals on others. Their row has to be the first, with a request's id
        for `story`.
        """
        cut = {"code": 4000, "outcome": "taken away"}
        self.write(
            "edge-1.log",
            [
                ended(5.0, request="whole", **cut),
                ended(10.0, request="first", cut=True, **cut),
                ended(90.0, request="second", cut=True, **cut),
            ],
        )
        self.write(
            "edge-2.log",
            [ended(number, request=f"{number}") for number in range(50)]
            + [
                ended(60.0, request=f"{n}", code=2003, outcome="no key")
                for n in range(9)
            ]
            + [ended(70.0, code=4007, outcome="the caller left")],
        )
        table = endings_table.text_lines(counted(str(self.folder)))
        self.assertEqual(
            table[:2],
            [
                "route   code                 reason           requests  cut"
                "  first                          last"
                "                           one of them",
                "stream  4000 BACKEND_FAILED  taken away       3         2  "
                "  2023-11-14 22:13:20.005+00:00  2023-11-14"
                " 22:13:20.090+00:00  first",
            ],
        )
        self.assertEqual(
            [text.split()[1] for text in table[2:]], ["2003", "4007", "1000"]
        )

    def test_requests_without_an_end_are_reported(self):
        path = self.write(
            "a.log", [log_lines.sent(1.0, request="lost"), ended(2.0)]
        )
        endings = counted(path)
        self.assertEqual(endings.open_requests, ["lost"])
        self.assertIn("lost", endings_table.text_lines(endings)[-1])

    def test_a_line_without_cut_marks_the_count_as_unsure(self):
        path = self.write("a.log", [ended(1.0, cut=None), ended(2.0)])
        (row,) = counted(path).rows
        self.assertEqual((row.cut, row.unknown_cuts, row.requests), (0, 1, 2))
        self.assertIn(" 0? ", endings_table.text_lines(counted(path))[1])

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.integers(0, 100),
                strategies.sampled_from(["stream", "once"]),
                strategies.sampled_from([1000, 2003, 4000]),
                strategies.booleans(),
            )
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_all_requests_are_counted_in_any_order_of_files(
        self, endings, random
    ):
        with tempfile.TemporaryDirectory() as folder:
            paths = [pathlib.Path(folder, f"edge-{n}.log") for n in range(3)]
            for number, path in enumerate(paths):
                path.write_text(
                    "".join(
                        f"{ended(at_ms, route=route, code=code, cut=cut)}\n"
                        for file, at_ms, route, code, cut in endings
                        if file == number
                    )
                )
            in_order = counted(*map(str, paths))
            random.shuffle(paths)
            self.assertEqual(counted(*map(str, paths)), in_order)
        rows = in_order.rows
        self.assertEqual(sum(row.requests for row in rows), len(endings))
        cuts = [row.cut for row in rows]
        self.assertEqual(sum(cuts), sum(cut for *_, cut in endings))
        self.assertEqual(cuts, sorted(cuts, reverse=True))


if __name__ == "__main__":
    unittest.main()
