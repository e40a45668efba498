"""The outcome of an emulated load for its callers."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AnsweredRequest:
    """The outcome of one request.

    Attributes:
        max_utility: The utility of a good answer in time.
        utility: The utility of the answer; less if it was late or poor.
        model_index: Of the model whose answer the caller got.
    """

    arrived_s: float
    wait_s: float
    max_utility: float
    utility: float
    model_index: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class QueueSample:
    """The number of requests waiting at all replicas at one time."""

    at_s: float
    waiting: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """All answers, queue samples and generation times of a run.

    Attributes:
        generation_times_s: Of each answer, from its first event to its last.
    """

    answered: list[AnsweredRequest] = dataclasses.field(default_factory=list)
    queues: list[QueueSample] = dataclasses.field(default_factory=list)
    generation_times_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def utility_share(self) -> float:
        """The sum of the utility as a share of the maximum."""
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
