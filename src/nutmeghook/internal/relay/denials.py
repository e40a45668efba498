"""Refusals of what the configuration does not allow."""

import datetime

from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import in_force as in_force_module

# A large change is on its way for some 0.1 s on the slowest links.
_RETRY_WHILE_BEHIND = datetime.timedelta(milliseconds=200)


def denial(
    configuration: in_force_module.ConfigurationInForce,
    response: wire.FixedResponse,
    *,
    reason: str,
) -> rejections.RejectedError:
    """Returns the end of a request that the configuration does not allow.

    Callers do not come back after a denial, so an instance that knows itself to
    be behind asks them to.

    Args:
        configuration: The one that does not allow it.
        response: What the caller is told by an instance that is not behind.
        reason: What is not allowed.
    """
    if not configuration.newer_exists():
        return rejections.RejectedError(response, reason=reason)
    return rejections.RejectedError(
        wire.FixedResponse.NOT_RUN,
        reason=f"{reason}, in a configuration that is being replaced",
        retry_after=_RETRY_WHILE_BEHIND,
    )
