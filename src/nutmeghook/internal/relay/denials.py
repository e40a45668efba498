"""Refusals of what the configuration does not allow."""

import datetime

from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import in_force as in_force_module

# A large change takes some 0.1 s to arrive over the slowest links.
_RETRY_WHILE_BEHIND = datetime.timedelta(milliseconds=200)


def denial(
    configuration: in_force_module.ConfigurationInForce,
    response: wire.FixedResponse,
    *,
    reason: str,
) -> rejections.RejectedError:
    """Returns the rejection of a request that the configuration denies.

    Callers do not retry after a denial, so an instance that knows of a newer
    configuration asks them to retry instead.

    Args:
        configuration: The configuration that denies it.
        response: The response if no newer configuration is known.
        reason: What is not allowed.
    """
    if not configuration.newer_exists():
        return rejections.RejectedError(response, reason=reason)
    return rejections.RejectedError(
        wire.FixedResponse.NOT_RUN,
        reason=f"{reason}, in a configuration that is being replaced",
        retry_after=_RETRY_WHILE_BEHIND,
    )
