"""Which versions may run a request, as an interface."""

import abc
from collections.abc import Callable

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


class AnyVersion(VersionView):
    """Lets every version run everything; for tests."""

    __slots__ = ()

    def accepts(
        self, service: str, *, session: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Accepts all."""
        return lambda entry: True
