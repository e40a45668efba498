"""OpenAI-compatible bodies of requests and answers."""

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

MAX_MESSAGES = 1000


class TextPart(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a message's content; only text can be routed."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of the conversation, as callers send it."""

    role: str
    content: str | list[TextPart] | None = None

    def plain_text(self) -> str:
        """Returns the content as one text.

        Raises:
            errors.CodedError: A part is not text.
        """
        if self.content is None:
            return ""
        if isinstance(self.content, str):
            return self.content
        for part in self.content:
            if part.type != "text":
                raise errors.CodedError(
                    code=codes.Code.BAD_FIELD,
                    detail=f"messages: content of type {part.type!r:.50} is"
                    " not supported; send 'text'",
                )
        return "".join(part.text for part in self.content)


class StreamOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What a stream carries beside the text."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The body of `POST /v1/chat/completions`.

    Unknown fields are ignored, as OpenAI's service does with most of them.

    Attributes:
        model: The name of one of the team's templates.
        n: Number of answers; only 1 is supported.
    """

    model: str
    messages: list[ChatMessage]
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = 1

    def check(self) -> None:
        """Checks the constraints that the types do not express.

        Raises:
            errors.CodedError: `BAD_FIELD`, naming the field.
        """
        if not 1 <= len(self.messages) <= MAX_MESSAGES:
            raise _bad(
                f"messages has {len(self.messages)} entries; send 1 to"
                f" {MAX_MESSAGES}"
            )
        if self.n not in (None, 1):
            raise _bad(f"n is {self.n}; only 1 answer a request is given")
        limit = self.token_limit
        if limit is not None and limit < 1:
            raise _bad(f"max_tokens is {limit}; send 1 or more")

    @property
    def token_limit(self) -> int | None:
        """The caller's limit on the answer, under either of its names."""
        if self.max_completion_tokens is not None:
            return self.max_completion_tokens
        return self.max_tokens


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of an answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class AnswerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The message of the answer."""

    role: str = "assistant"
    content: str


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The one answer of a completion."""

    index: int = 0
    message: AnswerMessage
    finish_reason: str


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer.

    Attributes:
        created: Seconds since the epoch.
        system_fingerprint: The model version that answered.
    """

    id: str
    object: str = "chat.completion"
    created: int
    model: str
    system_fingerprint: str
    choices: list[Choice]
    usage: Usage


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a chunk adds to the answer's message."""

    role: str = ""
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True, kw_only=True):
    """A chunk's part of the one answer."""

    index: int = 0
    delta: Delta
    finish_reason: str | None = None


class CompletionChunk(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """One event of a streamed answer."""

    id: str
    object: str
    created: int
    model: str
    system_fingerprint: str
    choices: list[ChunkChoice]
    usage: Usage | None = None


class ModelItem(msgspec.Struct, frozen=True, kw_only=True):
    """A template, as `GET /v1/models` lists it."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """The team's templates."""

    object: str = "list"
    data: list[ModelItem]


def completion(
    answer: answers.GeneratedAnswer,
    *,
    request_id: str,
    model: str,
    created_s: int,
) -> Completion:
    """Returns the completion of an answer."""
    return Completion(
        id=request_id,
        created=created_s,
        model=model,
        system_fingerprint=str(answer.model_version),
        choices=[
            Choice(
                message=AnswerMessage(content=answer.text),
                finish_reason=finish_reason(answer.finish),
            )
        ],
        usage=usage(answer),
    )


def answer_of(completion: Completion) -> answers.GeneratedAnswer:
    """Returns the answer of a completion."""
    choice = completion.choices[0]
    return answers.GeneratedAnswer(
        text=choice.message.content,
        model_version=engine.ModelVersion.parse(completion.system_fingerprint),
        finish=engine.FinishReason(choice.finish_reason),
        prompt_tokens=completion.usage.prompt_tokens,
        output_tokens=completion.usage.completion_tokens,
    )


def usage(answer: answers.GeneratedAnswer) -> Usage:
    """Returns an answer's token counts."""
    return Usage(
        prompt_tokens=answer.prompt_tokens,
        completion_tokens=answer.output_tokens,
        total_tokens=answer.prompt_tokens + answer.output_tokens,
    )


def finish_reason(finish: engine.FinishReason) -> str:
    """Returns OpenAI's `finish_reason` of an answer."""
    return "length" if finish is engine.FinishReason.LENGTH else "stop"


def _bad(detail: str) -> errors.CodedError:
    return errors.CodedError(code=codes.Code.BAD_FIELD, detail=detail)
