"""Loads that are played in virtual time, and what callers got of them.

Each pattern is played in virtual time against the decision and its baseline.
Rates and speeds are those of the users' grown fleets: 73 instances, 36
replicas, 216 generations a second of 5,000 prompt tokens, a smallest model that
reads 273,000 tokens a second and a largest one that reads 27,300. Where it
makes no difference, a third of them is played.
"""

from nutmeghook.experiment import emulated_fleet
from nutmeghook.experiment import emulated_outcome
from nutmeghook.experiment import fleet_emulator
from nutmeghook.internal.relay import model_choice

SEEDS = (1, 2, 3)
# Of 12 engines this keeps some 7 busy if half of the answers are asked again.
BASE_PER_S = 72.0


def load(**changes) -> emulated_fleet.Load:
    """Returns a steady load, changed."""
    fields = {
        "per_s": lambda at_s: BASE_PER_S,
        "replicas_at": lambda at_s: 12,
        "duration_s": 20.0,
    }
    return emulated_fleet.Load(**(fields | changes))


def whole_load(**changes) -> emulated_fleet.Load:
    """Returns the load of a whole grown fleet, changed."""
    fields = {
        "per_s": lambda at_s: 3 * BASE_PER_S,
        "replicas_at": lambda at_s: 36,
        "duration_s": 8.0,
        "instances": 73,
        "replicas": 36,
    }
    return emulated_fleet.Load(**(fields | changes))


def small_fleet_load() -> emulated_fleet.Load:
    """Returns the load of few instances with long prompts."""
    return load(
        per_s=lambda at_s: 8.0,
        replicas_at=lambda at_s: 5,
        duration_s=30.0,
        instances=9,
        replicas=5,
        data_centres=4,
        prompt_tokens=9000,
        read_tokens_per_s=(126_000.0, 12_600.0),
    )


def play(
    pattern: emulated_fleet.Load, **parts
) -> list[emulated_outcome.Outcome]:
    """Returns what callers got, for each seed."""
    parts = {"models": model_choice.ExpectedUtility()} | parts
    return [
        fleet_emulator.FleetEmulator(load=pattern, seed=seed, **parts).run()
        for seed in SEEDS
    ]


def worth(outcomes: list[emulated_outcome.Outcome]) -> float:
    """Returns the mean share of the worth that callers got."""
    return sum(o.worth_share for o in outcomes) / len(outcomes)


def mean_generation_s(outcomes: list[emulated_outcome.Outcome]) -> float:
    """Returns how long answers go on after their first event, on average."""
    times_s = [t for outcome in outcomes for t in outcome.generations_s]
    return sum(times_s) / len(times_s)
