"""Which model answers, and when a larger one is asked after it."""

import abc
import dataclasses
import datetime
import math

from nutmeghook.internal.routes import model

_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class EscalationContext:
    """What is known when a smaller model's answer begins.

    Attributes:
        confidence: The model's opinion of its answer, 0 to 100; None without.
        elapsed: Since the request arrived.
        relative_size: The prompt's length, 1 where it is usual for the route.
        price: Of the larger model's answer, as a part of an answer's worth.
        first_event: How long the larger model's first event is to take.
        generation: How long its answer is to go on after that.
        time_left: Until the request's deadline.
        waiting: Requests that wait at a replica, on average.
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
    """Walks a route's models from small to large."""

    @abc.abstractmethod
    def first(self, route: model.Route) -> int:
        """Returns the index of the model to begin with."""

    @abc.abstractmethod
    def larger(self, route: model.Route, index: int) -> int | None:
        """Returns the model that may be asked after one; None for none."""

    @abc.abstractmethod
    def prefers_larger(
        self, route: model.Route, context: EscalationContext
    ) -> bool:
        """Decides whether the larger model is asked instead."""


class SmallestThenLargest(ModelChoice):
    """Begins with the smallest model and goes on to the largest.

    The models between are skipped: on both users' traffic the largest after
    the smallest was worth more than any way through the middle one.
    """

    def first(self, route: model.Route) -> int:
        """Returns the smallest model."""
        return 0

    def larger(self, route: model.Route, index: int) -> int | None:
        """Returns the largest model."""
        last = len(route.models) - 1
        return last if index < last else None


class FixedThreshold(SmallestThenLargest):
    """Asks again whatever falls short of a confidence; the baseline.

    Args:
        least_confidence: Answers of less confidence are asked again.
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


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Utility:
    """What answers are worth to callers, as parts of a good one in time.

    Attributes:
        late: A good answer after its target.
        poor: An answer of a model that was too small for the request.
    """

    late: float = 0.3
    poor: float = 0.05


# How likely an answer is poor, by its model's confidence: upper ends and
# shares. From what each fixed threshold brought on a quiet day of the users'
# traffic (0.59 of the worth without a larger model, 0.82 with all under 30
# asked again, 0.88 under 50, 0.88 under 60) and from how many answers fall
# between them.
POOR_SHARES = (
    (10, 0.8),
    (30, 0.65),
    (50, 0.5),
    (60, 0.15),
    (100, 0.03),
)
# First events spread by this part around what is expected, and by some ms.
_SPREAD_SHARE = 0.35
_SPREAD_MS = 80.0
# Reading a prompt holds up every request that waits behind it. This part of an
# answer's worth is lost for each of them: some 250 ms of their target of 1,500
# ms, of which seven tenths are lost by being late, by half of them. Emulated
# bursts and losses of replicas bring the same worth within 0.01 for 0.05 to
# 0.12. By the prompt's own reading time instead, the worth is the same, but
# the longest prompts, which the users' weights count most, get poor answers.
_UTILITY_LOST_PER_WAITING = 0.06
# What is not weighed: the attempt that may be missed later, and the engine's
# time for generating. Also keeps sure answers of models that have no price.
_MIN_GAIN = 0.04


class ExpectedUtility(SmallestThenLargest):
    """Asks the larger model if callers are better off for it.

    Weighed against each other: the worth of keeping the answer, which may be
    poor; that of the larger model's, which may come late; its price; and what
    all others lose while an engine reads its prompt. So where nobody waits,
    answers are replaced nearly as by a fixed threshold. The longer the queues,
    the fewer, the surer ones first, and callers get an answer in time at all.
    """

    __slots__ = ("_utility",)

    def __init__(self, *, utility: Utility | None = None):
        self._utility = utility or Utility()

    def prefers_larger(
        self, route: model.Route, context: EscalationContext
    ) -> bool:
        """Weighs both answers."""
        if context.confidence is None:
            return False
        poor = poor_share(context.confidence)
        kept = 1.0 - poor * (1.0 - self._utility.poor)
        in_time = _chance_in_time(route.target, context)
        replaced = in_time + (1.0 - in_time) * self._utility.late
        replaced *= _chance_of_an_end(context)
        # A larger request is worth more: 0.3 and 0.7 for its size.
        size_factor = 0.3 + 0.7 * context.relative_size
        gained = (replaced - kept - _cost_to_waiting(context)) * size_factor
        return gained > context.price + _MIN_GAIN


def poor_share(confidence: int) -> float:
    """Returns how likely an answer of a confidence is poor."""
    for upper, share in POOR_SHARES:
        if confidence < upper:
            return share
    return POOR_SHARES[-1][1]


def _chance_in_time(
    target: datetime.timedelta, context: EscalationContext
) -> float:
    return _chance_within(target - context.elapsed, context.first_event)


def _chance_of_an_end(context: EscalationContext) -> float:
    """Returns how likely the larger model's answer is whole in time.

    A long answer that is cut by the deadline after its first events is worth
    nothing to its caller.
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
