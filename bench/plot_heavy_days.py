"""Plots simulated overloads for each policy of choosing models.

    python -m bench.plot_heavy_days [FILE.png]

Shows the utility over time, the share of requests answered by the largest
model, and the queues, for the product's policy and the baselines. The three
loads are of a third of a grown fleet. Prints the means, one JSON object
per line.
"""

import json
import pathlib
import sys

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from nutmeghook.experiment import emulated_fleet
from nutmeghook.experiment import emulated_outcome
from nutmeghook.experiment import fleet_emulator
from nutmeghook.internal.relay import model_choice

NORMAL_RATE_PER_S = 72.0
SECONDS = 24.0
SEED = 1
DEFAULT_FILE = pathlib.Path("docs/plots/heavy_days.png")
POLICIES = {
    "weighed": model_choice.ExpectedUtility,
    "threshold 50": model_choice.FixedThreshold,
    "smallest only": lambda: model_choice.FixedThreshold(least_confidence=0),
    "largest only": lambda: model_choice.FixedThreshold(least_confidence=101),
}


def loads() -> dict[str, emulated_fleet.Load]:
    """Returns the loads by their names."""
    steady = {"per_s": lambda at_s: NORMAL_RATE_PER_S, "duration_s": SECONDS}
    return {
        "usual load": emulated_fleet.Load(
            **steady, replicas_at=lambda at_s: 12
        ),
        "half of the replicas gone from 6 s to 16 s": emulated_fleet.Load(
            **steady, replicas_at=lambda at_s: 6 if 6 < at_s < 16 else 12
        ),
        "twice the callers from 6 s to 14 s": emulated_fleet.Load(
            per_s=lambda at_s: NORMAL_RATE_PER_S * (2 if 6 < at_s < 14 else 1),
            duration_s=SECONDS,
            replicas_at=lambda at_s: 12,
        ),
    }


def main(arguments: list[str]) -> int:
    """Simulates all loads and writes the plot."""
    file = pathlib.Path(arguments[0]) if arguments else DEFAULT_FILE
    outcomes_by_load = {name: _simulate(load) for name, load in loads().items()}
    for load_name, outcomes in outcomes_by_load.items():
        for policy, outcome in outcomes.items():
            print(
                json.dumps(
                    {
                        "load": load_name,
                        "way": policy,
                        "worth_share": round(outcome.utility_share, 3),
                        "larger_share": round(outcome.larger_model_share, 3),
                        "wait_p90_s": round(outcome.wait_s(0.9), 2),
                    }
                )
            )
    _draw(outcomes_by_load, file)
    return 0


def _simulate(load: emulated_fleet.Load) -> dict[str, emulated_outcome.Outcome]:
    return {
        policy: fleet_emulator.FleetEmulator(
            load=load, models=choice(), seed=SEED
        ).run()
        for policy, choice in POLICIES.items()
    }


def _draw(
    outcomes_by_load: dict[str, dict[str, emulated_outcome.Outcome]],
    file: pathlib.Path,
) -> None:
    figure, grid = pyplot.subplots(
        3, len(outcomes_by_load), figsize=(15, 9), sharex=True, sharey="row"
    )
    for column, (load_name, outcomes) in enumerate(outcomes_by_load.items()):
        utility, larger, queues = (grid[row][column] for row in range(3))
        utility.set_title(load_name)
        for policy, outcome in outcomes.items():
            seconds, shares = _by_second(outcome, _utility_share)
            utility.plot(seconds, shares, label=policy)
            seconds, shares = _by_second(outcome, _larger_model_share)
            larger.plot(seconds, shares, label=policy)
            queues.plot(
                [sample.at_s for sample in outcome.queues],
                [sample.waiting for sample in outcome.queues],
                label=policy,
            )
        queues.set_xlabel("s")
    grid[0][0].set_ylabel("utility / maximum utility")
    grid[1][0].set_ylabel("answered by the largest model")
    grid[2][0].set_ylabel("waiting requests")
    grid[0][0].legend()
    figure.tight_layout()
    file.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(file, dpi=80)


def _by_second(outcome, share) -> tuple[list[int], list[float]]:
    seconds = list(range(int(SECONDS)))
    answered = [
        [a for a in outcome.answered if int(a.arrived_s) == second]
        for second in seconds
    ]
    return seconds, [share(some) if some else 0.0 for some in answered]


def _utility_share(answered: list[emulated_outcome.AnsweredRequest]) -> float:
    return sum(a.utility for a in answered) / sum(
        a.max_utility for a in answered
    )


def _larger_model_share(
    answered: list[emulated_outcome.AnsweredRequest],
) -> float:
    return sum(a.model_index > 0 for a in answered) / len(answered)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
