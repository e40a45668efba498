"""Plain services over HTTP; docs/STANDIN_INTERFACES.md has the contract."""

from collections.abc import Collection
import datetime

import aiohttp
import yarl

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.foundation import http_headers
from nutmeghook.internal.standin_http import http_exchange

REQUEST_ID_HEADER = "X-Request-Id"
ANSWER_TIMEOUT = datetime.timedelta(seconds=60)
MAX_ANSWER_BYTES = 8 * 1024 * 1024
_REFUSING_STATUSES = (429, 503)
_JSON = "application/json"
_NOT_FORWARDED = http_headers.CONNECTION_FIELDS | {
    "accept-encoding",
    REQUEST_ID_HEADER.lower(),
}


class HttpPlainServices(plain.PlainServiceConnector):
    """Makes each call once, on a new connection.

    If the service closes a reused connection during a call, it is unknown
    whether the call ran, so it could not be refused as "not run".
    """

    __slots__ = ("_max_answer_bytes", "_session", "_timeout")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        connect_timeout: datetime.timedelta = http_exchange.CONNECT_TIMEOUT,
        answer_timeout: datetime.timedelta = ANSWER_TIMEOUT,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        if session.connector is None or not session.connector.force_close:
            raise ValueError(
                "session reuses connections; open it with "
                "http_exchange.open_session(reuse_connections=False)"
            )
        self._session = session
        self._max_answer_bytes = max_answer_bytes
        self._timeout = http_exchange.timeouts(
            connect=connect_timeout, answer=answer_timeout
        )

    async def call(
        self, address: str, call: plain.PlainCall
    ) -> plain.PlainAnswer:
        """Makes the call once and returns the answer."""
        url = _checked_url(address, call.path)
        headers = _forwarded(call.headers)
        headers.append((REQUEST_ID_HEADER, call.request_id))
        headers.append(("Accept-Encoding", "identity"))
        try:
            async with self._session.request(
                call.method,
                url,
                headers=headers,
                data=call.body or None,
                skip_auto_headers=("Content-Type", "User-Agent", "Accept"),
                timeout=self._timeout,
                allow_redirects=False,
                middlewares=(_send_once,),
            ) as response:
                body = await self._read_body(response, address)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise http_exchange.to_platform_error(error, address) from error
        _raise_if_refused(address, response, body)
        return plain.PlainAnswer(
            status=response.status,
            headers=tuple(_forwarded(response.headers.items())),
            body=body,
        )

    async def _read_body(
        self, response: aiohttp.ClientResponse, address: str
    ) -> bytes:
        pieces = []
        remaining_bytes = self._max_answer_bytes
        async for piece in response.content.iter_any():
            remaining_bytes -= len(piece)
            if remaining_bytes < 0:
                response.close()
                raise failures.OutcomeUnknownError(
                    f"the answer is over {self._max_answer_bytes} bytes"
                )
            pieces.append(piece)
        http_exchange.check_end(response, address)
        return b"".join(pieces)


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevents aiohttp from repeating a call.

    It repeats GET, PUT and DELETE once after a connection breaks, even a new
    one, so a booking would run twice. It does so only for its own errors; the
    platform's errors pass through.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientError, OSError) as error:
        raise http_exchange.to_platform_error(
            error, request.url.authority
        ) from error


def _checked_url(address: str, path: str) -> yarl.URL:
    """Returns the URL; rejects a path that would break the request line."""
    if not path.startswith("/") or not path.isascii() or " " in path:
        raise ValueError(
            f"path is {path!r}; give an absolute path in its encoded form"
        )
    if not path.isprintable():
        raise ValueError(f"path is {path!r}; it has control characters")
    http_exchange.checked_address(address)
    return yarl.URL(f"http://{address}{path}", encoded=True)


def _forwarded(
    headers: Collection[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns the headers to forward, without hop-by-hop ones."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in _NOT_FORWARDED and key.lower() not in named
    ]


def _raise_if_refused(
    address: str, response: aiohttp.ClientResponse, body: bytes
) -> None:
    """Raises only if the service states that it did not run the call."""
    if response.status not in _REFUSING_STATUSES:
        return
    if response.content_type != _JSON:
        return
    error = http_exchange.refusal_error(
        peer=address, status=response.status, body=body
    )
    if isinstance(error, failures.NotDoneError):
        raise error
