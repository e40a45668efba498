"""Outcomes of an attempt on a replica, as far as this side knows."""

from nutmeghook.internal.upstream import reachability as reachability_module


class AttemptError(Exception):
    """An attempt that gave no answer."""


class NotSentError(AttemptError):
    """No byte of the request was written, so the replica did not run it.

    Attributes:
        reachability: How the replica responded to the attempt to connect; None
            if the request was not sent for another reason.
    """

    def __init__(
        self,
        message: str,
        *,
        reachability: reachability_module.Reachability | None = None,
    ):
        super().__init__(message)
        self.reachability = reachability


class RefusedError(AttemptError):
    """The replica reports that it did not run the request.

    Attributes:
        status: The status that it refused with.
        wrong_replica: Another replica now has the address.
    """

    def __init__(self, message: str, *, status: int, wrong_replica: bool):
        super().__init__(message)
        self.status = status
        self.wrong_replica = wrong_replica


class UnknownOutcomeError(AttemptError):
    """The request was written and may have run; no whole answer came."""


class NoAnswerError(UnknownOutcomeError):
    """Bytes came that are no answer, or more of them than any answer has."""


class ConnectionLostError(UnknownOutcomeError):
    """The connection ended before the answer did.

    The network path may have failed, or the replica itself have ended.
    """


class AbandonedError(UnknownOutcomeError):
    """The replica was silent for too long, and another one is to take over.

    Raised only once the further attempt is permitted.
    """
