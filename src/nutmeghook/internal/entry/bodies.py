"""Reads request bodies within limits of size, time and memory."""

from collections.abc import Iterator
import contextlib
import datetime

from aiohttp import hdrs
from aiohttp import web

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

MAX_BODY_BYTES = 10 * 1024 * 1024
BODY_TIMEOUT = datetime.timedelta(seconds=10)
LARGE_BODY_BYTES = 64 * 1024
MAX_LARGE_BODIES_BYTES = 3 * MAX_BODY_BYTES
MAX_SMALL_BODIES_BYTES = MAX_BODY_BYTES
# A body that arrives may be refused for another one after this long.
ARRIVAL_GRACE = datetime.timedelta(seconds=1)
LARGE_BODIES_RETRY_AFTER = datetime.timedelta(seconds=1)


class Reservation:
    """Memory reserved for a request's body.

    Attributes:
        size_bytes: The declared size, or the limit if none is declared.
        began_at: Monotonic time of its begin.
    """

    __slots__ = ("_request", "began_at", "size_bytes")

    def __init__(
        self,
        *,
        request: web.Request,
        size_bytes: int,
        began_at: datetime.timedelta,
    ):
        self._request = request
        self.size_bytes = size_bytes
        self.began_at = began_at

    @property
    def is_complete(self) -> bool:
        """Tells whether the whole body has arrived."""
        return self._request.content.is_eof()

    def refuse(self) -> None:
        """Ends the wait for the rest of the body."""
        self._request.content.set_exception(
            TimeoutError("the body gave up its room to others")
        )


class BodyBudget:
    """Bounds the total memory of request bodies.

    Otherwise a dozen callers that send the permitted 10 MB each would exceed
    the instance's 128 MB, and it would be killed with all other requests.
    Small bodies, by far the most common, have a part of their own.
    """

    __slots__ = ("_clock", "_large", "_small")

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        # In the order of their begin.
        self._large: dict[Reservation, None] = {}
        self._small: dict[Reservation, None] = {}

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
        reservations, most_bytes = self._small, MAX_SMALL_BODIES_BYTES
        if size_bytes >= LARGE_BODY_BYTES:
            reservations, most_bytes = self._large, MAX_LARGE_BODIES_BYTES
        if not self._make_room(reservations, most_bytes - size_bytes):
            raise errors.CodedError(
                code=codes.Code.OVERLOADED,
                detail="too many large bodies are being handled",
                retry_after=LARGE_BODIES_RETRY_AFTER,
            )
        reservation = Reservation(
            request=request,
            size_bytes=size_bytes,
            began_at=self._clock.monotonic(),
        )
        reservations[reservation] = None
        try:
            yield
        finally:
            reservations.pop(reservation, None)

    def _make_room(
        self, reservations: dict[Reservation, None], most_bytes: int
    ) -> bool:
        """Refuses the oldest incomplete bodies until the limit is kept."""
        reserved_bytes = sum(one.size_bytes for one in reservations)
        latest = self._clock.monotonic() - ARRIVAL_GRACE
        for one in list(reservations):
            if reserved_bytes <= most_bytes or one.began_at > latest:
                break
            if not one.is_complete:
                reserved_bytes -= one.size_bytes
                del reservations[one]
                one.refuse()
        return reserved_bytes <= most_bytes


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
            detail=str(error) or "the body was not complete in time",
        ) from error


def _declared_bytes(request: web.Request) -> int:
    """Returns the declared body size, or the limit if none is declared.

    A compressed body declares less than it takes.
    """
    is_compressed = hdrs.CONTENT_ENCODING in request.headers
    if request.content_length is not None and not is_compressed:
        return request.content_length
    return MAX_BODY_BYTES if request.body_exists else 0


def _too_large() -> errors.CodedError:
    return errors.CodedError(
        code=codes.Code.TOO_LARGE,
        detail=f"the body is over {MAX_BODY_BYTES} bytes",
    )
