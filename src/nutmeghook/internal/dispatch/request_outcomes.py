"""Reports a request's outcome: to its caller, and as an event."""

import eliot

from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.observe import events as events_module


def final_error(
    request: requests.GenerationRequest | requests.PlainRequest,
    progress: progress_module.Progress,
    error: Exception,
) -> errors.CodedError:
    """Returns the error to report to the caller of a failed request."""
    if isinstance(error, errors.CodedError):
        return progress.final_error(
            error, may_be_sent_again=request.may_be_sent_again
        )
    eliot.write_traceback()
    return errors.CodedError(
        code=codes.Code.INTERNAL,
        detail=f"internal error of this instance: {type(error).__name__}",
        run_state=codes.RunState.UNKNOWN
        if progress.possibly_run
        else codes.RunState.NOT_RUN,
    )


def event_kind(code: codes.Code) -> events_module.EventKind:
    """Returns the event that records an outcome on the time line."""
    if code is codes.Code.OK:
        return events_module.EventKind.REQUEST_ANSWERED
    if code.run_state is codes.RunState.NOT_RUN:
        return events_module.EventKind.REQUEST_REFUSED
    return events_module.EventKind.REQUEST_UNKNOWN
