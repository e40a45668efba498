"""Plots the cascade and exposure benchmarks into docs/plots/.

python -m bench cascade exposure > out/decisions.jsonl
python -m bench.plot_decisions out/decisions.jsonl
"""

import pathlib
import sys

import matplotlib
import msgspec

from bench import report

matplotlib.use("Agg")

from matplotlib import pyplot

_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs" / "plots"
_POLICIES = (
    "always_cheap",
    "best_each_request",
    "best",
    "learned",
    "fixed_cascade",
    "always_strong",
)
_CASES = tuple(
    f"{share}_from_{percent}"
    for share in ("0.2", "0.5")
    for percent in (0, 5, 50)
)


def main() -> None:
    """Reads the lines named on the command line and draws both plots."""
    text = pathlib.Path(sys.argv[1]).read_text()
    values = {
        line.name: line.value
        for line in (
            msgspec.json.decode(row, type=report.Line)
            for row in text.splitlines()
        )
    }
    _FOLDER.mkdir(parents=True, exist_ok=True)
    _draw_cascades(values)
    _draw_exposure(values)


def _draw_cascades(values: dict[str, float]) -> None:
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4.5))
    for axis, workload in zip(axes, ("lookup", "review"), strict=True):
        for policy in _POLICIES:
            cost = values[f"cascade.cost.{policy}.{workload}"]
            quality = values[f"cascade.quality.{policy}.{workload}"]
            axis.scatter(cost, quality, label=policy.replace("_", " "))
        axis.axhline(0.9, linestyle="--", linewidth=0.8, color="gray")
        axis.set_title(f"{workload}: target 0.9")
        axis.set_xlabel("cost of a request, millionths of a euro")
        axis.set_ylabel("mean rating")
        axis.legend(fontsize=8)
    _save(figure, "cascade_cost_and_quality.png")


def _draw_exposure(values: dict[str, float]) -> None:
    places = ("agency", "siamroster", "agency_planned", "siamroster_planned")
    figure, axes = pyplot.subplots(2, 2, figsize=(12, 8))
    for axis, place in zip(axes.flat, places, strict=True):
        positions = range(len(_CASES))
        ours = [values[f"exposure.bad_answers.{c}.{place}"] for c in _CASES]
        fixed = [
            values[f"exposure.bad_answers.fixed.{c}.{place}"] for c in _CASES
        ]
        axis.bar([p - 0.2 for p in positions], ours, 0.4, label="product")
        axis.bar(
            [p + 0.2 for p in positions],
            fixed,
            0.4,
            label="fixed threshold, no cap",
        )
        axis.set_yscale("log")
        axis.set_xticks(list(positions), _CASES, rotation=20, fontsize=8)
        axis.set_title(place.replace("_", ", "))
        axis.set_ylabel("bad answers, mean of seeds")
        axis.legend(fontsize=8)
    _save(figure, "exposure_bad_answers.png")


def _save(figure: pyplot.Figure, name: str) -> None:
    figure.tight_layout()
    figure.savefig(_FOLDER / name, dpi=90)


if __name__ == "__main__":
    main()
