"""The ways to serve a kind of request, with their cost and quality."""

import dataclasses
import math

from nutmeghook.internal.routing import cascade_scorer
from nutmeghook.internal.routing import cascade_tables

# Qualities are estimated this many standard errors below the mean. Otherwise
# an option that looks good by chance would be preferred to those that are.
_CAUTION_STANDARD_ERRORS = 0.3
_PRIOR_RATINGS = 2.0
_MIN_RATINGS = 20.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Option:
    """One way through a template's stages.

    Attributes:
        first_stage: Where to start.
        go_on_below_bin: Held answers that score lower are discarded and the
            next stage runs; 0 if no answer is held.
        cost: Mean cost of a request.
        quality: Conservative estimate of the mean quality.
    """

    first_stage: int
    go_on_below_bin: int
    cost: float
    quality: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Estimate:
    """A mean and the variance of its error."""

    mean: float
    variance: float

    def cautious(self) -> float:
        return self.mean - _CAUTION_STANDARD_ERRORS * math.sqrt(self.variance)


def options_of(
    stages: list[cascade_tables.StageTable],
    *,
    costs: list[float],
    may_hold: bool,
) -> list[Option]:
    """Returns the options with enough ratings, and always the strongest.

    Args:
        stages: Tables of one kind of request.
        costs: Of one answer of each stage.
        may_hold: Whether answers may be held back to be judged.
    """
    last = len(stages) - 1
    found = [_strongest(stages, costs)]
    for first in range(last):
        estimate = _unheld_answers(stages[first])
        if estimate is None:
            continue
        found.append(
            Option(
                first_stage=first,
                go_on_below_bin=0,
                cost=costs[first],
                quality=estimate.cautious(),
            )
        )
        if may_hold and _count(stages[first].after) >= _MIN_RATINGS:
            found += _cascades(stages, first, costs)
    return found


def _strongest(
    stages: list[cascade_tables.StageTable], costs: list[float]
) -> Option:
    estimate = _last_stage(stages)
    return Option(
        first_stage=len(stages) - 1,
        go_on_below_bin=0,
        cost=costs[-1],
        quality=estimate.cautious() if estimate else 0.0,
    )


def _cascades(
    stages: list[cascade_tables.StageTable], first: int, costs: list[float]
) -> list[Option]:
    table = stages[first]
    shares = _bin_shares(table)
    accepted = [_bin_estimate(stats, table.held) for stats in table.held]
    escalated = [_bin_estimate(stats, table.after) for stats in table.after]
    found = []
    for threshold in range(1, cascade_scorer.SCORE_BINS):
        parts = [*escalated[:threshold], *accepted[threshold:]]
        escalated_share = sum(shares[:threshold])
        found.append(
            Option(
                first_stage=first,
                go_on_below_bin=threshold,
                cost=costs[first] + escalated_share * costs[first + 1],
                quality=_stratified(parts, shares).cautious(),
            )
        )
    return found


def _unheld_answers(table: cascade_tables.StageTable) -> _Estimate | None:
    """Estimates the quality of a stage's answers, held or not."""
    if _count(table.held) < _MIN_RATINGS:
        return _direct_estimate(table.direct)
    parts = [_bin_estimate(stats, table.held) for stats in table.held]
    return _combined(_stratified(parts, _bin_shares(table)), table.direct)


def _last_stage(
    stages: list[cascade_tables.StageTable],
) -> _Estimate | None:
    """Estimates the last stage's quality over all requests of the kind.

    Its answers after an escalation are to harder requests. Weighting them by
    the frequency of the previous stage's scores removes that bias.
    """
    direct = stages[-1].direct
    if len(stages) == 1:
        return _direct_estimate(direct)
    before = stages[-2]
    if min(_count(before.held), _count(before.after)) < _MIN_RATINGS:
        return _direct_estimate(direct)
    parts = [_bin_estimate(stats, before.after) for stats in before.after]
    return _combined(_stratified(parts, _bin_shares(before)), direct)


def _direct_estimate(stats: cascade_tables.RatingStats) -> _Estimate | None:
    if stats.count < _MIN_RATINGS:
        return None
    return _Estimate(mean=stats.mean, variance=stats.variance() / stats.count)


def _count(bins: list[cascade_tables.RatingStats]) -> float:
    return sum(stats.count for stats in bins)


def _bin_shares(table: cascade_tables.StageTable) -> list[float]:
    total = max(1.0, _count(table.held))
    return [stats.count / total for stats in table.held]


def _bin_estimate(
    stats: cascade_tables.RatingStats, bins: list[cascade_tables.RatingStats]
) -> _Estimate:
    """Estimates one bin, shrunk towards all bins where it has few ratings."""
    total = max(1.0, _count(bins))
    prior = sum(c.count * c.mean for c in bins) / total
    weight = stats.count + _PRIOR_RATINGS
    mean = (stats.count * stats.mean + _PRIOR_RATINGS * prior) / weight
    return _Estimate(mean=mean, variance=stats.variance() / weight)


def _stratified(parts: list[_Estimate], shares: list[float]) -> _Estimate:
    return _Estimate(
        mean=sum(s * p.mean for s, p in zip(shares, parts, strict=True)),
        variance=sum(
            s * s * p.variance for s, p in zip(shares, parts, strict=True)
        ),
    )


def _combined(
    estimate: _Estimate, stats: cascade_tables.RatingStats
) -> _Estimate:
    """Combines two estimates, weighted by their inverse variances."""
    other = _direct_estimate(stats)
    if other is None:
        return estimate
    one = 1.0 / max(estimate.variance, 1e-9)
    two = 1.0 / max(other.variance, 1e-9)
    return _Estimate(
        mean=(one * estimate.mean + two * other.mean) / (one + two),
        variance=1.0 / (one + two),
    )
