"""HTTP responses for errors: a JSON body, and when to retry."""

import datetime
import math

from aiohttp import web
import msgspec

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

REQUEST_ID_HEADER = "X-Request-Id"
_MILLISECOND = datetime.timedelta(milliseconds=1)
_DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=1)


class ErrorFields(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of an error.

    Attributes:
        code: The number in docs/RESULT_CODES.md.
        type: Same as `name`; OpenAI's clients show this field.
        run_state: `not_run`, `ran` or `unknown`.
        retry_after_ms: Delay before a retry; null if it must not be retried.
    """

    code: int
    name: str
    type: str
    message: str
    run_state: str
    request_id: str
    retry_after_ms: int | None


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of every answer that is an error."""

    error: ErrorFields


def error_body(error: errors.CodedError, *, request_id: str) -> bytes:
    """Returns the JSON body for an error."""
    retry_after = retry_after_of(error)
    return msgspec.json.encode(
        ErrorBody(
            error=ErrorFields(
                code=error.code.number,
                name=error.code.name,
                type=error.code.name,
                message=error.detail,
                run_state=error.run_state.value,
                request_id=request_id,
                retry_after_ms=None
                if retry_after is None
                else math.ceil(retry_after / _MILLISECOND),
            )
        )
    )


def error_response(
    error: errors.CodedError, *, request_id: str
) -> web.Response:
    """Returns the HTTP answer for an error."""
    retry_after = retry_after_of(error)
    headers = {REQUEST_ID_HEADER: request_id}
    if retry_after is not None:
        headers["Retry-After"] = str(math.ceil(retry_after.total_seconds()))
    # OpenAI's clients retry a 409 or 5xx by default; work that may have run
    # must not be retried automatically.
    headers["x-should-retry"] = "false" if retry_after is None else "true"
    return web.Response(
        status=error.code.http_status,
        body=error_body(error, request_id=request_id),
        content_type="application/json",
        headers=headers,
    )


def retry_after_of(error: errors.CodedError) -> datetime.timedelta | None:
    """Returns the delay before a retry, or None if there must be none."""
    if error.retry_after is not None:
        return error.retry_after
    not_run = error.run_state is codes.RunState.NOT_RUN
    if not_run and error.code.http_status in _RETRYABLE_STATUSES:
        return _DEFAULT_RETRY_AFTER
    return None


_RETRYABLE_STATUSES = frozenset({408, 429, 503, 504})
