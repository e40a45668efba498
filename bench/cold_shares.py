"""Ways to share what a cold replica bears: the worst second, and the use."""

import statistics

from bench import report
from bench.models import cold_fleet

SEEDS = 10
SIZES = (7, 77, 195, 420)
_WAYS = {
    "each_its_part": cold_fleet.EachItsPart(),
    "few_senders": cold_fleet.FewSenders(),
    "few_senders_half": cold_fleet.FewSenders(senders=4),
    "few_senders_double": cold_fleet.FewSenders(senders=16),
    "one_holder": cold_fleet.OneHolder(),
}
# The ones that are built; the others are only reported.
_KEPT = "few_senders"
_WITHIN_BOUND = ("all_agree", "third_dead", "two_islands")


def run() -> list[report.Line]:
    """Returns the figures of all ways, sizes and scenes."""
    return [
        line
        for way in _WAYS
        for size in SIZES
        for scene_name, scene in _scenes(size).items()
        for line in _lines(way, size, scene_name, scene)
    ]


def _scenes(size: int) -> dict[str, cold_fleet.Scene]:
    return {
        "all_agree": cold_fleet.Scene(instances=size),
        "third_dead": cold_fleet.Scene(instances=size, dead=1 / 3),
        "two_islands": cold_fleet.Scene(instances=size, islands=2),
        "half_unknown": cold_fleet.Scene(instances=size, unknown=0.5),
        "two_thirds_unknown": cold_fleet.Scene(instances=size, unknown=2 / 3),
    }


def _lines(
    way: str, size: int, scene_name: str, scene: cold_fleet.Scene
) -> list[report.Line]:
    outcomes = [
        cold_fleet.play(scene, _WAYS[way], seed=seed) for seed in range(SEEDS)
    ]
    is_bound = way == _KEPT and scene_name in _WITHIN_BOUND
    name = f"cold_shares.{way}.{size}.{scene_name}"
    return [
        report.Line(
            name=f"{name}.worst_second",
            value=max(outcome.worst_second for outcome in outcomes),
            unit="requests",
            bound=cold_fleet.BOUND if is_bound else None,
        ),
        report.Line(
            name=f"{name}.used",
            value=round(statistics.fmean(o.used for o in outcomes), 3),
            unit="share",
            better=report.Better.HIGHER,
        ),
    ]
