"""Decides which model answers, and when a larger one replaces it."""

import abc
import datetime
import math

import msgspec

from nutmeghook.internal.routes import model

_MILLISECOND = datetime.timedelta(milliseconds=1)


class EscalationContext(msgspec.Struct, frozen=True, kw_only=True):
    """What is known when a smaller model's answer begins.

    Attributes:
        confidence: The model's own rating of its answer, 0 to 100; None if it
            gives none.
        elapsed: Since the request arrived.
        relative_size: The prompt's length relative to its route's mean.
        price: Of the larger model's answer, as a share of an answer's utility.
        first_event: Expected time to the larger model's first event.
        generation: Expected time from that event to the end of its answer.
        time_left: Until the request's deadline.
        waiting: Mean number of requests waiting at a replica.
    """

    confidence: int | None
    elapsed: datetime.timedelta
    relative_size: float
    price: float
    first_event: datetime.timedelta
    generation: datetime.timedelta
    time_left: datetime.timedelta
    waiting: float


class ModelChoice(abc.ABC):
    """Chooses among a route's models, ordered from small to large."""

    @abc.abstractmethod
    def first(self, route: model.Route) -> int:
        """Returns the index of the model to begin with."""

    @abc.abstractmethod
    def larger(self, route: model.Route, index: int) -> int | None:
        """Returns the model to escalate to from one; None if there is none."""

    @abc.abstractmethod
    def prefers_larger(
        self, route: model.Route, context: EscalationContext
    ) -> bool:
        """Decides whether the larger model is asked instead."""


class SmallestThenLargest(ModelChoice):
    """Begins with the smallest model and escalates to the largest.

    The models between are skipped: any sequence that includes the middle one
    has a lower utility.
    """

    def first(self, route: model.Route) -> int:
        """Returns the smallest model."""
        return 0

    def larger(self, route: model.Route, index: int) -> int | None:
        """Returns the largest model."""
        last = len(route.models) - 1
        return last if index < last else None


class FixedThreshold(SmallestThenLargest):
    """Replaces answers below a fixed confidence, for comparison.

    Args:
        least_confidence: Answers of less confidence are replaced.
    """

    __slots__ = ("_least_confidence",)

    def __init__(self, *, least_confidence: int = 50):
        self._least_confidence = least_confidence

    def prefers_larger(
        self, route: model.Route, context: EscalationContext
    ) -> bool:
        """Compares the confidence with the threshold."""
        if context.confidence is None:
            return False
        return context.confidence < self._least_confidence


class Utility(msgspec.Struct, frozen=True, kw_only=True):
    """Utility of answers to callers, relative to a good one in time.

    Attributes:
        late: A good answer after its target.
        poor: An answer of a model that was too small for the request.
    """

    late: float = 0.3
    poor: float = 0.05


# Probability that an answer is poor by its model's confidence, as pairs of
# upper bound and probability. They correspond to a utility of 0.59 without a
# larger model, of 0.82 if answers under 30 are replaced, and of 0.88 if those
# under 50 or under 60 are.
POOR_SHARES = (
    (10, 0.8),
    (30, 0.65),
    (50, 0.5),
    (60, 0.15),
    (100, 0.03),
)
# Spread of a time around its expected value: a share of it, plus a constant.
_SPREAD_SHARE = 0.35
_SPREAD_MS = 80.0
# Prefilling a prompt delays every request that waits behind it, and each of
# them loses this share of an answer's utility: some 250 ms of a target of 1,500
# ms, times the 0.7 that a late answer loses, for half of them. The total
# utility hardly depends on it: by 0.01 at most from 0.05 to 0.12. The loss does
# not depend on the prompt's own prefill time, or the longest prompts, whose
# answers have the largest utility, would get poor answers.
_UTILITY_LOST_PER_WAITING = 0.06
# Covers costs that are not modelled: the attempt that may be missing later, and
# the engine's time for generating. Also keeps high-confidence answers of models
# that have no price.
_MIN_GAIN = 0.04


class ExpectedUtility(SmallestThenLargest):
    """Asks the larger model if that raises the expected utility.

    Compares the utility of the present answer, which may be poor, with that of
    the larger model's, which may be late, less its price and what the requests
    behind it lose while an engine prefills its prompt. Without a queue, answers
    are replaced nearly as by a fixed threshold. The longer the queues, the more
    answers are kept, those of higher confidence first, so that callers still
    get an answer in time.
    """

    __slots__ = ("_utility",)

    def __init__(self, *, utility: Utility | None = None):
        self._utility = utility or Utility()

    def prefers_larger(
        self, route: model.Route, context: EscalationContext
    ) -> bool:
        """Compares the expected utilities of both answers."""
        if context.confidence is None:
            return False
        poor = poor_share(context.confidence)
        kept = 1.0 - poor * (1.0 - self._utility.poor)
        in_time = _chance_in_time(route.target, context)
        replaced = in_time + (1.0 - in_time) * self._utility.late
        replaced *= _chance_of_an_end(context)
        # Larger requests have a larger utility: 0.3, plus 0.7 for the size.
        size_factor = 0.3 + 0.7 * context.relative_size
        gained = (replaced - kept - _cost_to_waiting(context)) * size_factor
        return gained > context.price + _MIN_GAIN


def poor_share(confidence: int) -> float:
    """Returns the probability that an answer of a confidence is poor."""
    for upper, share in POOR_SHARES:
        if confidence < upper:
            return share
    return POOR_SHARES[-1][1]


def _chance_in_time(
    target: datetime.timedelta, context: EscalationContext
) -> float:
    return _chance_within(target - context.elapsed, context.first_event)


def _chance_of_an_end(context: EscalationContext) -> float:
    """Returns the probability that the larger model's answer ends in time.

    A long answer that is cut by the deadline after its first events has no
    utility to its caller.
    """
    whole = context.first_event + context.generation
    return _chance_within(context.time_left, whole)


def _chance_within(
    left: datetime.timedelta, expected: datetime.timedelta
) -> float:
    expected_ms = expected / _MILLISECOND
    left_ms = left / _MILLISECOND
    spread_ms = _SPREAD_MS + _SPREAD_SHARE * expected_ms
    # Bounded, since exp overflows beyond 709.
    steps = max(-30.0, min(30.0, (left_ms - expected_ms) / spread_ms))
    return 1.0 / (1.0 + math.exp(-steps))


def _cost_to_waiting(context: EscalationContext) -> float:
    return context.waiting * _UTILITY_LOST_PER_WAITING
