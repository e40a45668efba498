"""How likely chance alone gives so many bad answers, looked at once."""

import math


def at_least(bad: int, *, of: int, share: float) -> float:
    """Returns the probability of so many bad answers or more.

    Args:
        bad: So many were bad.
        of: So many answers there were.
        share: Each is bad with this probability.
    """
    fewer = sum(
        math.comb(of, count) * share**count * (1.0 - share) ** (of - count)
        for count in range(bad)
    )
    return max(0.0, 1.0 - fewer)
