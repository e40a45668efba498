"""Overload, a team at ten times its share, and a brown-out."""

import dataclasses

from bench.models import busy_engine
from bench.models import busy_fleet

WARM_UP_S = 60.0
DURATION_S = 180.0
BROWN_OUT = busy_engine.BrownOut(
    from_s=40.0, until_s=80.0, slowdown=4.0, failed_share=0.3
)


def twice_capacity() -> busy_fleet.Scenario:
    """Ten equal teams offer twice the capacity, a fifth of it reviews."""
    demands = [
        busy_fleet.Demand(
            team=f"team-{index}", kind=kind, capacity_share=share / 10
        )
        for index in range(10)
        for kind, share in ((busy_fleet.LOOKUP, 1.6), (busy_fleet.REVIEW, 0.4))
    ]
    return busy_fleet.Scenario(demands=tuple(demands), duration_s=DURATION_S)


def small_batches() -> busy_fleet.Scenario:
    """Twice the capacity, with engines that reach half their reported batch."""
    scenario = twice_capacity()
    return dataclasses.replace(scenario, engine_slots=4)


def large_team() -> busy_fleet.Scenario:
    """Nine teams offer their fair share, one ten times its own."""
    demands = [
        busy_fleet.Demand(
            team=f"team-{index}", kind=busy_fleet.LOOKUP, capacity_share=0.1
        )
        for index in range(1, 10)
    ]
    demands.append(
        busy_fleet.Demand(
            team="large", kind=busy_fleet.LOOKUP, capacity_share=1.0
        )
    )
    return busy_fleet.Scenario(demands=tuple(demands), duration_s=DURATION_S)


def brown_out() -> busy_fleet.Scenario:
    """All engines are slow and fail for a while, at 70% load."""
    demands = [
        busy_fleet.Demand(
            team=f"team-{index}", kind=kind, capacity_share=share / 10
        )
        for index in range(10)
        for kind, share in ((busy_fleet.LOOKUP, 0.5), (busy_fleet.REVIEW, 0.2))
    ]
    return busy_fleet.Scenario(
        demands=tuple(demands), duration_s=DURATION_S, brown_out=BROWN_OUT
    )
