"""Baseline policies for the learned cascade."""

from bench.models import quality
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_options
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_scorer

_FIXED_THRESHOLD = 0.75


def always(requests: list[quality.Request], *, stage: int) -> quality.Outcome:
    """Runs one fixed stage for all requests."""
    outcome = quality.Outcome()
    for request in requests:
        outcome.add(
            cost=request.costs[stage],
            quality=request.qualities[stage],
            held=False,
        )
    return outcome


def fixed_cascade(requests: list[quality.Request]) -> quality.Outcome:
    """Escalates below one fixed score for all templates and targets."""
    outcome = quality.Outcome()
    for request in requests:
        _run_cascade(outcome, request, request.scores[0] < _FIXED_THRESHOLD)
    return outcome


def best_each_request(
    requests: list[quality.Request], *, target: float
) -> quality.Outcome:
    """Chooses a stage per request, knowing all qualities; an upper bound.

    Upgrades the requests that gain most quality for their cost until the
    mean meets the target.
    """
    by_gain = sorted(
        requests,
        key=lambda r: (
            (r.costs[1] - r.costs[0])
            / max(1e-9, r.qualities[1] - r.qualities[0])
        ),
    )
    missing_quality = target * len(requests) - sum(
        r.qualities[0] for r in requests
    )
    outcome = quality.Outcome()
    for request in by_gain:
        gain = request.qualities[1] - request.qualities[0]
        stage = 1 if missing_quality > 0 and gain > 0 else 0
        missing_quality -= gain * stage
        outcome.add(
            cost=request.costs[stage],
            quality=request.qualities[stage],
            held=False,
        )
    return outcome


def best_thresholds(
    requests: list[quality.Request], *, target: float
) -> quality.Outcome:
    """The best policy of the learned one's form, knowing all qualities.

    For each kind of request it may start at any stage, escalate below any
    score bin and mix two such options, knowing the exact mean of each.
    """
    kinds = [
        [r for r in requests if r.kind == kind]
        for kind in range(cascade_labels.KINDS)
    ]
    groups = [
        cascade_plans.Group(
            weight=len(group_requests) / len(requests),
            options=_exact(group_requests),
        )
        for group_requests in kinds
    ]
    plans = cascade_plans.cheapest_mix(groups, target=target).plans
    outcome = quality.Outcome()
    for group_requests, plan in zip(kinds, plans, strict=True):
        upgraded = round(plan.upgraded_share * len(group_requests))
        for number, request in enumerate(group_requests):
            option = plan.upgraded if number < upgraded else plan.usual
            _run_option(outcome, request, option)
    return outcome


def _exact(
    group_requests: list[quality.Request],
) -> list[cascade_options.Option]:
    forms = [(1, 0), *((0, b) for b in range(cascade_scorer.SCORE_BINS))]
    options = []
    for first_stage, go_on_below_bin in forms:
        outcome = quality.Outcome()
        planned = cascade_plans.PlannedOption(
            first_stage=first_stage, go_on_below_bin=go_on_below_bin
        )
        for request in group_requests:
            _run_option(outcome, request, planned)
        options.append(
            cascade_options.Option(
                first_stage=first_stage,
                go_on_below_bin=go_on_below_bin,
                cost=outcome.mean_cost,
                quality=outcome.mean_quality,
            )
        )
    return options


def _run_option(
    outcome: quality.Outcome,
    request: quality.Request,
    option: cascade_plans.PlannedOption,
) -> None:
    if option.first_stage == 1 or option.go_on_below_bin == 0:
        stage = option.first_stage
        outcome.add(
            cost=request.costs[stage],
            quality=request.qualities[stage],
            held=False,
        )
        return
    score_bin = cascade_scorer.bin_of(request.scores[0])
    _run_cascade(outcome, request, score_bin < option.go_on_below_bin)


def _run_cascade(
    outcome: quality.Outcome, request: quality.Request, escalates: bool
) -> None:
    outcome.add(
        cost=request.costs[0] + escalates * request.costs[1],
        quality=request.qualities[1 if escalates else 0],
        held=True,
    )
