"""Cost of cascades at the quality target, against baselines and an optimum."""

import random
import statistics

from bench import report
from bench.models import quality
from bench.models import quality_baselines
from nutmeghook.internal.config import documents
from nutmeghook.internal.foundation import clock

# Not the seeds that the policy was developed with.
SEEDS = tuple(range(301, 309))
LEARNING_REQUESTS = 20_000
MEASURED_REQUESTS = 20_000
_COST_RATIO_BOUND = 1.15

_FLEET = documents.Fleet(
    models=(
        documents.ModelEntry(
            name="small", prompt_token_cost_micros=1, output_token_cost_micros=4
        ),
        documents.ModelEntry(
            name="large",
            prompt_token_cost_micros=10,
            output_token_cost_micros=40,
        ),
    )
)


def _template(name: str, **fields) -> documents.Template:
    version = (documents.VersionEntry(version="1"),)
    return documents.Template(
        team="team",
        name=name,
        stages=(
            documents.Stage(model="small", versions=version),
            documents.Stage(model="large", versions=version),
        ),
        **fields,
    )


# Lookups and legality checks are mostly easy, dossier reviews mostly hard.
# The last two are the first with few or no answers held, as Siamroster wants.
WORKLOADS = (
    quality.Workload(
        name="lookup",
        template=_template(
            "lookup", quality_target=0.9, held_share_percent=100.0
        ),
        fleet=_FLEET,
        kind_shares=(0.7, 0.25, 0.05),
        difficulty=(0.25, 0.4, 0.6),
    ),
    quality.Workload(
        name="review",
        template=_template(
            "review", quality_target=0.9, held_share_percent=100.0
        ),
        fleet=_FLEET,
        kind_shares=(0.1, 0.3, 0.6),
        difficulty=(0.35, 0.5, 0.65),
    ),
    quality.Workload(
        name="lookup_held_5_percent",
        template=_template(
            "lookup", quality_target=0.9, held_share_percent=5.0
        ),
        fleet=_FLEET,
        kind_shares=(0.7, 0.25, 0.05),
        difficulty=(0.25, 0.4, 0.6),
    ),
    quality.Workload(
        name="lookup_held_none",
        template=_template(
            "lookup", quality_target=0.9, held_share_percent=0.0
        ),
        fleet=_FLEET,
        kind_shares=(0.7, 0.25, 0.05),
        difficulty=(0.25, 0.4, 0.6),
    ),
)


def run() -> list[report.Line]:
    """Returns the lines of all workloads; the two with bounds come first."""
    results = {
        workload.name: [_seed(workload, seed) for seed in SEEDS]
        for workload in WORKLOADS
    }
    unlimited_held_ratios = [
        _mean_cost_ratio(results[workload.name])
        for workload in WORKLOADS
        if workload.template.held_share_percent == 100.0
    ]
    shortfalls = [
        statistics.mean(_shortfalls(workload, results[workload.name]))
        for workload in WORKLOADS
    ]
    lines = [
        report.Line(
            name="cascade.cost_vs_best_at_target",
            value=round(max(unlimited_held_ratios), 4),
            unit="ratio",
            bound=_COST_RATIO_BOUND,
        ),
        report.Line(
            name="cascade.quality_shortfall",
            value=round(max(shortfalls), 5),
            unit="rating",
            bound=0.005,
        ),
    ]
    for workload in WORKLOADS:
        lines += _lines(workload, results[workload.name])
    return lines


def _mean_cost_ratio(outcomes: list[dict[str, quality.Outcome]]) -> float:
    return statistics.mean(_cost_ratios(outcomes))


def _cost_ratios(outcomes: list[dict[str, quality.Outcome]]) -> list[float]:
    return [o["learned"].mean_cost / o["best"].mean_cost for o in outcomes]


def _shortfalls(
    workload: quality.Workload, outcomes: list[dict[str, quality.Outcome]]
) -> list[float]:
    target = workload.template.quality_target
    return [max(0.0, target - o["learned"].mean_quality) for o in outcomes]


def _lines(
    workload: quality.Workload, outcomes: list[dict[str, quality.Outcome]]
) -> list[report.Line]:
    name = workload.name
    ratios = _cost_ratios(outcomes)
    shortfalls = _shortfalls(workload, outcomes)
    lines = [
        _reported(f"cascade.cost_vs_best.{name}", statistics.mean(ratios)),
        _reported(f"cascade.cost_vs_best.least.{name}", min(ratios)),
        _reported(f"cascade.cost_vs_best.most.{name}", max(ratios)),
        _reported(
            f"cascade.shortfall.{name}", statistics.mean(shortfalls), "rating"
        ),
        _reported(f"cascade.shortfall.most.{name}", max(shortfalls), "rating"),
        _reported(
            f"cascade.first_token_held_share.{name}",
            statistics.mean(o["learned"].held_share for o in outcomes),
        ),
    ]
    for policy in outcomes[0]:
        lines += _baseline_lines(name, policy, [o[policy] for o in outcomes])
    return lines


def _baseline_lines(
    name: str, policy: str, outcomes: list[quality.Outcome]
) -> list[report.Line]:
    return [
        _reported(
            f"cascade.cost.{policy}.{name}",
            statistics.mean(o.mean_cost for o in outcomes),
            "micros",
        ),
        _reported(
            f"cascade.quality.{policy}.{name}",
            statistics.mean(o.mean_quality for o in outcomes),
            "rating",
        ),
    ]


def _reported(name: str, value: float, unit: str = "ratio") -> report.Line:
    return report.Line(name=name, value=round(value, 5), unit=unit)


def _seed(workload: quality.Workload, seed: int) -> dict[str, quality.Outcome]:
    source = random.Random(seed)
    learning = quality.generate_requests(
        workload, count=LEARNING_REQUESTS, source=source
    )
    measured = quality.generate_requests(
        workload, count=MEASURED_REQUESTS, source=source
    )
    learned_run = quality.LearnedCascadeRun(
        workload=workload, clock=clock.FakeClock()
    )
    while_learning = learned_run.serve(learning)
    target = workload.template.quality_target
    return {
        "learned": learned_run.serve(measured),
        "learned_while_new": while_learning,
        "best": quality_baselines.best_thresholds(measured, target=target),
        "best_each_request": quality_baselines.best_each_request(
            measured, target=target
        ),
        "always_cheap": quality_baselines.always(measured, stage=0),
        "always_strong": quality_baselines.always(measured, stage=1),
        "fixed_cascade": quality_baselines.fixed_cascade(measured),
    }
