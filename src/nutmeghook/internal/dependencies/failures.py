"""How a call to the platform or to a backend server can fail.

The two kinds are kept apart because they allow different next steps: after
`NotDoneError` the call may be repeated freely; after `OutcomeUnknownError` it
may have taken effect, or may still do so later.
"""

import datetime


class PlatformError(Exception):
    """A platform call that gave no usable answer."""


class NotDoneError(PlatformError):
    """The call had, and will have, no effect.

    Raised only if that is certain: no byte of the call was written, or the
    other side answered that it refused before doing anything.

    Attributes:
        retry_after: Delay before a retry, if the other side gave one.
        overloaded: The other side refused because of its load or rate limit.
        leaving: The other side refused because it is shutting down.
    """

    def __init__(
        self,
        message: str,
        *,
        retry_after: datetime.timedelta | None = None,
        overloaded: bool = False,
        leaving: bool = False,
    ):
        super().__init__(message)
        self.retry_after = retry_after
        self.overloaded = overloaded
        self.leaving = leaving


class WithheldError(NotDoneError):
    """The call was not sent, as it is no longer permitted."""


class OutcomeUnknownError(PlatformError):
    """The call may have taken effect, or may still take effect later."""
