"""How a relayed request ended, for logs and counters."""

import msgspec

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire

_CODES = {
    wire.FixedResponse.BAD_REQUEST: codes.Code.BAD_HEADER,
    wire.FixedResponse.BAD_KEY: codes.Code.BAD_TOKEN,
    wire.FixedResponse.NO_ROUTE: codes.Code.NOT_FOUND,
    wire.FixedResponse.SLOW_SENDER: codes.Code.SLOW_SENDER,
    wire.FixedResponse.TOO_LARGE: codes.Code.TOO_LARGE,
    wire.FixedResponse.OVERLOADED: codes.Code.OVERLOADED,
    wire.FixedResponse.FAILED_PERHAPS_RUN: codes.Code.BACKEND_FAILED,
    wire.FixedResponse.NOT_RUN: codes.Code.NO_CANDIDATE,
    wire.FixedResponse.LATE_PERHAPS_RUN: codes.Code.DEADLINE_DURING_RUN,
}


class Ending(msgspec.Struct, frozen=True, kw_only=True):
    """Numbered result and reason of a request's end.

    Metrics are labelled by the code only: the reason may hold an error's text,
    and the number of labels would grow without bound.
    """

    code: codes.Code
    reason: str


ANSWERED = Ending(code=codes.Code.OK, reason="answered")
CALLER_NOT_READING = Ending(
    code=codes.Code.CALLER_NOT_READING, reason="the caller does not read"
)
CALLER_LEFT = Ending(code=codes.Code.CALLER_GONE, reason="the caller left")


def of_rejection(rejection: rejections.RejectedError) -> Ending:
    """Returns the ending of a request that the relay itself rejected."""
    return Ending(
        code=rejection.code or _CODES[rejection.response],
        reason=rejection.reason,
    )


def of_broken_connection(error: ConnectionError) -> Ending:
    """Returns the ending of a request whose caller's connection broke."""
    return Ending(
        code=codes.Code.CALLER_GONE,
        reason=f"the caller's connection broke: {error}",
    )


def of_fault(error: Exception) -> Ending:
    """Returns the ending of a request that met an internal error."""
    return Ending(code=codes.Code.INTERNAL, reason=f"internal fault: {error!r}")
