"""Probability that chance alone gives a number of bad answers."""

import fractions
import math
import unittest

from hypothesis import given
from hypothesis import strategies

from nutmeghook.internal.version_plans import binomial_tail


def exactly(bad: int, of: int, share: fractions.Fraction) -> fractions.Fraction:
    """Returns the probability of at least `bad` bad answers, in fractions."""
    return sum(
        math.comb(of, count) * share**count * (1 - share) ** (of - count)
        for count in range(bad, of + 1)
    )


class TailsTest(unittest.TestCase):
    @given(
        of=strategies.integers(min_value=1, max_value=60),
        part=strategies.fractions(min_value=0, max_value=1),
        share=strategies.fractions(
            min_value=fractions.Fraction(1, 100),
            max_value=fractions.Fraction(99, 100),
            max_denominator=100,
        ),
    )
    def test_it_is_the_exact_probability(self, of, part, share):
        bad = math.floor(part * of)
        found = binomial_tail.probability_of_at_least(
            bad, of=of, share=float(share)
        )
        self.assertAlmostEqual(found, float(exactly(bad, of, share)), places=9)

    @given(
        of=strategies.integers(min_value=1, max_value=20_000),
        part=strategies.floats(min_value=0.0, max_value=1.0),
        share=strategies.floats(min_value=0.001, max_value=0.9),
    )
    def test_any_number_of_answers_gives_a_probability(self, of, part, share):
        """With thousands of answers, many of them bad, binomial coefficients
        exceed a float's range, and the overflow could end the process.
        """
        chance = binomial_tail.probability_of_at_least(
            int(part * of), of=of, share=share
        )
        self.assertGreaterEqual(chance, 0.0)
        self.assertLessEqual(chance, 1.0)


if __name__ == "__main__":
    unittest.main()
