"""Plots goodput over offered load: `python -m bench.plot_overload`."""

import dataclasses
import pathlib
import statistics

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from bench.models import busy_fleet
from bench.models import load_measures
from bench.models import load_policies
from bench.models import load_scenarios

OUT = pathlib.Path("docs/plots/overload.png")
OFFERED = (0.5, 1.0, 1.5, 2.0, 3.0)
SEEDS = (1, 2)
_TITLES = {
    "": "fair, adaptive limit",
    "fixed_limit": "fair, fixed limit",
    "fifo": "bounded first-come queue",
    "no_admission": "no admission",
}


def main() -> None:
    """Runs every policy at every load and writes the plot."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy, factory in load_policies.POLICIES.items():
        values = [_goodput(offered, factory) for offered in OFFERED]
        axes.plot(OFFERED, values, marker="o", label=_TITLES[policy])
    axes.plot(OFFERED, [min(1.0, o) for o in OFFERED], ":", label="possible")
    axes.set_xlabel("offered load / capacity (without retries)")
    axes.set_ylabel("answered in time / capacity")
    axes.set_ylim(0, 1.05)
    axes.legend()
    figure.tight_layout()
    figure.savefig(OUT, dpi=110)


def _goodput(offered: float, factory: busy_fleet.LimitsFactory) -> float:
    twice = load_scenarios.twice_capacity()
    demands = tuple(
        dataclasses.replace(
            demand, capacity_share=demand.capacity_share * offered / 2
        )
        for demand in twice.demands
    )
    scenario = dataclasses.replace(twice, demands=demands)
    return statistics.mean(
        load_measures.goodput_share(
            busy_fleet.Fleet(
                scenario=scenario, factory=factory, seed=seed
            ).run()
        )
        for seed in SEEDS
    )


if __name__ == "__main__":
    main()
