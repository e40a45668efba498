"""Reading a request's body, within bounds of size and time."""

import datetime

from aiohttp import web

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

MAX_BODY_BYTES = 10 * 1024 * 1024
BODY_TIMEOUT = datetime.timedelta(seconds=10)


async def read_body(
    request: web.Request, *, clock: clock_module.Clock
) -> bytes:
    """Returns the whole body.

    Raises:
        errors.CodedError: `TOO_LARGE`, or `SLOW_SENDER` if it was not there
            in time.
    """
    if (request.content_length or 0) > MAX_BODY_BYTES:
        raise _too_large()
    try:
        return await clock.wait_for(request.read(), BODY_TIMEOUT)
    except web.HTTPRequestEntityTooLarge as error:
        raise _too_large() from error
    except TimeoutError as error:
        raise errors.CodedError(
            code=codes.Code.SLOW_SENDER,
            detail=f"the body was not complete after {BODY_TIMEOUT}",
        ) from error


def _too_large() -> errors.CodedError:
    return errors.CodedError(
        code=codes.Code.TOO_LARGE,
        detail=f"the body is over {MAX_BODY_BYTES} bytes",
    )
