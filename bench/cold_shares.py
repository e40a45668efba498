"""Policies for sharing the request rate of a cold replica."""

import statistics

from bench import report
from bench.models import cold_fleet

SEEDS = 10
SIZES = (7, 77, 195, 420)
_POLICIES = {
    "each_its_part": cold_fleet.EqualShares(),
    "few_senders": cold_fleet.ElectedSenders(),
    "few_senders_half": cold_fleet.ElectedSenders(senders=4),
    "few_senders_double": cold_fleet.ElectedSenders(senders=16),
    "one_holder": cold_fleet.SingleGranter(),
}
# Only the product's policy has bounds, in these scenarios.
_PRODUCT_POLICY = "few_senders"
_BOUND_SCENARIOS = ("all_agree", "third_dead", "two_islands")


def run() -> list[report.Line]:
    """Returns the lines of all policies, sizes and scenarios."""
    return [
        line
        for policy in _POLICIES
        for size in SIZES
        for scenario_name, scenario in _scenarios(size).items()
        for line in _lines(policy, size, scenario_name, scenario)
    ]


def _scenarios(size: int) -> dict[str, cold_fleet.Scenario]:
    return {
        "all_agree": cold_fleet.Scenario(instances=size),
        "third_dead": cold_fleet.Scenario(instances=size, dead_share=1 / 3),
        "two_islands": cold_fleet.Scenario(
            instances=size, network_partitions=2
        ),
        "half_unknown": cold_fleet.Scenario(instances=size, unknown_share=0.5),
        "two_thirds_unknown": cold_fleet.Scenario(
            instances=size, unknown_share=2 / 3
        ),
    }


def _lines(
    policy: str, size: int, scenario_name: str, scenario: cold_fleet.Scenario
) -> list[report.Line]:
    outcomes = [
        cold_fleet.simulate(scenario, _POLICIES[policy], seed=seed)
        for seed in range(SEEDS)
    ]
    has_bound = policy == _PRODUCT_POLICY and scenario_name in _BOUND_SCENARIOS
    name = f"cold_shares.{policy}.{size}.{scenario_name}"
    return [
        report.Line(
            name=f"{name}.worst_second",
            value=max(outcome.max_in_one_second for outcome in outcomes),
            unit="requests",
            bound=cold_fleet.MAX_IN_ONE_SECOND if has_bound else None,
        ),
        report.Line(
            name=f"{name}.used",
            value=round(statistics.fmean(o.utilisation for o in outcomes), 3),
            unit="share",
            better=report.Better.HIGHER,
        ),
    ]
