"""HTTP calls with JSON bodies, and the classification of their failures.

A call counts as not run only if no connection could be opened, or if the
server answered a `Refusal`.
"""

import dataclasses
import datetime
from typing import TypeVar

import aiohttp
import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import bounded_http

_T = TypeVar("_T")

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
ANSWER_TIMEOUT = datetime.timedelta(seconds=5)
# Shorter than the server's keep-alive timeout (docs/STANDIN_INTERFACES.md
# requires at least 20 s), so that nearly always the client closes an idle
# connection.
IDLE_CONNECTION_TIMEOUT = datetime.timedelta(seconds=10)
# Objects of the object store, of 8 MB at most, are the largest bodies.
MAX_BODY_BYTES = 16 * 1024 * 1024
JSON_HEADERS = {"Content-Type": "application/json"}
# Every instance makes conditional reads each second, and aiohttp's default
# headers would be half of their bytes.
_MINIMAL_HEADERS = {"Accept-Encoding": "identity"}
_OMITTED_HEADERS = ("Accept", "User-Agent")
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TaggedBody:
    """A body and the entity tag for the next conditional read.

    Attributes:
        entity_tag: The `ETag` as received; empty if there was none.
    """

    body: bytes
    entity_tag: str


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The body of an answer which states that the call was not run.

    Attributes:
        not_run: The call had no effect and will have none.
        overloaded: It was refused because of load or a rate limit.
        leaving: It was refused because the server is shutting down.
        retry_after_ms: Delay before a retry, if a retry may succeed.
    """

    not_run: bool = False
    message: str = ""
    overloaded: bool = False
    leaving: bool = False
    retry_after_ms: float | None = None


_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_refusal_decoder = msgspec.json.Decoder(Refusal)


def open_session(*, reuse_connections: bool = True) -> aiohttp.ClientSession:
    """Returns a session for the adapters; call it in a running loop.

    Args:
        reuse_connections: False opens a connection for each call, polls too,
            which `http_plain` requires.
    """
    if reuse_connections:
        connector = bounded_http.BoundedConnector(
            limit=0, keepalive_timeout=IDLE_CONNECTION_TIMEOUT.total_seconds()
        )
    else:
        connector = bounded_http.BoundedConnector(limit=0, force_close=True)
    # All teams share the session, so a cookie that a backend server sets in an
    # answer to one team must not be sent with a call of another.
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
    )


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Returns the whole body of an answer that is held in memory.

    Raises:
        aiohttp.ClientError: It broke off, or is larger than `MAX_BODY_BYTES`.
    """
    return await bounded_http.read_body(response, most_bytes=MAX_BODY_BYTES)


def check_end(response: aiohttp.ClientResponse, peer: str) -> None:
    """Checks that a body that was read can't be one that broke off.

    aiohttp takes a reset for the end of a body with neither a length nor
    chunks.

    Raises:
        failures.OutcomeUnknownError: It may have broken off.
    """
    encoding = response.headers.get("Transfer-Encoding", "")
    if (
        response.method == "HEAD"
        or response.status in _STATUSES_WITHOUT_BODY
        or "chunked" in encoding.lower()
        or "Content-Length" in response.headers
    ):
        return
    raise failures.OutcomeUnknownError(
        f"{peer}: an answer without a length may be incomplete"
    )


def timeouts(
    *, connect: datetime.timedelta, answer: datetime.timedelta
) -> aiohttp.ClientTimeout:
    """Returns two timeouts in aiohttp's form."""
    if not datetime.timedelta() < connect < answer:
        raise ValueError(
            f"connect timeout is {connect} and answer timeout is {answer}; "
            "give a connect timeout over 0 and a longer answer timeout"
        )
    return aiohttp.ClientTimeout(
        total=answer.total_seconds(), sock_connect=connect.total_seconds()
    )


def to_platform_error(error: Exception, peer: str) -> failures.PlatformError:
    """Returns the platform error for an HTTP client error.

    A disconnection may mean that the server had closed a reused connection, or
    that it crashed during the call. As these can't be distinguished, the
    outcome is unknown.
    """
    message = f"{peer}: {type(error).__name__}: {error}"
    no_connection = (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    )
    if isinstance(error, no_connection):
        return failures.NotDoneError(message)
    return failures.OutcomeUnknownError(message)


def refusal_error(
    *, peer: str, status: int, body: bytes
) -> failures.PlatformError:
    """Returns the platform error for an answer that is not a success."""
    try:
        refusal = _refusal_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        refusal = Refusal()
    message = f"{peer}: status {status}: {refusal.message or body[:200]!r}"
    if not refusal.not_run:
        return failures.OutcomeUnknownError(message)
    retry_after = None
    if refusal.retry_after_ms is not None:
        retry_after = refusal.retry_after_ms * _MILLISECOND
    return failures.NotDoneError(
        message,
        retry_after=retry_after,
        overloaded=refusal.overloaded,
        leaving=refusal.leaving,
    )


class HttpExchange:
    """Calls to one address."""

    __slots__ = ("_base_url", "_peer", "_session", "_timeout")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
        answer_timeout: datetime.timedelta = ANSWER_TIMEOUT,
    ):
        self._session = session
        self._peer = checked_address(address)
        self._base_url = f"http://{address}"
        self._timeout = timeouts(connect=connect_timeout, answer=answer_timeout)

    async def read(
        self, path: str, decoder: msgspec.json.Decoder[_T], **params: str
    ) -> _T:
        """Makes a call without side effects and decodes its answer.

        Raises:
            failures.NotDoneError: It failed; a read never has an effect.
        """
        body = await self.read_bytes(path, **params)
        return self._decode_read(body or b"", decoder)

    async def poll(self, path: str, decoder: msgspec.json.Decoder[_T]) -> _T:
        """Makes a call like `read`, on a connection of earlier polls.

        The answer may be a copy of that to one of them: only for state that is
        polled again soon, and where old state does no harm.
        """
        body = await self._get(path, {}, bounded_http.SHARES_CONNECTION)
        return self._decode_read(body or b"", decoder)

    async def read_bytes(self, path: str, **params: str) -> bytes | None:
        """Makes a call without side effects; None for "no content"."""
        return await self._get(path, params, {})

    async def _get(
        self, path: str, params: dict[str, str], headers: dict[str, str]
    ) -> bytes | None:
        try:
            return await self._call("GET", path, b"", params, headers)
        except failures.OutcomeUnknownError as error:
            raise failures.NotDoneError(str(error)) from error

    async def read_if_changed(
        self, path: str, *, entity_tag: str, **params: str
    ) -> TaggedBody | None:
        """Makes a conditional call without side effects, see `poll`.

        Args:
            path: Path of the call.
            entity_tag: Tag of the known body; empty reads unconditionally.
            **params: Query parameters.

        Returns:
            The body, or None if the known one is unchanged.

        Raises:
            failures.NotDoneError: It failed; a read never has an effect.
        """
        headers = _MINIMAL_HEADERS | bounded_http.SHARES_CONNECTION
        if entity_tag:
            headers["If-None-Match"] = entity_tag
        try:
            async with self._session.get(
                self._base_url + path,
                params=params,
                headers=headers,
                skip_auto_headers=_OMITTED_HEADERS,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                body = await read_body(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise failures.NotDoneError(
                f"{self._peer}{path}: {type(error).__name__}: {error}"
            ) from error
        if response.status == 304 and entity_tag:
            return None
        if response.status != 200:
            raise self._read_refusal(path, response.status, body)
        return TaggedBody(
            body=body, entity_tag=response.headers.get("ETag", "")
        )

    async def write(
        self,
        path: str,
        body: bytes,
        decoder: msgspec.json.Decoder[_T],
        **params: str,
    ) -> _T:
        """Makes a call that may have side effects and decodes its answer."""
        # Always POST: aiohttp repeats idempotent methods when a connection
        # breaks, and the answer to the repetition (a condition that
        # fails because of the first call's own write) would hide the success
        # of the first call.
        answer = await self._call("POST", path, body, params, JSON_HEADERS)
        try:
            return decoder.decode(answer or b"")
        except (msgspec.DecodeError, RecursionError) as error:
            raise failures.OutcomeUnknownError(
                f"{self._peer}{path}: {error}"
            ) from error

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        params: dict[str, str],
        headers: dict[str, str],
    ) -> bytes | None:
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body if method == "POST" else None,
                params=params,
                headers=headers,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                answer = await read_body(response)
                check_end(response, self._peer + path)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise to_platform_error(error, self._peer + path) from error
        if response.status == 204:
            return None
        if response.status != 200:
            raise refusal_error(
                peer=self._peer + path, status=response.status, body=answer
            )
        return answer

    def _read_refusal(
        self, path: str, status: int, body: bytes
    ) -> failures.NotDoneError:
        error = refusal_error(peer=self._peer + path, status=status, body=body)
        if isinstance(error, failures.NotDoneError):
            return error
        return failures.NotDoneError(str(error))

    def _decode_read(
        self, body: bytes, decoder: msgspec.json.Decoder[_T]
    ) -> _T:
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise failures.NotDoneError(f"{self._peer}: {error}") from error


def checked_address(address: str) -> str:
    """Returns the address if it has the form `ip:port`, else raises."""
    host, separator, port = address.rpartition(":")
    if not (host and separator and port.isdigit()) or "/" in host:
        raise ValueError(f"address is {address!r}; write it as 'ip:port'")
    return address
