"""Model engines over HTTP; docs/STANDIN_INTERFACES.md has the contract."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime

import aiohttp
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.standin_http import checked_body
from nutmeghook.internal.standin_http import http_exchange

GENERATE_PATH = "/v1/generate"
CANCEL_PATH = "/v1/cancel"
LOAD_PATH = "/v1/load"
ORDER_PATH = "/v1/orders"
CACHE_EVENTS_PATH = "/v1/cache/events"
CACHE_CONTENT_PATH = "/v1/cache/content"

# Longest time without data on a stream, including the engine's queue.
READ_TIMEOUT = datetime.timedelta(seconds=60)
# The end of the body follows the last line immediately. Closing the connection
# before it would look to the engine as if its caller had left.
END_TIMEOUT = datetime.timedelta(seconds=1)
MAX_LINE_BYTES = 1024 * 1024
# Of one stream. A chunk takes some 150 bytes beside its text, and the longest
# answers have some ten thousand tokens.
MAX_STREAM_BYTES = 16 * 1024 * 1024


class CancelBody(msgspec.Struct, frozen=True, kw_only=True):
    """Names the attempt to stop."""

    attempt_id: str


class EmptyAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An empty answer."""


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The current state of an order."""

    state: engine.OrderState


class CacheEventsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Events in the order of their sequence numbers."""

    events: list[engine.CacheEvent]


_encoder = msgspec.json.Encoder()
_chunk_decoder = msgspec.json.Decoder(engine.Chunk)
_empty_decoder = msgspec.json.Decoder(EmptyAnswer)
_load_decoder = msgspec.json.Decoder(engine.LoadReport)
_order_decoder = msgspec.json.Decoder(OrderAnswer)
_events_decoder = msgspec.json.Decoder(CacheEventsAnswer)


class HttpEngine(engine.Engine):
    """One engine at one address; keeps connections for polls only."""

    __slots__ = (
        "_address",
        "_exchange",
        "_read_timeout_s",
        "_session",
        "_timeout",
        "_url",
    )

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        connect_timeout: datetime.timedelta,
        answer_timeout: datetime.timedelta,
        read_timeout: datetime.timedelta,
    ):
        self._session = session
        self._address = address
        self._exchange = http_exchange.HttpExchange(
            session=session,
            address=address,
            connect_timeout=connect_timeout,
            answer_timeout=answer_timeout,
        )
        self._url = f"http://{address}{GENERATE_PATH}"
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout.total_seconds()
        )
        self._read_timeout_s = read_timeout.total_seconds()

    async def generate(
        self, generation: engine.Generation
    ) -> AsyncIterator[engine.Chunk]:
        """Runs the generation and yields its chunks as they arrive."""
        async with contextlib.aclosing(
            self.generate_batches(generation)
        ) as batches:
            async for batch in batches:
                for chunk in batch:
                    yield chunk

    async def generate_batches(
        self,
        generation: engine.Generation,
        *,
        check_send: engine.SendCheck | None = None,
    ) -> AsyncIterator[list[engine.Chunk]]:
        """Yields the chunks of each piece of data that the connection receives.

        Stopping early closes the connection; use `contextlib.aclosing` to close
        it at once.
        """
        response = None
        read_timeout = None
        body = checked_body.CheckedBody(
            content=_encoder.encode(generation), check_send=check_send
        )
        try:
            async with asyncio.timeout(self._read_timeout_s):
                response = await self._session.post(
                    self._url,
                    data=body,
                    headers=http_exchange.JSON_HEADERS,
                    timeout=self._timeout,
                    allow_redirects=False,
                )
            read_timeout = _ReadTimeout(response, self._read_timeout_s)
            if response.status != 200:
                raise await self._refusal(response)
            # Reads pieces, because reading line by line takes a fifth more
            # processor time per token on this hot path.
            rest = b""
            async for piece in response.content.iter_any():
                read_timeout.record_data()
                _check_size(response)
                lines, rest = _whole_lines(rest + piece if rest else piece)
                chunks = _chunk_decoder.decode_lines(lines)
                if not chunks or chunks[-1].finish is None:
                    yield chunks
                    continue
                yield chunks[:-1]
                await _read_end(response)
                yield chunks[-1:]
                return
            raise failures.OutcomeUnknownError(
                f"{self._address}: the stream ended before its last chunk"
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise body.to_platform_error(error, self._address) from error
        except msgspec.DecodeError as error:
            raise failures.OutcomeUnknownError(
                f"{self._address}: a chunk can't be read: {error}"
            ) from error
        finally:
            if read_timeout is not None:
                read_timeout.stop()
            if response is not None:
                # Does nothing if the body was read to its end.
                response.close()

    async def cancel(self, attempt_id: str) -> None:
        """Stops an attempt, if it still runs."""
        body = _encoder.encode(CancelBody(attempt_id=attempt_id))
        await self._exchange.write(CANCEL_PATH, body, _empty_decoder)

    async def load_report(self) -> engine.LoadReport:
        """Returns the engine's latest load report."""
        return await self._exchange.poll(LOAD_PATH, _load_decoder)

    async def order(self, order: engine.Order) -> engine.OrderState:
        """Sends an order, or gets the state of one with the same id."""
        answer = await self._exchange.write(
            ORDER_PATH, _encoder.encode(order), _order_decoder
        )
        return answer.state

    async def cache_events(
        self, after_sequence: int
    ) -> list[engine.CacheEvent]:
        """Returns the kept events after a sequence number."""
        answer = await self._exchange.read(
            CACHE_EVENTS_PATH, _events_decoder, after=str(after_sequence)
        )
        return answer.events

    async def export_cache(self, prefix_hash: str) -> bytes | None:
        """Returns the KV cache of a prefix, if the engine has it."""
        return await self._exchange.read_bytes(
            CACHE_CONTENT_PATH, prefix_hash=prefix_hash
        )

    async def import_cache(self, prefix_hash: str, content: bytes) -> None:
        """Stores the KV cache of a prefix in the engine."""
        await self._exchange.write(
            CACHE_CONTENT_PATH, content, _empty_decoder, prefix_hash=prefix_hash
        )

    async def _refusal(
        self, response: aiohttp.ClientResponse
    ) -> failures.PlatformError:
        return http_exchange.refusal_error(
            peer=self._address,
            status=response.status,
            body=await http_exchange.read_body(response),
        )


class _ReadTimeout:
    """Closes a response that has received no data for `limit_s`.

    aiohttp's own read timeout restarts a timer for each piece, which takes
    2 us; this one checks the time of the last piece only when its timer fires.
    """

    __slots__ = ("_last_data_s", "_limit_s", "_loop", "_response", "_timer")

    def __init__(self, response: aiohttp.ClientResponse, limit_s: float):
        self._loop = asyncio.get_running_loop()
        self._response = response
        self._limit_s = limit_s
        self._last_data_s = self._loop.time()
        self._timer = self._loop.call_later(limit_s, self._check)

    def record_data(self) -> None:
        """Records that data was received."""
        self._last_data_s = self._loop.time()

    def stop(self) -> None:
        """Cancels the timeout."""
        self._timer.cancel()

    def _check(self) -> None:
        remaining_s = self._last_data_s + self._limit_s - self._loop.time()
        if remaining_s <= 0:
            self._response.close()
            return
        self._timer = self._loop.call_later(remaining_s, self._check)


class HttpEngineConnector(engine.EngineConnector):
    """Connects to engines over one session."""

    __slots__ = (
        "_answer_timeout",
        "_connect_timeout",
        "_read_timeout",
        "_session",
    )

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        connect_timeout: datetime.timedelta = http_exchange.CONNECT_TIMEOUT,
        answer_timeout: datetime.timedelta = http_exchange.ANSWER_TIMEOUT,
        read_timeout: datetime.timedelta = READ_TIMEOUT,
    ):
        self._session = session
        self._connect_timeout = connect_timeout
        self._answer_timeout = answer_timeout
        self._read_timeout = read_timeout

    def connect(self, address: str) -> engine.Engine:
        """Returns the engine at `ip:port`; connects on first use."""
        return HttpEngine(
            session=self._session,
            address=address,
            connect_timeout=self._connect_timeout,
            answer_timeout=self._answer_timeout,
            read_timeout=self._read_timeout,
        )


def _whole_lines(data: bytes) -> tuple[bytes, bytes]:
    """Splits data after the last complete line."""
    if data.endswith(b"\n"):
        return data, b""
    end = data.rfind(b"\n") + 1
    if len(data) - end > MAX_LINE_BYTES:
        raise failures.OutcomeUnknownError(
            f"a chunk is over {MAX_LINE_BYTES} bytes"
        )
    return data[:end], data[end:]


def _check_size(response: aiohttp.ClientResponse) -> None:
    """Checks that a stream is not longer than any answer."""
    if response.content.total_bytes > MAX_STREAM_BYTES:
        raise failures.OutcomeUnknownError(
            f"{response.url.authority}: over {MAX_STREAM_BYTES} bytes of chunks"
        )


async def _read_end(response: aiohttp.ClientResponse) -> None:
    """Reads the body's end, if it follows soon."""
    if response.content.at_eof():
        return
    try:
        async with asyncio.timeout(END_TIMEOUT.total_seconds()):
            await response.content.readany()
    except (TimeoutError, aiohttp.ClientError):
        response.close()
