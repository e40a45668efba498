"""What the version in full use does: how long it takes, how often it fails.

A new version is compared with it, as it is now: a busy minute, a grey replica
or a service that fails some requests by its nature must not speak against it.
"""

import dataclasses
import enum
import math

# A version may fail this share of its requests beyond what the version in full
# use fails, and still count as good: other faults hit its replicas too.
TOLERATED_BEYOND_BASELINE = 0.05
# The usual share is an estimate of few answers; this much of it is allowed.
BASELINE_FACTOR = 1.6
# What is taken for the usual share before there are answers, and how many
# answers that guess is worth.
_PRIOR_BAD = 0.6
_PRIOR_ANSWERS = 12.0
# Answers of the version in full use that count; older ones fade.
_BASELINE_MEMORY_ANSWERS = 60.0
# An answer is slow if it takes this many times as long as is usual on the same
# route and model: bad versions are several times slower, and prompts of one
# route differ by a factor of two to three in length.
SLOW_FACTOR = 4.0
# And if it uses up this part of the route's target: a fifth of it more or less
# harms no caller, whatever the factor.
SLOW_FRACTION_OF_TARGET = 0.2
# Of each answer in the mean and spread that it is compared with.
_DURATION_WEIGHT = 0.05
# The usual duration of a kind counts after so many answers.
_MIN_BASELINE_ANSWERS = 6
# The logarithm of paces of one kind is taken to vary by so much at least; with
# less, a few equal answers would make any other look like an exception.
_MIN_PACE_DEVIATION = 0.3
# One answer counts for at most so many standard deviations.
_MAX_DEVIATION = 3.0
# Of each pace in the mean and spread that it is compared with: some 60 answers
# count, since what is expected of each takes the load into account already.
_PACE_WEIGHT = 0.033
# So many answers the mean of paces is as sure as: 2 / weight - 1.
MEAN_PACE_ANSWERS = 2.0 / _PACE_WEIGHT - 1.0
# Answers of all routes together, beside those of each.
ALL_ROUTES = "all routes"


class LatencyMeasure(enum.Enum):
    """What is measured of an answer's pace.

    A version may be slow in one of them only; added up, the other would hide
    it.
    """

    FIRST_EVENT = "beginning"
    EVENT_INTERVAL = "going on"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ObservedAnswer:
    """An answer, or a failure that the replica reported.

    Attributes:
        model: Answers of one route and model take about as long.
        duration_s: From sending to the first sign of the answer.
        target_s: Answers within it have their full worth.
    """

    route: str
    model: str
    failed: bool
    duration_s: float
    target_s: float

    @property
    def kind(self) -> str:
        """What tells answers apart that take about as long."""
        return f"{self.route}/{self.model}"


class BaselineAnswers:
    """How long answers of the version in full use take, and how many fail."""

    __slots__ = ("_answers", "_bad", "_count", "_log")

    def __init__(self):
        self._log: dict[str, float] = {}
        self._count: dict[str, int] = {}
        self._answers: dict[str, float] = {}
        self._bad: dict[str, float] = {}

    def note(self, answer: ObservedAnswer) -> None:
        """Takes in an answer of the version in full use."""
        bad = self.is_bad(answer)
        for route in (answer.route, ALL_ROUTES):
            fade = 1.0 - 1.0 / _BASELINE_MEMORY_ANSWERS
            self._answers[route] = self._answers.get(route, 0.0) * fade + 1.0
            self._bad[route] = self._bad.get(route, 0.0) * fade + bad
        if answer.failed:
            return
        value = math.log(max(answer.duration_s, 1e-3))
        count = self._count.get(answer.kind, 0)
        mean = self._log.get(answer.kind, value)
        weight = max(_DURATION_WEIGHT, 1.0 / (count + 1))
        self._log[answer.kind] = mean + weight * (value - mean)
        self._count[answer.kind] = count + 1

    def is_bad(self, answer: ObservedAnswer) -> bool:
        """Tells whether an answer failed or took far longer than usual."""
        if answer.failed:
            return True
        if self._count.get(answer.kind, 0) < _MIN_BASELINE_ANSWERS:
            return False
        if answer.duration_s < SLOW_FRACTION_OF_TARGET * answer.target_s:
            return False
        baseline_s = math.exp(self._log[answer.kind])
        return answer.duration_s > SLOW_FACTOR * baseline_s

    def tolerated_share(self, route: str) -> float:
        """Returns the share of bad answers that a good version may have."""
        answers = self._answers.get(route, 0.0) + _PRIOR_ANSWERS
        bad = self._bad.get(route, 0.0) + _PRIOR_BAD
        share = TOLERATED_BEYOND_BASELINE + BASELINE_FACTOR * bad / answers
        return min(0.6, share)


class BaselinePaces:
    """How quickly answers of the version in full use go on, by kind.

    Paces vary by a factor of two to ten with the load, so one slow answer
    says little; but a version that is slow is slow in nearly all of them.
    """

    __slots__ = ("_count", "_mean", "_variance")

    def __init__(self):
        self._mean: dict[str, float] = {}
        self._variance: dict[str, float] = {}
        self._count: dict[str, int] = {}

    def note(self, kind: str, pace_s: float) -> None:
        """Takes in the pace of one answer."""
        value = math.log(max(pace_s, 1e-4))
        count = self._count.get(kind, 0)
        mean = self._mean.get(kind, value)
        weight = max(_PACE_WEIGHT, 1.0 / (count + 1))
        deviation = value - mean
        self._mean[kind] = mean + weight * deviation
        variance = self._variance.get(kind, 0.0)
        self._variance[kind] = (1 - weight) * (
            variance + weight * deviation * deviation
        )
        self._count[kind] = count + 1

    def deviation(self, kind: str, pace_s: float) -> float | None:
        """Returns by how many standard deviations a pace is slower."""
        if self._count.get(kind, 0) < _MIN_BASELINE_ANSWERS:
            return None
        spread = max(_MIN_PACE_DEVIATION, math.sqrt(self._variance[kind]))
        value = math.log(max(pace_s, 1e-4))
        found = (value - self._mean[kind]) / spread
        return max(-_MAX_DEVIATION, min(_MAX_DEVIATION, found))
