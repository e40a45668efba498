"""Upper tail of the binomial distribution, for a test that is made once."""

import math


def probability_of_at_least(bad: int, *, of: int, share: float) -> float:
    """Returns the probability of at least `bad` bad answers.

    Args:
        bad: Number of bad answers.
        of: Number of all answers.
        share: Probability that an answer is bad.
    """
    fewer = sum(
        math.exp(_log_chance(count, of=of, share=share)) for count in range(bad)
    )
    return max(0.0, 1.0 - fewer)


def _log_chance(bad: int, *, of: int, share: float) -> float:
    """Returns the logarithm of the probability of exactly so many.

    Logarithms are used since from some thousand answers on the binomial
    coefficients exceed a float's range, and the overflow would end the process.
    """
    ways = (
        math.lgamma(of + 1) - math.lgamma(bad + 1) - math.lgamma(of - bad + 1)
    )
    return ways + bad * math.log(share) + (of - bad) * math.log1p(-share)
