"""The tables of the capacity page match the stored results."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from bench import report
from bench.capacity import budgets
from bench.capacity import figures
from bench.capacity import fits
from bench.capacity import page
from bench.capacity import results as results_module

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / page.PAGE
FILE = ROOT / results_module.FILE
PACKAGE = ROOT / "src/nutmeghook/internal"


def _results(lines: list[report.Line]) -> results_module.Results:
    run = results_module.Run(
        module="sample",
        command="python -m bench.capacity sample",
        started="2026-12-02 12:00 UTC",
        duration_s=1.0,
        load_average_start=1.0,
        load_average_end=1.0,
        processors=4,
        python="3.11",
        lines=lines,
    )
    return results_module.Results(runs={"sample": run})


class PageTest(unittest.TestCase):
    def setUp(self):
        self.results = results_module.load(FILE)
        self.facts = figures.Facts(self.results)

    def test_tables_match_the_results(self):
        """Results or formulas change, and the page is not written again."""
        text = PAGE.read_text()
        self.assertEqual(
            text,
            page.rendered(self.results, text),
            "run `python -m bench.capacity --page-only`",
        )

    def test_every_named_run_is_in_the_results(self):
        """A figure or a budget names a run that was never stored."""
        found = [
            *page.all_figures(self.facts),
            *budgets.checks(self.facts),
        ]
        for figure in found:
            with self.subTest(figure.name):
                self.assertLessEqual(set(figure.runs), set(self.results.runs))
        for name, run in self.results.runs.items():
            self.assertIn(name, run.command)
            self.assertTrue(run.lines)

    def test_exactly_the_measured_figures_name_a_run(self):
        """A figure uses measured values without naming their run.

        Doubles all measured values: figures that change must name a run, the
        others follow from the plan and the settings and must name none.
        """
        doubled = results_module.Results(
            runs={
                name: msgspec.structs.replace(
                    run,
                    lines=[
                        msgspec.structs.replace(line, value=2 * line.value)
                        for line in run.lines
                    ],
                )
                for name, run in self.results.runs.items()
            }
        )
        before = self._values(self.facts)
        after = self._values(figures.Facts(doubled))
        for (name, runs, value), (_, _, changed) in zip(
            before, after, strict=True
        ):
            with self.subTest(name):
                self.assertEqual(bool(runs), changed != value)

    def _values(self, facts):
        found = [*page.all_figures(facts), *budgets.checks(facts)]
        return [(each.name, each.runs, each.value) for each in found]

    def test_every_mechanism_is_a_module(self):
        """A module is renamed and the page still names the old one."""
        for figure in page.all_figures(self.facts):
            for module in figure.mechanism.split(", "):
                with self.subTest(f"{figure.name}: {module}"):
                    self.assertTrue((PACKAGE / f"{module}.py").is_file())

    def test_exceeded_budgets_are_marked(self):
        """A budget that is not met is marked as met on the page."""
        text = PAGE.read_text()
        for check in budgets.checks(self.facts):
            [row] = [
                line
                for line in text.splitlines()
                if line.startswith(f"| {check.name} |")
            ]
            with self.subTest(check.name):
                self.assertEqual("**no**" in row, not check.is_met)

    def test_page_without_a_table_is_refused(self):
        """The page loses a table's markers, and the table is dropped."""
        with self.assertRaisesRegex(KeyError, "no place"):
            page.rendered(self.results, "# Capacity\n")


class FitTest(unittest.TestCase):
    @hypothesis.given(
        slope=strategies.floats(-1e3, 1e3),
        intercept=strategies.floats(-1e3, 1e3),
        sizes=strategies.sets(
            strategies.integers(1, 10_000), min_size=2, max_size=8
        ),
    )
    def test_fit_of_points_on_a_line_is_that_line(
        self, slope, intercept, sizes
    ):
        lines = [
            report.Line(
                name=f"sample.cost.{size}",
                value=intercept + slope * size,
                unit="us",
            )
            for size in sorted(sizes, reverse=True)
        ]
        found = fits.fit(_results(lines), "sample", "sample.cost")
        self.assertAlmostEqual(found.at(20_000), intercept + slope * 20_000, 1)
        self.assertEqual([p.size for p in found.points], sorted(sizes))

    def test_error_is_that_of_the_worst_point(self):
        values = {1: 10.0, 2: 30.0, 3: 30.0}
        lines = [
            report.Line(name=f"sample.cost.{size}", value=value, unit="us")
            for size, value in values.items()
        ]
        found = fits.fit(_results(lines), "sample", "sample.cost")
        self.assertAlmostEqual(found.slope, 10.0)
        self.assertAlmostEqual(found.largest_error, (30 - 70 / 3) / (100 / 3))

    def test_single_point_is_refused(self):
        """Lines of other series are taken for points of the series."""
        lines = [
            report.Line(name="sample.cost.7", value=1.0, unit="us"),
            report.Line(name="sample.cost.7.idle", value=1.0, unit="us"),
            report.Line(name="sample.costs.9", value=1.0, unit="us"),
        ]
        with self.assertRaises(KeyError):
            fits.fit(_results(lines), "sample", "sample.cost")


class ResultsTest(unittest.TestCase):
    def test_results_are_loaded_as_saved(self):
        line = report.Line(name="sample.a", value=1.5, unit="s", bound=2.0)
        results = _results([line])
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "new" / "results.json"
            self.assertEqual(results_module.load(file).runs, {})
            results_module.save(results, file)
            self.assertEqual(results_module.load(file), results)


if __name__ == "__main__":
    unittest.main()
