"""Time that requests wait to join a batch, relative to a clairvoyant policy.

The clairvoyant policy joins the shortest queue; all others see reports that
are 1 s old. Every policy receives the same requests. A ratio is the geometric
mean over the seeds; the worst seed's ratio is reported too.
"""

from collections.abc import Callable
import dataclasses
import random
import statistics

from bench import report
from bench.models import baselines
from bench.models import fleet
from bench.models import fleet_parts
from bench.models import routers

# Today's fleets: 7 routers, 12 replicas.
TODAY_BURSTS = fleet_parts.Shape(
    routers=7, replicas=12, capacity=16, bursts=True
)
TODAY_STEADY = dataclasses.replace(TODAY_BURSTS, bursts=False)
TODAY_SMALL_BATCH = dataclasses.replace(TODAY_STEADY, capacity=8)
# A tenth of the planned fleet, in one data centre with one version.
TENTH = fleet_parts.Shape(
    routers=42,
    replicas=440,
    capacity=16,
    bursts=True,
    warm_up_s=30.0,
    duration_s=60.0,
)
# The replicas of one of 13 versions in that fleet: fewer replicas than routers,
# so that each cell has five of them.
ONE_VERSION = fleet_parts.Shape(
    routers=42,
    replicas=36,
    capacity=16,
    bursts=True,
    warm_up_s=40.0,
    duration_s=150.0,
)

PRODUCT = "product"
CLAIRVOYANT = "clairvoyant"
BASELINES = ("random", "round_robin", "least_reported", "two_choices")
FIVE_SEEDS = (1, 2, 3, 4, 5)
TWO_SEEDS = (1, 2)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """Results of one policy and seed."""

    p95_wait_s: float
    mean_wait_s: float
    imbalance: float


def measure(shape: fleet_parts.Shape, policy: str, seed: int) -> Outcome:
    """Runs one policy on one seed."""
    run_of_fleet = fleet.Fleet(
        shape=shape, seed=seed, build_router=_builder(policy)
    )
    run_of_fleet.run()
    waits_s = sorted(run_of_fleet.waits_s)
    return Outcome(
        p95_wait_s=waits_s[int(0.95 * len(waits_s))],
        mean_wait_s=statistics.mean(waits_s),
        imbalance=statistics.mean(run_of_fleet.imbalance),
    )


def ratios(
    shape: fleet_parts.Shape, policy: str, best: dict[int, Outcome]
) -> list[float]:
    """Returns the p95 wait divided by the clairvoyant's, for each seed."""
    return [
        measure(shape, policy, seed).p95_wait_s / outcome.p95_wait_s
        for seed, outcome in best.items()
    ]


def clairvoyant_outcomes(
    shape: fleet_parts.Shape, seeds: tuple[int, ...]
) -> dict[int, Outcome]:
    """Returns the clairvoyant's outcome by seed."""
    return {seed: measure(shape, CLAIRVOYANT, seed) for seed in seeds}


def run() -> list[report.Line]:
    """Measures all shapes.

    The target is 1.3. Larger bounds are regression bounds where the target is
    not met; docs/design/backend-choice.md gives the reasons.
    """
    return [
        *_lines("", TODAY_BURSTS, FIVE_SEEDS, bound=1.3, policies=BASELINES),
        *_lines(
            ".steady", TODAY_STEADY, FIVE_SEEDS, bound=1.3, policies=BASELINES
        ),
        *_lines(".small_batch", TODAY_SMALL_BATCH, FIVE_SEEDS, bound=2.5),
        *_lines(
            ".tenth_of_plan",
            TENTH,
            TWO_SEEDS,
            bound=1.3,
            policies=("random", "two_choices"),
        ),
        *_lines(
            ".one_version_of_13",
            ONE_VERSION,
            TWO_SEEDS,
            bound=5.2,
            policies=BASELINES,
        ),
        *_imbalance_lines(),
    ]


def _lines(
    suffix: str,
    shape: fleet_parts.Shape,
    seeds: tuple[int, ...],
    *,
    bound: float | None,
    policies: tuple[str, ...] = (),
) -> list[report.Line]:
    name = f"balance.p95_wait_vs_clairvoyant{suffix}"
    best = clairvoyant_outcomes(shape, seeds)
    product = ratios(shape, PRODUCT, best)
    lines = [
        _ratio_line(name, statistics.geometric_mean(product), bound=bound),
        _ratio_line(f"{name}.worst_seed", max(product)),
    ]
    for policy in policies:
        mean = statistics.geometric_mean(ratios(shape, policy, best))
        lines.append(_ratio_line(f"{name}.{policy}", mean))
    return lines


def _imbalance_lines() -> list[report.Line]:
    return [
        _ratio_line(
            f"balance.fullest_vs_mean_replica.{policy}",
            measure(TODAY_STEADY, policy, 1).imbalance,
        )
        for policy in (CLAIRVOYANT, PRODUCT, *BASELINES)
    ]


def _ratio_line(
    name: str, value: float, *, bound: float | None = None
) -> report.Line:
    return report.Line(
        name=name, value=round(value, 3), unit="ratio", bound=bound
    )


def _builder(policy: str) -> Callable[[fleet.Fleet, int], routers.Router]:
    def build(of_fleet: fleet.Fleet, number: int) -> routers.Router:
        rng = random.Random(f"{policy} {number}")
        if policy == PRODUCT:
            return routers.ProductRouter(
                number=number,
                shape=of_fleet.shape,
                clock=of_fleet.simulation,
                rng=rng,
            )
        return routers.BaselineRouter(
            shape=of_fleet.shape, rule=_rule(policy, of_fleet), rng=rng
        )

    return build


def _rule(policy: str, of_fleet: fleet.Fleet) -> baselines.Rule:
    if policy == CLAIRVOYANT:
        return baselines.clairvoyant(of_fleet.replicas)
    if policy == "round_robin":
        return baselines.round_robin()
    return {
        "random": baselines.at_random,
        "least_reported": baselines.least_reported,
        "two_choices": baselines.two_choices,
    }[policy]
