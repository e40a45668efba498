"""aiohttp's client, with bounds on what a server may send.

The client itself keeps a whole body in memory, whatever its size, and reads on
to the call's deadline where no further byte can make an answer.

A faulty server may send an answer twice, at any time. The client takes the copy
for the answer to the next call on the connection, also if it arrives between
the two. So connections end as soon as bytes follow an answer, and a call has
one of its own unless a copy of another call's answer would do no harm.
"""

from collections.abc import Awaitable
import functools

import aiohttp
from aiohttp import client_proto
from aiohttp import connector
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import tracing

from nutmeghook.internal.foundation import answer_heads
from nutmeghook.internal.foundation import answer_limits

_FIRST_FINAL_STATUS = 200
_KEEP_ALIVE = "keep-alive"
# Headers of a call that may share a connection with others that have them. Its
# answer may be a copy of that to one of these.
SHARES_CONNECTION = {"Connection": _KEEP_ALIVE}


class AnswerTooLargeError(aiohttp.ClientError):
    """A body is larger than any that the server is to send."""


class _BoundedHandler(client_proto.ResponseHandler):
    """Ends a connection whose bytes bring no answer any further."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self._heads = answer_heads.AnswerHeads()
        self._framing_limit = answer_limits.FramingLimit()
        self._body: streams.StreamReader | None = None

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Takes the head of an answer, or an interim one."""
        message, body = data
        if self._body is not None:
            self._end()
            return
        try:
            self._heads.check(message)
        except answer_heads.MalformedHeadError as error:
            self._fail(error)
            return
        if message.code >= _FIRST_FINAL_STATUS:
            self._framing_limit = answer_limits.FramingLimit()
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parses bytes of an answer."""
        # Resumed reading passes no bytes.
        if data and self._body is not None and self._body.is_eof():
            self._end()
            return
        self._heads.feed(data)
        super().data_received(data)
        body_bytes = self._body.total_bytes if self._body else -1
        try:
            self._framing_limit.note(
                len(data),
                body_bytes=body_bytes,
                is_parsed=not self._reading_paused,
            )
        except answer_limits.TooMuchFramingError as error:
            self._fail(error)

    def set_response_params(self, **options) -> None:
        """Begins a call."""
        self._body = None
        self._heads = answer_heads.AnswerHeads()
        super().set_response_params(**options)

    def _fail(self, error: ValueError) -> None:
        """Ends a call whose answer is none."""
        self.set_exception(http_exceptions.BadHttpMessage(str(error)), error)
        if self.transport is not None:
            self.transport.abort()

    def _end(self) -> None:
        """Ends a connection on which bytes follow the whole answer.

        aiohttp looks for them when an answer ends, but not later.
        """
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class _Connector(aiohttp.TCPConnector):
    """Opens connections that end if no answer comes of their bytes."""

    def __init__(self, **options):
        super().__init__(**options)
        # aiohttp has no public way to replace its protocol.
        self._factory = functools.partial(_BoundedHandler, loop=self._loop)


class BoundedConnector(_Connector):
    """Gives each call a connection of its own, with bounds on its answer.

    Calls with `SHARES_CONNECTION` share connections.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self._single_use = _Connector(limit=self.limit, force_close=True)

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> connector.Connection:
        """Returns a connection for a call."""
        if req.headers.get("Connection") == _KEEP_ALIVE:
            return await super().connect(req, traces, timeout)
        return await self._single_use.connect(req, traces, timeout)

    def _close(self, *, abort_ssl: bool = False) -> list[Awaitable[object]]:
        closing = super()._close(abort_ssl=abort_ssl)
        return closing + self._single_use._close(abort_ssl=abort_ssl)


async def read_body(
    response: aiohttp.ClientResponse, *, most_bytes: int
) -> bytes:
    """Returns the whole body.

    Raises:
        AnswerTooLargeError: It is larger, or states so. The connection is
            closed.
        aiohttp.ClientError: It broke off.
    """
    pieces = []
    left_bytes = most_bytes
    if (response.content_length or 0) > most_bytes:
        left_bytes = -1
    while left_bytes >= 0 and (piece := await response.content.readany()):
        pieces.append(piece)
        left_bytes -= len(piece)
    if left_bytes < 0:
        response.close()
        raise AnswerTooLargeError(f"the body has over {most_bytes} bytes")
    return b"".join(pieces)
