"""How an attempt on a replica ended, as far as this side can know."""


class AttemptError(Exception):
    """An attempt that gave no answer."""


class NotSentError(AttemptError):
    """No byte of the request was written, so the replica did not run it."""


class RefusedError(AttemptError):
    """The replica itself said that it did not run the request.

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


class ConnectionLostError(UnknownOutcomeError):
    """The connection ended before the answer did.

    The path to the replica may have broken, or the replica itself ended.
    """


class AbandonedError(UnknownOutcomeError):
    """The replica was silent for too long, and another one is to take over.

    Raised only once leave for the further attempt was taken.
    """
