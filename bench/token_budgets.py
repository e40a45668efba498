"""How much of a template's budget can be used with equal shares.

A team requests exactly its budget, over randomly chosen instances. Where an
instance receives less than a request a minute, some instances refuse requests
while others have budget left.
"""

import datetime
import random
import statistics

from bench import report
from bench.models import simulation
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import retry_after_schedule
from nutmeghook.internal.limits import token_budget
from nutmeghook.internal.membership import members

SEEDS = (1, 2, 3)
COST_TOKENS = 200
WARM_UP_S = 120.0
DURATION_S = 600.0
# Regression bounds, not targets; docs/design/overload.md gives the reasons.
CASES = ((7, 600, 0.95), (420, 600, 0.7), (420, 6000, 0.95))


def run() -> list[report.Line]:
    """Returns the served share of the budget, by size."""
    return [
        report.Line(
            name=f"limits.budget_served_share.{members_count}.{per_minute}",
            value=round(
                statistics.mean(
                    _served_share(members_count, per_minute, seed)
                    for seed in SEEDS
                ),
                4,
            ),
            unit="ratio",
            bound=bound,
            better=report.Better.HIGHER,
        )
        for members_count, per_minute, bound in CASES
    ]


def _served_share(members_count: int, per_minute: int, seed: int) -> float:
    rng = random.Random(seed)
    clock = simulation.Simulation()
    budgets = _budgets(members_count, clock)
    retry_schedule = retry_after_schedule.RetryAfterSchedule(
        clock=clock, randomness=rng
    )
    served = 0
    while clock.now_s < DURATION_S:
        clock.run_until(clock.now_s + rng.expovariate(per_minute / 60))
        request = _request(per_minute, clock)
        budget = rng.choice(budgets)
        try:
            budget.check(request, retry_schedule=retry_schedule)
        except errors.CodedError:
            continue
        budget.charge(request, COST_TOKENS)
        served += clock.now_s > WARM_UP_S
    return served / (per_minute * (DURATION_S - WARM_UP_S) / 60)


def _request(
    per_minute: int, clock: simulation.Simulation
) -> admission.AdmissionRequest:
    return admission.AdmissionRequest(
        team="team",
        template="template",
        weight=1.0,
        priority=5,
        deadline=clock.monotonic() + datetime.timedelta(seconds=30),
        cost_tokens=COST_TOKENS,
        tokens_per_minute=per_minute * COST_TOKENS,
    )


def _budgets(
    members_count: int, clock: simulation.Simulation
) -> list[token_budget.TokenBudgets]:
    made = [
        members.Member(
            inner_address=f"10.0.{i // 250}.{i % 250}:7000",
            incarnation=str(i),
            region="region",
            data_centre="centre",
        )
        for i in range(members_count)
    ]
    view = members.FixedMemberView(myself=made[0], others=tuple(made[1:]))
    return [token_budget.TokenBudgets(clock=clock, members=view) for _ in made]
