"""Plots the p95 wait by load and policy to docs/plots/balance.png.

Run it as `python -m bench.plot_balance`; it takes about half a minute.
"""

import dataclasses
import pathlib
import statistics

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from bench import balance

OUTPUT = pathlib.Path(__file__).parent.parent / "docs/plots/balance.png"
LOAD_SHARES = (0.6, 0.7, 0.8, 0.9)
SEEDS = (1, 2, 3)


def main() -> None:
    """Runs all policies at all loads and writes the plot."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy in (
        balance.CLAIRVOYANT,
        balance.PRODUCT,
        *reversed(balance.BASELINES),
    ):
        means, minima, maxima = [], [], []
        for load_share in LOAD_SHARES:
            waits_ms = _waits_ms(policy, load_share)
            means.append(statistics.mean(waits_ms))
            minima.append(min(waits_ms))
            maxima.append(max(waits_ms))
        axes.plot(LOAD_SHARES, means, marker="o", label=policy)
        axes.fill_between(LOAD_SHARES, minima, maxima, alpha=0.12)
    axes.set_yscale("log")
    axes.set_xlabel("load, share of all batches")
    axes.set_ylabel("p95 wait to join a batch, ms")
    axes.set_title(
        "7 routers, 12 replicas, bursts, reports 1 s late\n"
        "mean and range of three seeds",
        fontsize=10,
    )
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(OUTPUT, dpi=110)


def _waits_ms(policy: str, load_share: float) -> list[float]:
    shape = dataclasses.replace(balance.TODAY_BURSTS, load_share=load_share)
    return [
        1000 * balance.measure(shape, policy, seed).p95_wait_s for seed in SEEDS
    ]


if __name__ == "__main__":
    main()
