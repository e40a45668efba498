"""Which versions may run a request, as an interface."""

import abc
from collections.abc import Callable
import datetime

from nutmeghook.internal.replicas import entries


class VersionView(abc.ABC):
    """Knows what is rolling out and what was withdrawn."""

    @abc.abstractmethod
    def accepts(
        self, service: str, *, session: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a test for the replicas that may run a request.

        Args:
            service: The request's service.
            session: Requests with the same one get the same version.
        """

    @abc.abstractmethod
    def note_sent(
        self, service: str, *, session: str, entry: entries.ReplicaEntry
    ) -> None:
        """Takes in which version a request goes to."""

    @abc.abstractmethod
    def note_answer(
        self,
        entry: entries.ReplicaEntry,
        *,
        kind: str,
        failed: bool,
        duration: datetime.timedelta,
    ) -> None:
        """Takes in an answer, or a failure that the replica reports.

        Args:
            entry: Who answered.
            kind: Answers of one kind should take about as long.
            failed: The replica says that it failed.
            duration: From sending to the first sign of the answer.
        """


class AnyVersion(VersionView):
    """Lets every version run everything; for tests."""

    __slots__ = ()

    def accepts(
        self, service: str, *, session: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Accepts all."""
        return lambda entry: True

    def note_sent(
        self, service: str, *, session: str, entry: entries.ReplicaEntry
    ) -> None:
        """Ignores it."""

    def note_answer(
        self,
        entry: entries.ReplicaEntry,
        *,
        kind: str,
        failed: bool,
        duration: datetime.timedelta,
    ) -> None:
        """Ignores it."""
