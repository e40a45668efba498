"""Sequential tests of whether ratings prove that a version is bad.

Comparing the share of bad ratings with a threshold after each rating stops good
versions too, since each comparison is one more chance of a false alarm. The two
rules here are valid after each rating. Both compute likelihood ratios of a few
larger bad shares, for every moment at which the version may have turned bad:

* `RollOutRule` bounds the probability that a version within tolerance is ever
  stopped in its whole roll-out (a mixture of test martingales over the
  moments of change, whose weights sum to 1; Ville's inequality).
* `FullShareRule` tests without end, so it bounds the mean number of ratings
  between false alarms (the Shiryaev-Roberts statistic).

docs/design/rollouts.md compares both with a fixed threshold.
"""

import abc
import math

import msgspec

# Alternative bad shares, as fractions of the way from tolerated to always bad.
# They cover versions that fail for one caller in ten up to all.
_ALTERNATIVES = (0.03, 0.08, 0.2, 0.45, 0.8)
_RATINGS_UNTIL_CHANGE = 300.0
_WEIGHT_BAD_FROM_START = 0.5
# Guards against float overflow; sums are far smaller before a verdict.
_LARGEST_SUM = 1e200


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """Sufficient statistics of one version's ratings, stored in a row.

    Attributes:
        ratings: Number of ratings.
        bad: Number of bad ones.
        sums: A weighted sum of likelihood ratios for each alternative.
    """

    ratings: int = 0
    bad: int = 0
    sums: tuple[float, ...] = (0.0,) * len(_ALTERNATIVES)


class Rule(abc.ABC):
    """Adds ratings to evidence and tells when it suffices."""

    __slots__ = ("_threshold", "_tolerated")

    def __init__(self, *, tolerated_bad_share: float, threshold: float):
        if not 0.0 < tolerated_bad_share < 1.0:
            raise ValueError(
                f"tolerated_bad_share is {tolerated_bad_share}; give a share"
                " between 0 and 1, for example 0.05"
            )
        self._tolerated = tolerated_bad_share
        self._threshold = threshold

    def with_rating(self, evidence: Evidence, *, bad: bool) -> Evidence:
        """Returns the evidence with one more rating."""
        weight = self._weight_of_change(evidence.ratings)
        sums = tuple(
            min(_LARGEST_SUM, (old + weight) * self._ratio(part, bad))
            for old, part in zip(evidence.sums, _ALTERNATIVES, strict=True)
        )
        return Evidence(
            ratings=evidence.ratings + 1,
            bad=evidence.bad + bad,
            sums=sums,
        )

    def strength(self, evidence: Evidence) -> float:
        """Returns the evidence as a fraction of a proof, from 0 to 1."""
        mean = sum(evidence.sums) / len(evidence.sums)
        return min(1.0, mean / self._threshold)

    def proves_bad(self, evidence: Evidence) -> bool:
        """Tells whether the version has to be withdrawn."""
        return self.strength(evidence) >= 1.0

    @abc.abstractmethod
    def _weight_of_change(self, ratings_before: int) -> float:
        """Returns the weight of a change just before the next rating."""

    def _ratio(self, part: float, bad: bool) -> float:
        alternative = self._tolerated + (1.0 - self._tolerated) * part
        if bad:
            return alternative / self._tolerated
        return (1.0 - alternative) / (1.0 - self._tolerated)


class RollOutRule(Rule):
    """Finds that a version in roll-out is bad.

    Args:
        tolerated_bad_share: Share of bad ratings that is still fine.
        false_stop_share: Largest probability that a version within tolerance
            is stopped during its whole roll-out.
    """

    __slots__ = ()

    def __init__(
        self, *, tolerated_bad_share: float, false_stop_share: float = 0.01
    ):
        super().__init__(
            tolerated_bad_share=tolerated_bad_share,
            threshold=1.0 / false_stop_share,
        )

    def _weight_of_change(self, ratings_before: int) -> float:
        if ratings_before == 0:
            return _WEIGHT_BAD_FROM_START
        rate = 1.0 / _RATINGS_UNTIL_CHANGE
        later = 1.0 - _WEIGHT_BAD_FROM_START
        return later * rate * math.exp(-rate * ratings_before)


class FullShareRule(Rule):
    """Detects that a version at full share has turned bad.

    Args:
        tolerated_bad_share: Share of bad ratings that is still fine.
        ratings_between_false_alarms: Least mean number of ratings from one
            false alarm to the next.
    """

    __slots__ = ()

    def __init__(
        self,
        *,
        tolerated_bad_share: float,
        ratings_between_false_alarms: float = 100_000.0,
    ):
        super().__init__(
            tolerated_bad_share=tolerated_bad_share,
            threshold=ratings_between_false_alarms,
        )

    def _weight_of_change(self, ratings_before: int) -> float:
        return 1.0
