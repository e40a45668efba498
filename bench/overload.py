"""Overload and brown-outs: goodput, fairness, amplification, recovery."""

import statistics

from bench import report
from bench.models import busy_fleet
from bench.models import load_measures
from bench.models import load_policies
from bench.models import load_scenarios

SEEDS = (1, 2, 3)
# Regression bounds, not targets; docs/design/overload.md gives the reasons.
SMALL_BATCHES_BOUND = 0.8
RECOVERY_BOUND_S = 45.0


def results(
    scenario: busy_fleet.Scenario, factory: busy_fleet.LimitsFactory
) -> list[busy_fleet.Result]:
    """Runs a scenario once for each seed."""
    return [
        busy_fleet.Fleet(scenario=scenario, factory=factory, seed=seed).run()
        for seed in SEEDS
    ]


def run() -> list[report.Line]:
    """Returns the lines of the product's limits and of the baselines."""
    lines = []
    for policy, factory in load_policies.POLICIES.items():
        lines += _overload_lines(policy, factory)
        lines += _brown_out_lines(policy, factory)
    for policy in ("", "fixed_limit"):
        lines += _small_batches_lines(policy, load_policies.POLICIES[policy])
    return lines


def _overload_lines(
    policy: str, factory: busy_fleet.LimitsFactory
) -> list[report.Line]:
    overloaded = results(load_scenarios.twice_capacity(), factory)
    small = [
        load_measures.small_team_shares(r)
        for r in results(load_scenarios.large_team(), factory)
    ]
    return [
        *_lines(
            "overload.goodput_share",
            policy,
            [load_measures.goodput_share(r) for r in overloaded],
            bound=0.95,
            better=report.Better.HIGHER,
        ),
        *_lines(
            "overload.high_priority_late_share",
            policy,
            [load_measures.high_priority_late_share(r) for r in overloaded],
            bound=0.01,
        ),
        *_lines(
            "overload.refusal_wait_p99_ms",
            policy,
            [load_measures.refusal_wait_p99_ms(r) for r in overloaded],
            unit="ms",
        ),
        *_lines(
            "overload.small_team_share",
            policy,
            [statistics.mean(shares) for shares in small],
            bound=0.95,
            better=report.Better.HIGHER,
        ),
        *_lines(
            "overload.worst_small_team_share",
            policy,
            [min(shares) for shares in small],
            better=report.Better.HIGHER,
        ),
    ]


def _small_batches_lines(
    policy: str, factory: busy_fleet.LimitsFactory
) -> list[report.Line]:
    small_batches = results(load_scenarios.small_batches(), factory)
    return _lines(
        "overload.small_batches_goodput_share",
        policy,
        [load_measures.goodput_share(r) for r in small_batches],
        bound=SMALL_BATCHES_BOUND,
        better=report.Better.HIGHER,
    )


def _brown_out_lines(
    policy: str, factory: busy_fleet.LimitsFactory
) -> list[report.Line]:
    in_brown_out = results(load_scenarios.brown_out(), factory)
    return [
        *_lines(
            "retry.amplification",
            policy,
            [load_measures.amplification(r) for r in in_brown_out],
            bound=1.1,
        ),
        *_lines(
            "retry.attempts_per_caller_request",
            policy,
            [
                load_measures.attempts_per_caller_request(r)
                for r in in_brown_out
            ],
        ),
        *_lines(
            "overload.recovery_s",
            policy,
            [load_measures.recovery_s(r) for r in in_brown_out],
            unit="s",
            bound=RECOVERY_BOUND_S,
        ),
    ]


def _lines(
    name: str,
    policy: str,
    values: list[float],
    *,
    unit: str = "ratio",
    bound: float | None = None,
    better: report.Better = report.Better.LOWER,
) -> list[report.Line]:
    """Returns the mean over the seeds, and their range.

    Baselines have no bound.
    """
    full_name = f"{name}.{policy}" if policy else name
    mean = report.Line(
        name=full_name,
        value=round(statistics.mean(values), 4),
        unit=unit,
        bound=None if policy else bound,
        better=better,
    )
    spread = report.Line(
        name=f"{full_name}.spread",
        value=round(max(values) - min(values), 4),
        unit=unit,
    )
    return [mean, spread]
