"""Computes a template's plan from its tables."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_options
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_tables

_CHARS_PER_TOKEN = 4
# Only the ratio of the stages' costs matters for the choice.
_TYPICAL_OUTPUT_TOKENS = 200
_WHOLE_PERCENT = 100.0

_MIN_RATED_SHARE = 0.05
_MAX_EXPLORED_SHARE = 0.2
_MAX_TRIED_SHARE = 0.1
_MIN_TRIED_SHARE = 0.002
# Share of its cost that exploration may add to a template that is no longer
# new.
_EXPLORATION_COST_SHARE = 0.02
# Ratings of a template, and comparisons of a kind of request, at which
# `_newness` has fallen to a half.
_RATINGS_WHILE_NEW = 1_000.0
_COMPARISONS_WHILE_NEW = 40.0

# After this long without ratings the quality target rises until the strongest
# stage serves everything: requests may have changed, and an answer that is
# better than needed only costs money, while a bad one costs trust.
_MAX_RATING_GAP_S = 3_600.0
_TARGET_RISE_PER_S = 0.02 / 3_600.0


def plan_for(
    template: documents.Template,
    table: cascade_tables.TemplateTable,
    *,
    fleet: documents.Fleet,
    now_s: float,
) -> cascade_plans.TemplatePlan:
    """Returns the plan for a template's requests."""
    held_share = template.held_share_percent / _WHOLE_PERCENT
    groups = [
        group
        for may_hold, group_share in (
            (True, held_share),
            (False, 1.0 - held_share),
        )
        for group in _groups(template, table, fleet, may_hold, group_share)
    ]
    target = template.quality_target + _extra_target(table, now_s)
    mix = cascade_plans.cheapest_mix(groups, target=target)
    explored_shares = tuple(
        _explored_share(
            table.kinds[kind], _costs(template, fleet, kind), mix.cost
        )
        for kind in range(cascade_labels.KINDS)
    )
    # Explored requests get the last stage's answer. They raise the mean
    # quality, so the target for the plans is lower by as much.
    gain = _exploration_gain(groups, mix, explored_shares)
    mix = cascade_plans.cheapest_mix(groups, target=target - gain)
    newness = _newness(table.ratings, _RATINGS_WHILE_NEW)
    return cascade_plans.TemplatePlan(
        holding=tuple(mix.plans[: cascade_labels.KINDS]),
        relaying=tuple(mix.plans[cascade_labels.KINDS :]),
        rated_share=max(_MIN_RATED_SHARE, newness),
        explored_shares=explored_shares,
        tried_shares=tuple(_tried_share(stages) for stages in table.kinds),
    )


def _exploration_gain(
    groups: list[cascade_plans.Group],
    mix: cascade_plans.Mix,
    explored_shares: tuple[float, ...],
) -> float:
    # The groups that may hold answers come first; the first option of a group
    # is the strongest stage.
    holding = zip(groups, mix.qualities, explored_shares, strict=False)
    return sum(
        group.weight * share * max(0.0, group.options[0].quality - quality)
        for group, quality, share in holding
    )


def cautious_plan(stages: int) -> cascade_plans.TemplatePlan:
    """Returns the plan without ratings: always the strongest stage."""
    strongest = cascade_plans.PlannedOption(
        first_stage=stages - 1, go_on_below_bin=0
    )
    group = cascade_plans.GroupPlan(usual=strongest, upgraded=strongest)
    groups = (group,) * cascade_labels.KINDS
    return cascade_plans.TemplatePlan(
        holding=groups,
        relaying=groups,
        rated_share=1.0,
        explored_shares=(_MAX_EXPLORED_SHARE,) * cascade_labels.KINDS,
        tried_shares=(_MAX_TRIED_SHARE,) * cascade_labels.KINDS,
    )


def _explored_share(
    stages: list[cascade_tables.StageTable],
    costs: list[float],
    mean_cost: float,
) -> float:
    """Returns the share of a kind to explore; it falls with comparisons made.

    A rare kind needs as many comparisons as a common one.
    """
    compared = sum(stats.count for stats in stages[0].after)
    newness = _newness(compared, _COMPARISONS_WHILE_NEW)
    affordable = _EXPLORATION_COST_SHARE * mean_cost / max(sum(costs), 1.0)
    return min(
        _MAX_EXPLORED_SHARE,
        max(affordable, _MAX_EXPLORED_SHARE * newness**2),
    )


def _tried_share(stages: list[cascade_tables.StageTable]) -> float:
    """Returns the share of a kind that gets the cheap answer to have it rated.

    A caller may get a worse answer by it, so it ends sooner than exploration.
    """
    rated = stages[0].direct.count + sum(c.count for c in stages[0].held)
    newness = _newness(rated, _COMPARISONS_WHILE_NEW)
    return max(_MIN_TRIED_SHARE, _MAX_TRIED_SHARE * newness**2)


def _newness(count: float, while_new: float) -> float:
    """Returns 1 without data, falling towards 0 as `count` grows."""
    return while_new / (while_new + count)


def _groups(
    template: documents.Template,
    table: cascade_tables.TemplateTable,
    fleet: documents.Fleet,
    may_hold: bool,
    group_share: float,
) -> list[cascade_plans.Group]:
    total = sum(table.requests) or 1.0
    return [
        cascade_plans.Group(
            weight=group_share * table.requests[kind] / total,
            options=cascade_options.options_of(
                table.kinds[kind],
                costs=_costs(template, fleet, kind),
                may_hold=may_hold,
            ),
        )
        for kind in range(cascade_labels.KINDS)
    ]


def _costs(
    template: documents.Template, fleet: documents.Fleet, kind: int
) -> list[float]:
    prompt_tokens = cascade_labels.typical_chars(kind) / _CHARS_PER_TOKEN
    models = {model.name: model for model in fleet.models}
    return [
        _cost(models.get(stage.model), prompt_tokens)
        for stage in template.stages
    ]


def _cost(model: documents.ModelEntry | None, prompt_tokens: float) -> float:
    if model is None:
        return 0.0
    return (
        prompt_tokens * model.prompt_token_cost_micros
        + _TYPICAL_OUTPUT_TOKENS * model.output_token_cost_micros
    )


def _extra_target(table: cascade_tables.TemplateTable, now_s: float) -> float:
    gap_s = now_s - table.last_rating_at_s - _MAX_RATING_GAP_S
    return max(0.0, gap_s) * _TARGET_RISE_PER_S
