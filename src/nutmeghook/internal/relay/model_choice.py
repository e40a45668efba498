"""Which model answers, and when a larger one is asked after it."""

import abc

from nutmeghook.internal.routes import model


class ModelChoice(abc.ABC):
    """Walks a route's models from small to large."""

    @abc.abstractmethod
    def first(self, route: model.Route) -> int:
        """Returns the index of the model to begin with."""

    @abc.abstractmethod
    def next_after(
        self, route: model.Route, index: int, confidence: int | None
    ) -> int | None:
        """Returns the model to ask instead; None to keep the answer."""


class FixedThreshold(ModelChoice):
    """Begins with the smallest and sends weak answers to the largest.

    The model between is skipped: on both users' traffic the largest after
    the smallest was worth more than any way through the middle one.

    Args:
        least_confidence: Answers of less confidence are asked again.
    """

    __slots__ = ("_least_confidence",)

    def __init__(self, *, least_confidence: int = 50):
        self._least_confidence = least_confidence

    def first(self, route: model.Route) -> int:
        """Returns the smallest model."""
        return 0

    def next_after(
        self, route: model.Route, index: int, confidence: int | None
    ) -> int | None:
        """Returns the largest model after a weak answer."""
        last = len(route.models) - 1
        if confidence is None or index >= last:
            return None
        return last if confidence < self._least_confidence else None
