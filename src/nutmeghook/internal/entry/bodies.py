"""Reads request bodies within limits of size, time and memory."""

from collections.abc import Iterator
import contextlib
import datetime

from aiohttp import web

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

MAX_BODY_BYTES = 10 * 1024 * 1024
BODY_TIMEOUT = datetime.timedelta(seconds=10)
LARGE_BODY_BYTES = 64 * 1024
MAX_LARGE_BODIES_BYTES = 3 * MAX_BODY_BYTES
LARGE_BODIES_RETRY_AFTER = datetime.timedelta(seconds=1)


class BodyBudget:
    """Bounds the total memory of large request bodies.

    Otherwise a dozen callers that send the permitted 10 MB each would exceed
    the instance's 128 MB, and it would be killed with all other requests.
    Small bodies, which are nearly all, are bounded by admission control.
    """

    __slots__ = ("_reserved_bytes",)

    def __init__(self):
        self._reserved_bytes = 0

    @contextlib.contextmanager
    def reserved(self, request: web.Request) -> Iterator[None]:
        """Reserves memory for a request's body until the request ends.

        Raises:
            errors.CodedError: `TOO_LARGE`, or `OVERLOADED` while too much is
                reserved.
        """
        size_bytes = _declared_bytes(request)
        if size_bytes > MAX_BODY_BYTES:
            raise _too_large()
        if size_bytes < LARGE_BODY_BYTES:
            yield
            return
        if self._reserved_bytes + size_bytes > MAX_LARGE_BODIES_BYTES:
            raise errors.CodedError(
                code=codes.Code.OVERLOADED,
                detail="too many large bodies are being handled",
                retry_after=LARGE_BODIES_RETRY_AFTER,
            )
        self._reserved_bytes += size_bytes
        try:
            yield
        finally:
            self._reserved_bytes -= size_bytes


async def read_body(
    request: web.Request, *, clock: clock_module.Clock
) -> bytes:
    """Returns the whole body.

    Raises:
        errors.CodedError: `TOO_LARGE`, or `SLOW_SENDER` if it was not
            complete in time.
    """
    try:
        return await clock.wait_for(request.read(), BODY_TIMEOUT)
    except web.HTTPRequestEntityTooLarge as error:
        raise _too_large() from error
    except TimeoutError as error:
        raise errors.CodedError(
            code=codes.Code.SLOW_SENDER,
            detail=f"the body was not complete after {BODY_TIMEOUT}",
        ) from error


def _declared_bytes(request: web.Request) -> int:
    """Returns the declared body size, or the limit if none is declared."""
    if request.content_length is not None:
        return request.content_length
    return MAX_BODY_BYTES if request.body_exists else 0


def _too_large() -> errors.CodedError:
    return errors.CodedError(
        code=codes.Code.TOO_LARGE,
        detail=f"the body is over {MAX_BODY_BYTES} bytes",
    )
