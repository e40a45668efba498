"""The cheapest mix of options whose mean quality meets the target.

The target is for the mean over a template's requests, so quality is raised
first for the kinds of request where it costs least. The best mix lies on the
convex hull of each kind's options, and all kinds but one use a single option;
that one uses two, in a proportion that meets the target.
"""

from collections.abc import Iterator
import dataclasses
import itertools
import math

import msgspec

from nutmeghook.internal.routing import cascade_options

# Smaller changes are not published: a hundredth of the requests moves the mean
# rating by less than the error that plans allow for, and a tenth more or less
# exploration only changes how soon something is learned.
_MIN_SHARE_CHANGE = 0.01
_MIN_RELATIVE_CHANGE = 0.1


class PlannedOption(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The part of an option that instances need."""

    first_stage: int
    go_on_below_bin: int


class GroupPlan(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The options for one group of requests.

    Attributes:
        upgraded: For `upgraded_share` of the requests; `usual` for the rest.
    """

    usual: PlannedOption
    upgraded: PlannedOption
    upgraded_share: float = 0.0


class TemplatePlan(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The options and sampling shares for a template's requests.

    Attributes:
        holding: For each kind, the options if answers may be held.
        relaying: For each kind, the options if they may not.
        rated_share: Share of requests whose answers are submitted for rating.
        explored_shares: For each kind, the share for which all stages run, if
            answers may be held.
        tried_shares: For each kind, the share that gets the first stage's
            answer to have it rated, if answers may not be held.
    """

    holding: tuple[GroupPlan, ...]
    relaying: tuple[GroupPlan, ...]
    rated_share: float
    explored_shares: tuple[float, ...]
    tried_shares: tuple[float, ...]


def differ(one: TemplatePlan, other: TemplatePlan) -> bool:
    """Tells whether requests would be treated noticeably differently."""
    return any(
        (a.usual, a.upgraded) != (b.usual, b.upgraded)
        or abs(a.upgraded_share - b.upgraded_share) >= _MIN_SHARE_CHANGE
        for a, b in zip(_groups(one), _groups(other), strict=True)
    ) or not all(
        math.isclose(a, b, rel_tol=_MIN_RELATIVE_CHANGE)
        for a, b in zip(_shares(one), _shares(other), strict=True)
    )


def _groups(plan: TemplatePlan) -> Iterator[GroupPlan]:
    return itertools.chain(plan.holding, plan.relaying)


def _shares(plan: TemplatePlan) -> tuple[float, ...]:
    return (plan.rated_share, *plan.explored_shares, *plan.tried_shares)


@dataclasses.dataclass(slots=True, kw_only=True)
class Group:
    """Requests that have the same options.

    Attributes:
        weight: Their share of the template's requests.
        options: At least one.
    """

    weight: float
    options: list[cascade_options.Option]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Upgrade:
    """A step along one group's hull.

    Attributes:
        price: Cost of one unit of quality.
        gain: Quality of the whole template that the step adds.
    """

    group_index: int
    option: cascade_options.Option
    price: float
    gain: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Mix:
    """A plan for each group, in their order.

    Attributes:
        qualities: Conservative estimate of each group's quality.
        cost: Mean over all groups.
    """

    plans: list[GroupPlan]
    qualities: list[float]
    cost: float


def cheapest_mix(groups: list[Group], *, target: float) -> Mix:
    """Returns the cheapest mix that meets the target.

    Where none does, each group gets its best option.
    """
    hulls = [_hull(group.options) for group in groups]
    current = [hull[0] for hull in hulls]
    plans = [_single_option_plan(option) for option in current]
    qualities = [option.quality for option in current]
    weights = [group.weight for group in groups]
    cost = sum(w * o.cost for w, o in zip(weights, current, strict=True))
    quality = sum(w * o.quality for w, o in zip(weights, current, strict=True))
    for upgrade in _upgrades(hulls, weights):
        missing = target - quality
        if missing <= 0:
            break
        index = upgrade.group_index
        if upgrade.gain >= missing:
            share = missing / upgrade.gain
            cost += share * upgrade.gain * upgrade.price
            qualities[index] += missing / weights[index]
            plans[index] = _mixed_plan(current[index], upgrade.option, share)
            break
        quality += upgrade.gain
        cost += upgrade.gain * upgrade.price
        current[index] = upgrade.option
        qualities[index] = upgrade.option.quality
        plans[index] = _single_option_plan(upgrade.option)
    return Mix(plans=plans, qualities=qualities, cost=cost)


def _hull(
    options: list[cascade_options.Option],
) -> list[cascade_options.Option]:
    """Returns the options that no mix of others beats, cheapest first."""
    ordered = sorted(options, key=lambda o: (o.cost, -o.quality))
    hull: list[cascade_options.Option] = []
    for option in ordered:
        if hull and option.quality <= hull[-1].quality:
            continue
        while len(hull) >= 2 and _price(hull[-2], hull[-1]) >= _price(
            hull[-1], option
        ):
            hull.pop()
        hull.append(option)
    return hull


def _upgrades(
    hulls: list[list[cascade_options.Option]], weights: list[float]
) -> list[_Upgrade]:
    """Returns all steps along the hulls, cheapest quality first."""
    found = [
        _Upgrade(
            group_index=index,
            option=better,
            price=_price(worse, better),
            gain=weights[index] * (better.quality - worse.quality),
        )
        for index, hull in enumerate(hulls)
        for worse, better in itertools.pairwise(hull)
    ]
    return sorted(found, key=lambda upgrade: upgrade.price)


def _price(
    worse: cascade_options.Option, better: cascade_options.Option
) -> float:
    return (better.cost - worse.cost) / (better.quality - worse.quality)


def _single_option_plan(option: cascade_options.Option) -> GroupPlan:
    planned = _planned(option)
    return GroupPlan(usual=planned, upgraded=planned)


def _mixed_plan(
    usual: cascade_options.Option,
    upgraded: cascade_options.Option,
    share: float,
) -> GroupPlan:
    return GroupPlan(
        usual=_planned(usual),
        upgraded=_planned(upgraded),
        upgraded_share=share,
    )


def _planned(option: cascade_options.Option) -> PlannedOption:
    return PlannedOption(
        first_stage=option.first_stage,
        go_on_below_bin=option.go_on_below_bin,
    )
