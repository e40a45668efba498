"""Answer sinks: streamed as server-sent events, or whole."""

from aiohttp import web
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.entry import openai_schema
from nutmeghook.internal.entry import replies
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger

_CHUNK = "chat.completion.chunk"
_TEXT_PLACEHOLDER = "\x00"
_DONE = b"data: [DONE]\n\n"


class WholeAnswerSink(answers.AnswerSink):
    """Ignores pieces of text; the whole answer is sent at the end."""

    __slots__ = ("_created_s", "_model", "_request_id")

    def __init__(self, *, request_id: str, model: str, created_s: int):
        self._request_id = request_id
        self._model = model
        self._created_s = created_s

    async def take(self, text: str, model_version: engine.ModelVersion) -> None:
        """Does nothing; the dispatcher keeps the text."""

    def detach(self) -> None:
        """Does nothing; nothing is being sent."""

    def encode_whole(
        self, answer: answers.GeneratedAnswer
    ) -> ledger.KeptAnswer:
        """Returns the answer as a completion's JSON."""
        return ledger.KeptAnswer(
            status=200,
            content_type="application/json",
            body=msgspec.json.encode(
                openai_schema.completion(
                    answer,
                    request_id=self._request_id,
                    model=self._model,
                    created_s=self._created_s,
                )
            ),
        )


class StreamSink(WholeAnswerSink):
    """Sends text as server-sent events while it arrives.

    The events of one answer differ only in their text. So one event with a
    placeholder is encoded at the start and split there, and each piece of text
    costs only the encoding of one string.
    """

    __slots__ = (
        "_detached",
        "_event_prefix",
        "_event_suffix",
        "_request",
        "_response",
    )

    def __init__(
        self,
        *,
        request: web.Request,
        request_id: str,
        model: str,
        created_s: int,
    ):
        super().__init__(
            request_id=request_id, model=model, created_s=created_s
        )
        self._request = request
        self._response: web.StreamResponse | None = None
        self._detached = False
        self._event_prefix = b""
        self._event_suffix = b""

    @property
    def started(self) -> bool:
        """Whether the response's headers are being sent."""
        return self._response is not None

    async def take(self, text: str, model_version: engine.ModelVersion) -> None:
        """Sends a piece of text."""
        if self._detached:
            return
        if self._response is None:
            await self._start(model_version)
        try:
            # Not through `_write`, to save one call for each token.
            await self._response.write(
                self._event_prefix
                + msgspec.json.encode(text)
                + self._event_suffix
            )
        except ConnectionError:
            self._detached = True

    def detach(self) -> None:
        """Stops sending."""
        self._detached = True

    async def finish(
        self, answer: answers.GeneratedAnswer, *, include_usage: bool
    ) -> web.StreamResponse:
        """Ends the stream; call it only after the bill is durable."""
        if self._response is None:
            await self._start(answer.model_version)
        last = [
            self._event(
                answer.model_version,
                openai_schema.Delta(),
                finish_reason=openai_schema.finish_reason(answer.finish),
            )
        ]
        if include_usage:
            last.append(self._usage_event(answer))
        await self._write(b"".join([*last, _DONE]))
        await self._response.write_eof()
        return self._response

    async def replay(self, kept: ledger.KeptAnswer) -> answers.GeneratedAnswer:
        """Sends the text of a kept answer, and returns the answer."""
        answer = openai_schema.answer_of(
            msgspec.json.decode(kept.body, type=openai_schema.Completion)
        )
        if answer.text:
            await self.take(answer.text, answer.model_version)
        return answer

    async def fail(self, error: errors.CodedError) -> web.StreamResponse:
        """Ends a started stream with the error as its last event."""
        body = replies.error_body(error, request_id=self._request_id)
        await self._write(b"data: " + body + b"\n\n" + _DONE)
        await self._response.write_eof()
        return self._response

    async def _start(self, model_version: engine.ModelVersion) -> None:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream; charset=utf-8",
                "Cache-Control": "no-cache",
                replies.REQUEST_ID_HEADER: self._request_id,
            }
        )
        await response.prepare(self._request)
        self._response = response
        template_event = self._event(
            model_version, openai_schema.Delta(content=_TEXT_PLACEHOLDER)
        )
        self._event_prefix, self._event_suffix = template_event.split(
            _ENCODED_PLACEHOLDER
        )
        await self._write(
            self._event(
                model_version, openai_schema.Delta(role="assistant", content="")
            )
        )

    async def _write(self, data: bytes) -> None:
        try:
            await self._response.write(data)
        except ConnectionError:
            # The caller has disconnected. aiohttp also cancels the handler,
            # which ends the request; here it is enough to stop sending.
            self._detached = True

    def _event(
        self,
        model_version: engine.ModelVersion,
        delta: openai_schema.Delta,
        *,
        finish_reason: str | None = None,
    ) -> bytes:
        choice = openai_schema.ChunkChoice(
            delta=delta, finish_reason=finish_reason
        )
        return self._encoded(model_version, [choice], None)

    def _usage_event(self, answer: answers.GeneratedAnswer) -> bytes:
        return self._encoded(
            answer.model_version, [], openai_schema.usage(answer)
        )

    def _encoded(
        self,
        model_version: engine.ModelVersion,
        choices: list[openai_schema.ChunkChoice],
        usage: openai_schema.Usage | None,
    ) -> bytes:
        chunk = openai_schema.CompletionChunk(
            id=self._request_id,
            object=_CHUNK,
            created=self._created_s,
            model=self._model,
            system_fingerprint=str(model_version),
            choices=choices,
            usage=usage,
        )
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


_ENCODED_PLACEHOLDER = msgspec.json.encode(_TEXT_PLACEHOLDER)
