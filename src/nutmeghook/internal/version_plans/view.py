"""Which versions may run a request, as an interface."""

import abc
from collections.abc import Callable
import datetime

from nutmeghook.internal.replicas import entries
from nutmeghook.internal.version_plans import baseline as baseline_module


class VersionView(abc.ABC):
    """Knows which versions are rolling out and which were withdrawn."""

    @abc.abstractmethod
    def accepts(
        self, service: str, *, session: str | None, request_id: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a predicate for the replicas that may run a request.

        Args:
            service: The request's service.
            session: Requests with the same one get the same version; None if
                the request belongs to none.
            request_id: Decides on the version of a request without a session.
        """

    @abc.abstractmethod
    def accepts_stable(
        self, service: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a predicate for replicas of a stable version."""

    @abc.abstractmethod
    def note_sent(
        self,
        service: str,
        *,
        session: str,
        entry: entries.ReplicaEntry,
        deadline: datetime.timedelta,
    ) -> None:
        """Records which version a request goes to.

        Args:
            service: The request's service.
            session: Its session.
            entry: The replica.
            deadline: Monotonic time by which the request has ended.
        """

    @abc.abstractmethod
    def note_answer(
        self,
        entry: entries.ReplicaEntry,
        answer: baseline_module.ObservedAnswer,
    ) -> None:
        """Records an answer of a replica."""

    @abc.abstractmethod
    def note_pace(
        self,
        entry: entries.ReplicaEntry,
        *,
        measure: baseline_module.LatencyMeasure,
        kind: str,
        pace_s: float,
    ) -> None:
        """Records the pace of an answer.

        Args:
            entry: The replica that answered.
            measure: What was measured.
            kind: Answers of one kind have about the same pace.
            pace_s: Seconds between two events, or until a whole answer; or the
                ratio of the time to an answer's first event to what was
                expected.
        """


class AnyVersion(VersionView):
    """Lets every version run everything; for tests."""

    __slots__ = ()

    def accepts(
        self, service: str, *, session: str | None, request_id: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Accepts every replica."""
        return lambda entry: True

    def accepts_stable(
        self, service: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Accepts every replica."""
        return lambda entry: True

    def note_sent(
        self,
        service: str,
        *,
        session: str,
        entry: entries.ReplicaEntry,
        deadline: datetime.timedelta,
    ) -> None:
        """Does nothing."""

    def note_answer(
        self,
        entry: entries.ReplicaEntry,
        answer: baseline_module.ObservedAnswer,
    ) -> None:
        """Does nothing."""

    def note_pace(
        self,
        entry: entries.ReplicaEntry,
        *,
        measure: baseline_module.LatencyMeasure,
        kind: str,
        pace_s: float,
    ) -> None:
        """Does nothing."""
