"""Refusals by the configuration, or for want of the newest one."""

import datetime

from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import in_force as in_force_module

# A large change takes some 0.1 s to arrive over the slowest links.
_RETRY_WHILE_BEHIND = datetime.timedelta(milliseconds=200)
# An instance that starts learns a configuration, and that it is the newest,
# within a second, unless the store or all peers are out of reach.
_RETRY_WITHOUT_CONFIGURATION = datetime.timedelta(milliseconds=500)


def require_current(
    configuration: in_force_module.ConfigurationInForce,
) -> None:
    """Checks that requests may be admitted by the configuration.

    Raises:
        rejections.RejectedError: There is none, or a newer one is or may be
            known to peers.
    """
    if configuration.current is None:
        reason = "no configuration is known yet"
    elif not configuration.is_proven:
        reason = "peers have not yet told which configuration is the newest"
    elif configuration.is_overdue:
        reason = "a newer configuration has been known for long"
    else:
        return
    raise rejections.RejectedError(
        wire.FixedResponse.NOT_RUN,
        reason=reason,
        retry_after=(
            _RETRY_WHILE_BEHIND
            if configuration.is_proven
            else _RETRY_WITHOUT_CONFIGURATION
        ),
    )


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
    if not configuration.newer_exists:
        return rejections.RejectedError(response, reason=reason)
    return rejections.RejectedError(
        wire.FixedResponse.NOT_RUN,
        reason=f"{reason}, in a configuration that is being replaced",
        retry_after=_RETRY_WHILE_BEHIND,
    )
