"""Baseline of a new version: latency and failures of the stable version.

The new version is compared with the stable one as it is now, so that a burst
of load, a grey failure of a replica or a service that always fails some
requests does not count against the new version.
"""

import enum
import math

import msgspec

# A version may fail this share of its requests more than the stable version and
# still count as good, since other faults hit its replicas too.
TOLERATED_BEYOND_BASELINE = 0.05
# The baseline's share of bad answers is estimated from few answers, so this
# multiple of it is tolerated.
BASELINE_FACTOR = 1.6
# Prior for the baseline's share of bad answers: bad answers, and all answers.
_PRIOR_BAD = 0.6
_PRIOR_ANSWERS = 12.0
# Number of answers in the exponentially weighted mean of the baseline.
_BASELINE_MEMORY_ANSWERS = 60.0
# An answer is slow if it takes this many times as long as the baseline of its
# route and model: bad versions are several times slower, and prompts of one
# route differ by a factor of two to three in length.
SLOW_FACTOR = 4.0
# It also has to take this part of the route's target: a shorter answer harms no
# caller, whatever the factor.
SLOW_FRACTION_OF_TARGET = 0.2
# Weight of each answer in the exponentially weighted mean of log-durations.
_DURATION_WEIGHT = 0.05
# The baseline of a kind is used after this many answers.
_MIN_BASELINE_ANSWERS = 6
# Least standard deviation of the logarithm of paces of one kind; with less, a
# few equal answers would make any other look like an outlier.
_MIN_PACE_DEVIATION = 0.3
# One answer counts for at most this many standard deviations.
_MAX_DEVIATION = 3.0
# Weight of each pace in the exponentially weighted mean and variance: some 60
# answers count, since the expected pace of each already accounts for the load.
_PACE_WEIGHT = 0.033
# Number of answers whose plain mean has the same variance as the weighted mean:
# 2 / weight - 1.
MEAN_PACE_ANSWERS = 2.0 / _PACE_WEIGHT - 1.0
# Key of the answers of all routes together.
ALL_ROUTES = "all routes"


class LatencyMeasure(enum.Enum):
    """Part of an answer whose latency is compared.

    A version may be slow in one part only, which the other would hide in their
    sum.
    """

    FIRST_EVENT = "beginning"
    EVENT_INTERVAL = "going on"


class ObservedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer, or a failure that the replica reported.

    Attributes:
        model: Answers of one route and model take about as long.
        duration_s: Seconds from sending to the first sign of the answer.
        target_s: Answers within this many seconds have their full utility.
    """

    route: str
    model: str
    failed: bool
    duration_s: float
    target_s: float

    @property
    def kind(self) -> str:
        """Key of the answers that take about as long as this one."""
        return f"{self.route}/{self.model}"


class BaselineAnswers:
    """Durations and failures of the stable version's answers."""

    __slots__ = ("_answers", "_bad", "_count", "_mean_log")

    def __init__(self):
        self._mean_log: dict[str, float] = {}
        self._count: dict[str, int] = {}
        self._answers: dict[str, float] = {}
        self._bad: dict[str, float] = {}

    def note(self, answer: ObservedAnswer) -> None:
        """Adds an answer of the stable version."""
        bad = self.is_bad(answer)
        for route in (answer.route, ALL_ROUTES):
            decay = 1.0 - 1.0 / _BASELINE_MEMORY_ANSWERS
            self._answers[route] = self._answers.get(route, 0.0) * decay + 1.0
            self._bad[route] = self._bad.get(route, 0.0) * decay + bad
        if answer.failed:
            return
        value = math.log(max(answer.duration_s, 1e-3))
        count = self._count.get(answer.kind, 0)
        mean = self._mean_log.get(answer.kind, value)
        weight = max(_DURATION_WEIGHT, 1.0 / (count + 1))
        self._mean_log[answer.kind] = mean + weight * (value - mean)
        self._count[answer.kind] = count + 1

    def is_bad(self, answer: ObservedAnswer) -> bool:
        """Tells whether an answer failed or was far slower than baseline."""
        if answer.failed:
            return True
        if self._count.get(answer.kind, 0) < _MIN_BASELINE_ANSWERS:
            return False
        if answer.duration_s < SLOW_FRACTION_OF_TARGET * answer.target_s:
            return False
        baseline_s = math.exp(self._mean_log[answer.kind])
        return answer.duration_s > SLOW_FACTOR * baseline_s

    def tolerated_share(self, route: str) -> float:
        """Returns the share of bad answers that a good version may have."""
        answers = self._answers.get(route, 0.0) + _PRIOR_ANSWERS
        bad = self._bad.get(route, 0.0) + _PRIOR_BAD
        share = TOLERATED_BEYOND_BASELINE + BASELINE_FACTOR * bad / answers
        return min(0.6, share)


class BaselinePaces:
    """Paces of the stable version's answers, by kind.

    Paces vary by a factor of two to ten with the load, so one slow answer
    proves little, while a slow version is slow in nearly all answers.
    """

    __slots__ = ("_count", "_mean", "_variance")

    def __init__(self):
        self._mean: dict[str, float] = {}
        self._variance: dict[str, float] = {}
        self._count: dict[str, int] = {}

    def note(self, kind: str, pace_s: float) -> None:
        """Adds the pace of one answer."""
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

    def weight(self, kind: str) -> float:
        """Returns how many answers' plain mean is as exact as a kind's mean.

        0 while there are too few to compare others with it.
        """
        count = self._count.get(kind, 0)
        if count < _MIN_BASELINE_ANSWERS:
            return 0.0
        return min(float(count), MEAN_PACE_ANSWERS)

    def deviation(self, kind: str, pace_s: float) -> float | None:
        """Returns by how many standard deviations a pace is slower.

        None while there are too few answers of its kind.
        """
        if not self.weight(kind):
            return None
        spread = max(_MIN_PACE_DEVIATION, math.sqrt(self._variance[kind]))
        value = math.log(max(pace_s, 1e-4))
        found = (value - self._mean[kind]) / spread
        return max(-_MAX_DEVIATION, min(_MAX_DEVIATION, found))

    def state_of(self, kind: str) -> dict[str, float]:
        """Returns what the paces of a kind are compared with, for the log."""
        return {
            "usual": round(math.exp(self._mean.get(kind, 0.0)), 4),
            "spread": round(math.sqrt(self._variance.get(kind, 0.0)), 2),
            "answers": self._count.get(kind, 0),
        }
