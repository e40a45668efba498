"""One connection to a replica, which carries one exchange at a time.

Only aiohttp's parser is used, not its client. The client retries a GET by
itself after a broken connection, takes a reset for the end of a body without
length, and hands bytes that arrive on an idle connection to the next request.
Each of these can give a caller an answer that is not its own, or run a request
twice.
"""

import asyncio
from collections.abc import Iterable

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from nutmeghook.internal.foundation import answer_heads
from nutmeghook.internal.foundation import answer_limits
from nutmeghook.internal.foundation import socket_options
from nutmeghook.internal.observe import surplus_answers
from nutmeghook.internal.upstream import answer_match
from nutmeghook.internal.upstream import outcomes

# Above twice this many unread bytes of an answer, aiohttp's parser reads the
# socket no further, and keeps what was read already unparsed. This bounds
# memory where the caller is slower than the replica.
READ_BUFFER_BYTES = 16 * 1024
# Larger bodies are written apart from the head, so that they are not copied.
_COPIED_BODY_BYTES = 16 * 1024
# Longest header line and field of an answer. Replicas send a few hundred
# bytes; this only bounds the memory that a faulty one can use.
MAX_HEADER_FIELD_BYTES = 16 * 1024
# Of a body of which little or nothing is needed. Reading so much takes less
# than a new connection.
_MAX_SHORT_BYTES = 64 * 1024
# Answers to other requests that may come before a request's own. A replica that
# sends more of them is taken to send no answer.
_MAX_SKIPPED_ANSWERS = 8
# Requests of one connection, whose ids it keeps.
_MAX_EXCHANGES = 128
# An answer like no other, and what the parser reads it as.
_WHOLE_ANSWER = b"HTTP/1.1 299 Whole\r\nContent-Length: 0\r\n\r\n"
_WHOLE_ANSWER_READ = [(299, ((b"Content-Length", b"0"),))]


class AnswerHead:
    """Status and headers of an answer, with the reader of its body.

    Attributes:
        ends_with_connection: The body has neither a length nor chunks, so that
            the end of the connection is its end.
    """

    __slots__ = (
        "_body",
        "_connection",
        "ends_with_connection",
        "headers",
        "status",
    )

    def __init__(
        self,
        *,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: streams.StreamReader,
        connection: "ReplicaConnection",
        is_chunked: bool,
    ):
        self.status = status
        self.headers = tuple(headers)
        self._body = body
        self._connection = connection
        self.ends_with_connection = not (
            is_chunked or self.header("content-length") or body.is_eof()
        )

    async def read(self) -> bytes:
        """Returns the next bytes of the body; none at its end.

        Bytes received before a failure are returned first, so that complete
        events of a broken stream still reach the caller.

        Raises:
            outcomes.UnknownOutcomeError: The body broke off here.
        """
        try:
            data = await self._body.readany()
        except http_exceptions.HttpProcessingError as error:
            raise outcomes.UnknownOutcomeError(f"bad body: {error}") from error
        if not data and self._connection.failure is not None:
            raise self._connection.failure
        self._connection.note_read(len(data))
        return data

    async def read_short(self) -> bytes:
        """Returns the body, or only its beginning if it is long."""
        pieces = []
        read_bytes = 0
        while read_bytes <= _MAX_SHORT_BYTES and (piece := await self.read()):
            pieces.append(piece)
            read_bytes += len(piece)
        return b"".join(pieces)

    @property
    def is_received(self) -> bool:
        """Tells whether no more of the body follows, or it has none."""
        return self._body.is_eof()

    @property
    def unread_bytes(self) -> int:
        """Bytes of the answer that were received and not read."""
        return self._connection.unread_bytes

    def header(self, name: str) -> str | None:
        """Returns the first value of a header; the name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class ReplicaConnection(base_protocol.BaseProtocol):
    """A connection and the state of its exchange.

    Attributes:
        reusable: It may carry another exchange once this one is complete.
        idle_since_s: Loop time since which it has been idle.
        idle_limit_s: How long the replica keeps it open when idle.
        failure: Why the present answer's body broke off.
        helper: The inner address of the peer that carries it; None if it is a
            direct one.
        address: The replica's `ip:port`; empty until the pool has it.
        surplus: Is told of answers that belong to no request under way.
        exchanges: How many exchanges it has begun to carry.
    """

    __slots__ = (
        "_carried",
        "_end_check",
        "_end_error",
        "_expected",
        "_framing_bytes",
        "_framing_limit",
        "_head",
        "_heads",
        "_is_early",
        "_other_side_ended",
        "_payload",
        "_read_bytes",
        "_received_bytes",
        "_skipped",
        "_skipped_answers",
        "address",
        "exchanges",
        "failure",
        "helper",
        "idle_limit_s",
        "idle_since_s",
        "reusable",
        "surplus",
    )

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._head: asyncio.Future[AnswerHead] | None = None
        self._heads = answer_heads.AnswerHeads()
        self._payload: streams.StreamReader | None = None
        self._end_error: OSError | None = None
        self._end_check: asyncio.TimerHandle | None = None
        self._other_side_ended = False
        # The answer has begun before the replica had received the request.
        self._is_early = False
        self._carried = answer_match.CarriedRequests()
        self._expected: answer_match.ExpectedAnswer | None = None
        # The body of an answer to another request, as it is received.
        self._skipped: streams.StreamReader | None = None
        self._skipped_answers = 0
        self.failure: outcomes.UnknownOutcomeError | None = None
        self.helper: str | None = None
        self.reusable = True
        self.idle_since_s = 0.0
        self.idle_limit_s = 0.0
        self.address = ""
        self.surplus: surplus_answers.SurplusObserver = (
            surplus_answers.IgnoredSurplus()
        )
        self.exchanges = 0
        self._count_from_zero()

    @property
    def is_open(self) -> bool:
        """Tells whether both sides keep the connection open."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the request that the system has not accepted yet."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def has_carried(self, request_id: str) -> bool:
        """Tells whether an answer to this id may come from an earlier one."""
        return request_id in self._carried

    async def exchange(
        self,
        message: bytes,
        *,
        body: bytes = b"",
        has_body: bool,
        expected: answer_match.ExpectedAnswer | None = None,
    ) -> AnswerHead:
        """Sends a request and returns the head of its answer.

        Args:
            message: The request as it goes on the wire, without `body`.
            body: What follows `message`.
            has_body: Answers to this method have one (not so for HEAD).
            expected: Tells the request's own answer. None for a request without
                an id on a connection that has carried none.

        Raises:
            outcomes.NotSentError: The connection was closed before, or has
                carried a request with this id.
            outcomes.UnknownOutcomeError: It broke afterwards.
        """
        if not self.is_open or not self.reusable:
            raise outcomes.NotSentError("the connection is closed")
        request_id = expected.request_id if expected else answer_match.NO_ID
        if self.has_carried(request_id):
            raise outcomes.NotSentError("the connection has carried this id")
        self._parser = http_parser.HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            payload_exception=outcomes.UnknownOutcomeError,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_HEADER_FIELD_BYTES,
            max_field_size=MAX_HEADER_FIELD_BYTES,
        )
        self._head = self._loop.create_future()
        self._heads = answer_heads.AnswerHeads()
        self._is_early = False
        self._payload = None
        self._skipped = None
        self._skipped_answers = 0
        self._expected = expected
        self._carried.add(request_id)
        self.exchanges += 1
        # The copy of an answer to HEAD states a length, which would be taken
        # from the next answer.
        if self.exchanges >= _MAX_EXCHANGES or not has_body:
            self.reusable = False
        self._count_from_zero()
        if len(body) > _COPIED_BODY_BYTES:
            self.transport.write(message)
            self.transport.write(body)
        else:
            self.transport.write(message + body)
        return await self._head

    def note_read(self, count: int) -> None:
        """Records that so many bytes of the answer's body were read."""
        self._read_bytes += count

    @property
    def unread_bytes(self) -> int:
        """Bytes of the answer that were received and not read."""
        if self._payload is None:
            return 0
        parsed = self._payload.total_bytes
        # The parser holds received bytes back only while reading is paused, so
        # until then all else that was received is headers and framing.
        held_back = self._received_bytes - self._framing_bytes - parsed
        return max(0, parsed - self._read_bytes) + max(0, held_back)

    def finish_exchange(self) -> bool:
        """Ends the exchange; returns whether another may follow.

        A replica may answer before it has read the whole request, and would
        take what is written next for the rest of its body. So the connection is
        kept only if the system has accepted every byte of the request.
        """
        payload = self._payload
        complete = payload is not None and payload.is_eof()
        if self.failure is not None:
            complete = False
        may_follow = (
            complete
            and self.reusable
            and not self.unsent_bytes
            and self._is_between_answers()
        )
        self._head = None
        self._payload = None
        self._parser = None
        if not may_follow:
            self.abort()
            return False
        self.idle_since_s = self._loop.time()
        return self.is_open

    def _is_between_answers(self) -> bool:
        """Tells whether nothing has come of another answer.

        The parser does not tell what it holds, but reads a whole answer as such
        only if it holds nothing.
        """
        try:
            messages, _, _ = self._parser.feed_data(_WHOLE_ANSWER)
        except http_exceptions.HttpProcessingError:
            return False
        return [
            (message.code, message.raw_headers) for message, _ in messages
        ] == _WHOLE_ANSWER_READ

    def abort(self) -> None:
        """Drops the connection at once, with whatever is under way."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses the answer; bytes outside an exchange end the connection.

        Bytes beyond the end of an answer belong to no request. If kept, they
        would be read as the answer to the next one.
        """
        if self._parser is None:
            if self.reusable:
                self._note_surplus(surplus_answers.SurplusKind.IDLE)
            self.abort()
            return
        self._received_bytes += len(data)
        self._heads.feed(data)
        try:
            messages, upgraded, tail = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            self._fail(outcomes.NoAnswerError(f"not HTTP: {error}"))
            return
        except Exception as error:  # the parser raises the body's errors too
            self._fail(outcomes.NoAnswerError(f"bad answer: {error}"))
            return
        if upgraded or tail:
            self.reusable = False
        for message, payload in messages:
            self._receive_answer(message, payload)
        self._note_received(len(data))
        self._drop_skipped()

    def _drop_skipped(self) -> None:
        """Drops what has come of the body of a skipped answer.

        Reading from it makes the parser go on, so that more of it, or the next
        answer, may come meanwhile.
        """
        skipped = self._skipped
        if skipped is None:
            return
        while skipped.read_nowait(READ_BUFFER_BYTES):
            pass

    def _note_received(self, received_bytes: int) -> None:
        """Ends the exchange if received bytes bring no answer any further."""
        is_parsed = not self._reading_paused
        body_bytes = -1
        if self._payload is not None:
            body_bytes = self._payload.total_bytes
            if is_parsed:
                self._framing_bytes = self._received_bytes - body_bytes
        elif self._skipped is not None:
            body_bytes = self._skipped.total_bytes
            if is_parsed:
                self._framing_bytes = self._received_bytes
        try:
            self._framing_limit.note(
                received_bytes, body_bytes=body_bytes, is_parsed=is_parsed
            )
        except answer_limits.TooMuchFramingError as error:
            self._fail(outcomes.NoAnswerError(str(error)))

    def eof_received(self) -> bool:
        """Lets the transport close, unless a reset may follow.

        A replica that began to answer before it had received the request may
        not have read all of it when it closed the connection.
        """
        error = socket_options.take_end_error(self.transport)
        if error is not None or not self._is_early:
            self._note_end(error)
            return False
        self.reusable = False
        self._end_check = self._loop.call_later(
            socket_options.RESET_DELAY.total_seconds(), self._check_end
        )
        return True

    def _check_end(self) -> None:
        self._note_end(socket_options.take_end_error(self.transport))
        self.transport.close()

    def _note_end(self, error: OSError | None) -> None:
        """Records that the replica sends nothing more.

        If it has not received the whole request it may never do so, and the
        connection would stay open until it has.

        Args:
            error: Why the end completes nothing; None if it may.
        """
        self._other_side_ended = True
        self._end_error = error
        if error is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the exchange; only a clean close can complete a body.

        aiohttp's parser would also take a reset for the end of a body without
        length. The event loop reports no error if this process aborts.
        """
        self.reusable = False
        if self._end_check is not None:
            self._end_check.cancel()
        exc = exc or self._end_error
        if exc is None and not self._other_side_ended:
            exc = ConnectionAbortedError("dropped by this process")
        if exc is None and self._parser is not None:
            try:
                self._parser.feed_eof()
            except Exception as error:  # the parser's types vary by framing
                exc = error
        reason = str(exc) if exc is not None else "closed by the replica"
        self._fail(outcomes.ConnectionLostError(f"connection lost: {reason}"))
        self._parser = None
        super().connection_lost(exc)

    def _count_from_zero(self) -> None:
        self._received_bytes = 0
        self._read_bytes = 0
        self._framing_bytes = 0
        self._framing_limit = answer_limits.FramingLimit()

    def _receive_answer(
        self,
        message: http_parser.RawResponseMessage,
        payload: streams.StreamReader,
    ) -> None:
        try:
            self._heads.check(message)
        except answer_heads.MalformedHeadError as error:
            self._fail(outcomes.NoAnswerError(f"not HTTP: {error}"))
            return
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in message.raw_headers
        ]
        if self._carried.is_joined(message.reason, headers):
            self._fail(outcomes.NoAnswerError("two answers in one head"))
            return
        if 100 <= message.code < 200:
            return
        if self._head is None or self._head.done():
            self._note_surplus(surplus_answers.SurplusKind.BEHIND)
            self.reusable = False
            return
        head = AnswerHead(
            status=message.code,
            headers=headers,
            body=payload,
            connection=self,
            is_chunked=message.chunked,
        )
        if not self._is_own(headers):
            self._skip(head, payload)
            return
        self._skipped = None
        self._payload = payload
        self._is_early = (
            head.ends_with_connection
            and socket_options.is_still_sending(self.transport)
        )
        if message.should_close:
            self.reusable = False
        self._head.set_result(head)

    def _is_own(self, headers: list[tuple[str, str]]) -> bool:
        """Tells whether an answer is the request's own."""
        if self._expected is None:
            return True
        answered_id = self._expected.answered_id(headers)
        if self._carried.is_own_answer(self._expected, answered_id):
            # Without an id, the copy of this answer could not be told from
            # that of the next one.
            if answered_id != self._expected.request_id:
                self.reusable = False
            return True
        self._note_surplus(
            surplus_answers.SurplusKind.OTHER_REQUEST
            if answered_id
            else surplus_answers.SurplusKind.NO_REQUEST,
            answered_id,
        )
        return False

    def _skip(self, head: AnswerHead, payload: streams.StreamReader) -> None:
        """Drops an answer; the request's own may still follow."""
        self.reusable = False
        if head.ends_with_connection:
            self._fail(outcomes.NoAnswerError("an answer to another, no end"))
            return
        self._skipped_answers += 1
        if self._skipped_answers > _MAX_SKIPPED_ANSWERS:
            self._fail(outcomes.NoAnswerError("too many answers to others"))
            return
        self._skipped = payload
        self._framing_limit = answer_limits.FramingLimit()

    def _note_surplus(
        self, kind: surplus_answers.SurplusKind, answered_id: str = ""
    ) -> None:
        self.surplus.note(
            kind, address=self.address, answered_id=answered_id or None
        )

    def _fail(self, error: outcomes.UnknownOutcomeError) -> None:
        self.reusable = False
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
            # Marks it as retrieved: nobody awaits it if the caller has left.
            self._head.exception()
        payload = self._payload
        if payload is not None and not payload.is_eof():
            self.failure = error
            payload.feed_eof()
        if self.transport is not None:
            self.transport.abort()
