"""Writes the tables of docs/CAPACITY.md between their markers."""

import dataclasses
import pathlib
import re

from bench.capacity import budgets
from bench.capacity import data_path
from bench.capacity import failure_effects
from bench.capacity import figures
from bench.capacity import fits
from bench.capacity import node
from bench.capacity import outages
from bench.capacity import platform_load
from bench.capacity import results as results_module
from bench.capacity import roles

PAGE = pathlib.Path("docs/CAPACITY.md")
_TABLE = re.compile(
    r"<!-- table: ([a-z-]+) -->\n.*?<!-- end of table -->\n", re.DOTALL
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Series:
    """A measured series, and the size to which it is extrapolated."""

    name: str
    of: str
    planned_size: float


SERIES = (
    Series(name="membership.bytes_per_s", of="instances", planned_size=420),
    Series(name="membership.cpu_share", of="instances", planned_size=420),
    Series(name="membership.detect_s", of="instances", planned_size=420),
    Series(name="membership.join_s", of="instances", planned_size=420),
    Series(name="config.control_bytes_per_s", of="instances", planned_size=420),
    Series(name="config.cpu_percent", of="instances", planned_size=420),
    Series(name="config.in_force_p99_s", of="instances", planned_size=420),
    Series(name="config.bytes_per_change", of="instances", planned_size=420),
    Series(name="decision.cost_us", of="replicas", planned_size=4400),
    Series(name="footprint.list_bytes", of="replicas", planned_size=4820),
    Series(name="footprint.list_poll_us", of="replicas", planned_size=4820),
    Series(
        name="footprint.replica_memory_bytes", of="replicas", planned_size=4400
    ),
    Series(
        name="footprint.member_memory_bytes", of="members", planned_size=420
    ),
    Series(name="footprint.lease_rank_us", of="members", planned_size=420),
    Series(
        name="footprint.lease_rank_of_19_us", of="members", planned_size=420
    ),
    Series(name="footprint.cell_us", of="members", planned_size=420),
    Series(name="footprint.cell_refresh_us", of="replicas", planned_size=4400),
    Series(name="footprint.whose_report_us", of="replicas", planned_size=4400),
    Series(name="footprint.ceiling_us", of="replicas", planned_size=4400),
    Series(
        name="footprint.orders_plan_us",
        of="engines of a model",
        planned_size=880,
    ),
    Series(
        name="footprint.orders_plan_new_us",
        of="engines of a model",
        planned_size=880,
    ),
    Series(
        name="footprint.nearest_partition_us", of="members", planned_size=420
    ),
    Series(
        name="footprint.template_memory_bytes",
        of="templates",
        planned_size=3000,
    ),
    Series(name="footprint.change_us", of="templates", planned_size=3000),
    Series(
        name="footprint.plans_row_bytes",
        of="templates of a bucket",
        planned_size=12,
    ),
    Series(
        name="footprint.tables_row_bytes",
        of="templates of a bucket",
        planned_size=12,
    ),
    Series(name="footprint.plan_us", of="templates", planned_size=3000),
    Series(
        name="footprint.metric_series_memory_bytes",
        of="label sets",
        planned_size=6000,
    ),
    Series(
        name="footprint.claim_memory_bytes", of="claims", planned_size=100_000
    ),
    Series(name="footprint.pin_memory_bytes", of="pins", planned_size=50_000),
    Series(
        name="footprint.bill_without_key_memory_bytes",
        of="bills",
        planned_size=15_750,
    ),
    Series(name="footprint.event_memory_bytes", of="events", planned_size=8192),
    Series(name="footprint.events_page_bytes", of="events", planned_size=1000),
    Series(name="footprint.row_bytes", of="records", planned_size=93),
    Series(name="footprint.digest_bytes", of="entries", planned_size=40),
    Series(
        name="footprint.stream_memory_bytes", of="streams", planned_size=154
    ),
)


def rewrite(results: results_module.Results, page: pathlib.Path = PAGE) -> None:
    """Replaces the page's tables by those computed from the results."""
    page.write_text(rendered(results, page.read_text()))


def rendered(results: results_module.Results, text: str) -> str:
    """Returns the page's text with tables computed from the results.

    Raises:
        KeyError: The page and the tables don't match, or a figure is missing
            in the results.
    """
    tables = _tables(results)

    def replace(match: re.Match[str]) -> str:
        name = match[1]
        return (
            f"<!-- table: {name} -->\n\n{tables.pop(name)}\n"
            "<!-- end of table -->\n"
        )

    written = _TABLE.sub(replace, text)
    if tables:
        raise KeyError(f"the page has no place for {sorted(tables)}")
    return written


def number(value: float) -> str:
    """Returns a value with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        digits = len(str(int(abs(value))))
        return f"{round(value, 3 - digits):,.0f}"
    return f"{value:.3g}"


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns every figure of the page's role and failure tables."""
    return [
        *node.all_figures(facts),
        *data_path.all_figures(facts),
        *roles.all_figures(facts),
        *platform_load.all_figures(facts),
        *failure_effects.all_figures(facts),
        *outages.all_figures(facts),
    ]


def _tables(results: results_module.Results) -> dict[str, str]:
    facts = figures.Facts(results)
    groups: dict[str, list[figures.Figure]] = {}
    for figure in all_figures(facts):
        groups.setdefault(figure.group, []).append(figure)
    tables = {name: _figures(group) for name, group in groups.items()}
    tables["runs"] = _runs(results)
    tables["slopes"] = _slopes(facts)
    tables["budgets"] = _budgets(facts)
    return tables


def _table(header: list[str], rows: list[list[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)


def _runs(results: results_module.Results) -> str:
    return _table(
        ["run", "command", "started", "took", "load average", "Python"],
        [
            [
                name,
                f"`{run.command}`",
                run.started,
                f"{run.duration_s:.0f} s",
                f"{run.load_average_start} to {run.load_average_end}"
                f" on {run.processors} cores",
                run.python,
            ]
            for name, run in sorted(results.runs.items())
        ],
    )


def _slopes(facts: figures.Facts) -> str:
    return _table(
        ["run: series", "points", "slope", "error", "at the planned size"],
        [_slope_row(series, facts.fit(series.name)) for series in SERIES],
    )


def _slope_row(series: Series, fit: fits.Fit) -> list[str]:
    points = ", ".join(
        f"{point.size:.0f}: {number(point.value)}" for point in fit.points
    )
    module, _, name = series.name.partition(".")
    return [
        f"{module}: `{name}`",
        points,
        f"{number(fit.slope)} / {series.of}",
        f"{100 * fit.largest_error:.0f}%",
        f"{series.planned_size:,.0f}: {number(fit.at(series.planned_size))}",
    ]


def _figures(group: list[figures.Figure]) -> str:
    return _table(
        ["what", "figure", "worked out", "run", "mechanism"],
        [
            [
                figure.name,
                _marked(
                    f"{number(figure.value)} {figure.unit}",
                    figure.exceeds_budget,
                ),
                figure.basis,
                _run_names(figure.runs),
                f"`{figure.mechanism}`",
            ]
            for figure in group
        ],
    )


def _budgets(facts: figures.Facts) -> str:
    return _table(
        ["budget", "limit", "worked out", "from", "run", "met"],
        [
            [
                check.name,
                f"{number(check.limit)} {check.unit}",
                _marked(number(check.value), not check.is_met),
                check.basis,
                _run_names(check.runs),
                "yes" if check.is_met else "**no**",
            ]
            for check in budgets.checks(facts)
        ],
    )


def _run_names(runs: tuple[str, ...]) -> str:
    return ", ".join(runs) or "none: settings and the plan"


def _marked(text: str, exceeds_budget: bool) -> str:
    return f"**{text}**" if exceeds_budget else text
