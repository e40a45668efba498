"""The product's limits and their baselines."""

import random

from bench.models import admission_baselines
from bench.models import busy_fleet
from bench.models import virtual_loop
from nutmeghook.internal.limits import adaptive_limit
from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.limits import fair_admission
from nutmeghook.internal.limits import retry_budget
from nutmeghook.internal.limits import token_budget
from nutmeghook.internal.membership import members


def adaptive_limit_policy(
    clock: virtual_loop.LoopClock,
    randomness: random.Random,
    scenario: busy_fleet.Scenario,
) -> busy_fleet.Limits:
    """The product's limits."""
    limit = adaptive_limit.AdaptiveLimit(ceiling=_ceiling(scenario))
    return _fair(
        clock, randomness, limit, retry_budget.TokenBucketRetryBudget()
    )


def fixed_limit(
    clock: virtual_loop.LoopClock,
    randomness: random.Random,
    scenario: busy_fleet.Scenario,
) -> busy_fleet.Limits:
    """Fair admission with a fixed number of slots."""
    limit = concurrency_limit.FixedLimit(slots=_ceiling(scenario))
    return _fair(
        clock, randomness, limit, retry_budget.TokenBucketRetryBudget()
    )


def fifo(
    clock: virtual_loop.LoopClock,
    randomness: random.Random,
    scenario: busy_fleet.Scenario,
) -> busy_fleet.Limits:
    """A bounded queue, first come first served, and naive retries."""
    return busy_fleet.Limits(
        admission=admission_baselines.FifoAdmission(
            slots=_ceiling(scenario), max_waiting=100
        ),
        retries=admission_baselines.NaiveRetries(),
    )


def no_admission(
    clock: virtual_loop.LoopClock,
    randomness: random.Random,
    scenario: busy_fleet.Scenario,
) -> busy_fleet.Limits:
    """Everything goes to the engines, with naive retries."""
    return busy_fleet.Limits(
        admission=admission.OpenAdmission(),
        retries=admission_baselines.NaiveRetries(),
    )


POLICIES = {
    "": adaptive_limit_policy,
    "fixed_limit": fixed_limit,
    "fifo": fifo,
    "no_admission": no_admission,
}


def _ceiling(scenario: busy_fleet.Scenario) -> int:
    return adaptive_limit.capacity_share(
        capacity=scenario.engines * scenario.reported_slots,
        members=scenario.instances,
    )


def _fair(
    clock: virtual_loop.LoopClock,
    randomness: random.Random,
    limit: concurrency_limit.ConcurrencyLimit,
    retries: admission.RetryBudget,
) -> busy_fleet.Limits:
    myself = members.Member(
        inner_address="10.0.0.1:7000",
        incarnation="one",
        region="hu-central",
        data_centre="hu-central-1",
    )
    budgets = token_budget.TokenBudgets(
        clock=clock, members=members.FixedMemberView(myself=myself)
    )
    return busy_fleet.Limits(
        admission=fair_admission.FairAdmission(
            clock=clock, randomness=randomness, limit=limit, budgets=budgets
        ),
        retries=retries,
    )
