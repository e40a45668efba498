"""How likely chance alone gives so many bad answers, looked at once."""

import math


def probability_of_at_least(bad: int, *, of: int, share: float) -> float:
    """Returns the probability of so many bad answers or more.

    Args:
        bad: So many were bad.
        of: So many answers there were.
        share: Each is bad with this probability.
    """
    fewer = sum(
        math.exp(_log_chance(count, of=of, share=share)) for count in range(bad)
    )
    return max(0.0, 1.0 - fewer)


def _log_chance(bad: int, *, of: int, share: float) -> float:
    """Returns the logarithm of the probability of just so many.

    The numbers of ways to choose are beyond a float's range from some
    thousand answers on, and ended the process that looked; their logarithms
    are not.
    """
    ways = (
        math.lgamma(of + 1) - math.lgamma(bad + 1) - math.lgamma(of - bad + 1)
    )
    return ways + bad * math.log(share) + (of - bad) * math.log1p(-share)
