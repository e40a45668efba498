"""What callers of an emulated fleet got."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AnsweredRequest:
    """What one request came to.

    Attributes:
        owed: What a good answer in time is worth.
        worth: With late and poor answers counted for less.
        model_index: Of the model whose answer the caller got.
    """

    arrived_s: float
    wait_s: float
    max_utility: float
    utility: float
    model_index: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class QueueSample:
    """How many requests waited at all replicas together."""

    at_s: float
    waiting: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What callers got, as parts of what they could have got.

    Attributes:
        generations_s: From an answer's first event to its last, each.
    """

    answered: list[AnsweredRequest] = dataclasses.field(default_factory=list)
    queues: list[QueueSample] = dataclasses.field(default_factory=list)
    generation_times_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def utility_share(self) -> float:
        """The worth that callers got of what they were owed."""
        max_utility = sum(answer.max_utility for answer in self.answered)
        return sum(answer.utility for answer in self.answered) / max_utility

    @property
    def larger_model_share(self) -> float:
        """The share of requests that the largest model answered."""
        larger = sum(answer.model_index > 0 for answer in self.answered)
        return larger / len(self.answered)

    def wait_s(self, quantile: float) -> float:
        """Returns a quantile of the times to the first event."""
        ordered = sorted(answer.wait_s for answer in self.answered)
        return ordered[int(quantile * (len(ordered) - 1))]
