"""Load patterns simulated in virtual time, and the callers' outcomes.

Each pattern runs against the decision under test and its baseline. Rates and
speeds are those of the users' grown fleets: 73 instances, 36 replicas, 216
generations a second of 5,000 prompt tokens, and a prefill rate of 273,000
tokens a second for the smallest model and 27,300 for the largest. Where it
makes no difference, a third of the load is simulated.
"""

from nutmeghook.experiment import emulated_fleet
from nutmeghook.experiment import emulated_outcome
from nutmeghook.experiment import fleet_emulator
from nutmeghook.internal.relay import model_choice

SEEDS = (1, 2, 3)
# Keeps some 7 of 12 engines busy if half of the answers are asked again.
BASE_PER_S = 72.0


def load(**changes) -> emulated_fleet.Load:
    """Returns a steady load with some fields changed."""
    fields = {
        "per_s": lambda at_s: BASE_PER_S,
        "replicas_at": lambda at_s: 12,
        "duration_s": 20.0,
    }
    return emulated_fleet.Load(**(fields | changes))


def whole_load(**changes) -> emulated_fleet.Load:
    """Returns the load of a whole grown fleet with some fields changed."""
    fields = {
        "per_s": lambda at_s: 3 * BASE_PER_S,
        "replicas_at": lambda at_s: 36,
        "duration_s": 8.0,
        "instances": 73,
        "replicas": 36,
    }
    return emulated_fleet.Load(**(fields | changes))


def small_fleet_load() -> emulated_fleet.Load:
    """Returns the load of a few instances with long prompts."""
    return load(
        per_s=lambda at_s: 8.0,
        replicas_at=lambda at_s: 5,
        duration_s=30.0,
        instances=9,
        replicas=5,
        data_centres=4,
        prompt_tokens=9000,
        prefill_tokens_per_s=(126_000.0, 12_600.0),
    )


def play(
    pattern: emulated_fleet.Load, **parts
) -> list[emulated_outcome.Outcome]:
    """Returns the outcome for each seed."""
    parts = {"models": model_choice.ExpectedUtility()} | parts
    return [
        fleet_emulator.FleetEmulator(load=pattern, seed=seed, **parts).run()
        for seed in SEEDS
    ]


def worth(outcomes: list[emulated_outcome.Outcome]) -> float:
    """Returns the mean share of the maximum utility."""
    return sum(o.utility_share for o in outcomes) / len(outcomes)


def mean_generation_s(outcomes: list[emulated_outcome.Outcome]) -> float:
    """Returns the mean duration of answers after their first event."""
    times_s = [t for outcome in outcomes for t in outcome.generation_times_s]
    return sum(times_s) / len(times_s)
