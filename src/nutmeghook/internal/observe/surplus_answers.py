"""Counts and logs answers of replicas that belong to no request under way.

A faulty replica may send an answer twice. The copy may come so late that the
next request on its connection is already under way.
"""

import abc
import enum

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_limiter
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module


class SurplusKind(enum.Enum):
    """How an answer was found to belong to no request under way.

    Attributes:
        IDLE: It came on a connection without an exchange.
        BEHIND: It came behind the whole answer to the request.
        OTHER_REQUEST: It came instead, with the id of another request.
        NO_REQUEST: It came instead, without a request's id.
    """

    IDLE = "idle"
    BEHIND = "behind"
    OTHER_REQUEST = "other_request"
    NO_REQUEST = "no_request"


class SurplusObserver(abc.ABC):
    """Is told of surplus answers."""

    __slots__ = ()

    @abc.abstractmethod
    def note(
        self, kind: SurplusKind, *, address: str, answered_id: str | None = None
    ) -> None:
        """Records one.

        Args:
            kind: How it was found.
            address: The replica's `ip:port`.
            answered_id: The request id that it bears, if any.
        """


class IgnoredSurplus(SurplusObserver):
    """Records nothing; for emulators and tests."""

    __slots__ = ()

    def note(
        self, kind: SurplusKind, *, address: str, answered_id: str | None = None
    ) -> None:
        """Does nothing."""


class SurplusAnswers(SurplusObserver):
    """Counts all, and logs one of each kind and replica a minute."""

    __slots__ = ("_limiter", "_metrics")

    def __init__(
        self, *, metrics: metrics_module.Metrics, clock: clock_module.Clock
    ):
        self._metrics = metrics
        self._limiter = log_limiter.LogLimiter(clock=clock)

    def note(
        self, kind: SurplusKind, *, address: str, answered_id: str | None = None
    ) -> None:
        """Records one."""
        self._metrics.add("surplus_answers_total", found=kind.value)
        if self._limiter.is_due((kind, address)):
            logs.note(
                "answer:surplus",
                found=kind.value,
                address=address,
                answered=answered_id,
            )
