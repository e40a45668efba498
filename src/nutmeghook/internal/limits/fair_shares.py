"""Divides a capacity by priority, and fairly within one priority."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from nutmeghook.internal.limits import demand_rates

# What is left below this part of the capacity is an error of rounding; the less
# urgent would be taken to have a share.
_ROUNDING = 1e-9


def allocate(
    asked: Mapping[demand_rates.DemandKey, float], capacity: float
) -> dict[demand_rates.DemandKey, float]:
    """Returns what each key of one service gets of a capacity.

    More urgent keys come first. Those of one priority share what is left by
    max-min fairness: none gets more than it asks for, and none that gets less
    than that gets less than another.
    """
    shares: dict[demand_rates.DemandKey, float] = {}
    left = max(0.0, capacity)
    for priority in sorted({key.priority for key in asked}):
        of_priority = {
            key: rate for key, rate in asked.items() if key.priority == priority
        }
        level = fair_level(of_priority.values(), left)
        for key, rate in of_priority.items():
            shares[key] = min(rate, level)
            left = max(0.0, left - shares[key])
        if left <= _ROUNDING * (1.0 + capacity):
            left = 0.0
    return shares


def fair_level(rates: Iterable[float], capacity: float) -> float:
    """Returns the most that one team gets under max-min fairness.

    It is infinite if the capacity is enough for all.
    """
    left = capacity
    ascending = sorted(rates)
    for position, rate in enumerate(ascending):
        level = left / (len(ascending) - position)
        if rate > level:
            return level
        left -= rate
    return math.inf
