"""Which versions may run a request, as an interface."""

import abc
from collections.abc import Callable
import datetime

from nutmeghook.internal.replicas import entries
from nutmeghook.internal.version_plans import baseline as baseline_module


class VersionView(abc.ABC):
    """Knows what is rolling out and what was withdrawn."""

    @abc.abstractmethod
    def accepts(
        self, service: str, *, session: str | None, request_id: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a test for the replicas that may run a request.

        Args:
            service: The request's service.
            session: Requests with the same one get the same version; None if
                the request belongs to none.
            request_id: Tells requests without a session apart.
        """

    @abc.abstractmethod
    def accepts_stable(
        self, service: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a test for replicas of a version that is not on trial."""

    @abc.abstractmethod
    def note_sent(
        self,
        service: str,
        *,
        session: str,
        entry: entries.ReplicaEntry,
        deadline: datetime.timedelta,
    ) -> None:
        """Takes in which version a request goes to.

        Args:
            service: The request's service.
            session: Its session.
            entry: The replica.
            deadline: Monotonic time at which it has ended at last.
        """

    @abc.abstractmethod
    def note_answer(
        self,
        entry: entries.ReplicaEntry,
        answer: baseline_module.ObservedAnswer,
    ) -> None:
        """Takes in an answer of a replica."""

    @abc.abstractmethod
    def note_pace(
        self,
        entry: entries.ReplicaEntry,
        *,
        measure: baseline_module.LatencyMeasure,
        kind: str,
        pace_s: float,
    ) -> None:
        """Takes in how quickly an answer went on.

        Args:
            entry: Who answered.
            measure: What was measured.
            kind: Answers of one kind are about as quick.
            pace_s: Time between two events, or until a whole answer; or until
                an answer's first event, as parts of what was expected.
        """


class AnyVersion(VersionView):
    """Lets every version run everything; for tests."""

    __slots__ = ()

    def accepts(
        self, service: str, *, session: str | None, request_id: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Accepts all."""
        return lambda entry: True

    def accepts_stable(
        self, service: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Accepts all."""
        return lambda entry: True

    def note_sent(
        self,
        service: str,
        *,
        session: str,
        entry: entries.ReplicaEntry,
        deadline: datetime.timedelta,
    ) -> None:
        """Ignores it."""

    def note_answer(
        self,
        entry: entries.ReplicaEntry,
        answer: baseline_module.ObservedAnswer,
    ) -> None:
        """Ignores it."""

    def note_pace(
        self,
        entry: entries.ReplicaEntry,
        *,
        measure: baseline_module.LatencyMeasure,
        kind: str,
        pace_s: float,
    ) -> None:
        """Ignores it."""
