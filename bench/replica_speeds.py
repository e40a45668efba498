"""Ways to learn the speeds of replicas, and the age of stated work times."""

import collections
import datetime
import math
import statistics

from bench import report
from bench.models import replica_speed_fleet as fleet
from nutmeghook.internal.replicas import replica_speed

# A seed of the fleet of 420 takes ten times as long as one of 90.
SEEDS = {7: 4, 90: 2, 420: 1}
_SCENARIOS = (
    fleet.Scenario(instances=7, data_centres=1, replicas=16),
    fleet.Scenario(instances=90, data_centres=3, replicas=116),
    fleet.Scenario(instances=420, data_centres=9, replicas=4400),
)
_POLICIES = {
    "none": fleet.NoLearning(),
    "own": fleet.OwnAnswers(),
    "heavier": fleet.HeavierEstimate(),
    "newer": fleet.NewerEstimate(),
    "added": fleet.AddedEstimates(),
}
# Left out for the largest fleet, for the time it takes: its errors are those of
# the product's policy.
_NOT_LARGE, _LARGE = ("newer",), 90
# The product's policy beats both simpler ones until replicas recover. Then its
# belief takes seconds to fade, while "none" is right about them at once.
_PRODUCT_POLICY, _BASELINES = "heavier", ("none", "own")
_BOUND_PHASES = (fleet.Phase.STEADY, fleet.Phase.SLOWED)

_AGES_MS = (0, 25, 50, 75, 100, 125, 150, 200, 300, 500)
_PERIODS_MS = range(300, 901, 50)
_PHASES = 24
_AMPLITUDE_LOG = 0.3


def run() -> list[report.Line]:
    """Returns the lines of all fleets and policies, and of all ages."""
    lines = []
    for scenario in _SCENARIOS:
        lines += _fleet_lines(scenario)
    for age_ms in _AGES_MS:
        lines += _age_lines(age_ms)
    return lines


def _fleet_lines(scenario: fleet.Scenario) -> list[report.Line]:
    errors = {
        name: _errors(scenario, policy)
        for name, policy in _POLICIES.items()
        if scenario.instances <= _LARGE or name not in _NOT_LARGE
    }
    lines = []
    for name, by_phase in errors.items():
        for phase, error in by_phase.items():
            bound = None
            if name == _PRODUCT_POLICY and phase in _BOUND_PHASES:
                bound = min(errors[base][phase] for base in _BASELINES)
            lines.append(
                report.Line(
                    name=f"replica_speeds.{scenario.instances}.{name}"
                    f".{phase.value}",
                    value=round(error, 3),
                    unit="error of the log slowness",
                    bound=bound,
                )
            )
    return lines


def _errors(
    scenario: fleet.Scenario, policy: fleet.LearningPolicy
) -> dict[fleet.Phase, float]:
    outcomes = [
        fleet.simulate(scenario, policy, seed=seed)
        for seed in range(SEEDS[scenario.instances])
    ]
    return {
        phase: statistics.fmean(o.error_log[phase] for o in outcomes)
        for phase in fleet.Phase
    }


def _age_lines(age_ms: int) -> list[report.Line]:
    """Compares what may be believed of a work time stated so long ago.

    Work times vary as sines with several periods.
    """
    squares: dict[str, list[float]] = collections.defaultdict(list)
    for period_ms in _PERIODS_MS:
        for phase in range(_PHASES):
            stated_log = _stated_log(phase / _PHASES)
            true_log = _stated_log(phase / _PHASES + age_ms / period_ms)
            speed = replica_speed.ReplicaSpeed()
            speed.note_stated(100.0 * math.exp(stated_log), _time(0))
            fading_log = math.log(speed.slowness(_time(age_ms)))
            squares["unused"].append(true_log**2)
            squares["as_stated"].append((true_log - stated_log) ** 2)
            squares["fading"].append((true_log - fading_log) ** 2)
    errors = {
        name: math.sqrt(statistics.fmean(found))
        for name, found in squares.items()
    }
    return [
        report.Line(
            name=f"replica_speeds.stated.{age_ms}_ms.{name}",
            value=round(error, 3),
            unit="error of the log work time",
            # The product's way is never worse than no use by over 5 %.
            bound=1.05 * errors["unused"] if name == "fading" else None,
        )
        for name, error in errors.items()
    ]


def _stated_log(cycles: float) -> float:
    return _AMPLITUDE_LOG * math.sin(2.0 * math.pi * cycles)


def _time(age_ms: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=age_ms)
