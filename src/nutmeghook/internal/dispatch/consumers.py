"""Consumers of an attempt's text: buffered until judged, or relayed."""

import abc
from collections.abc import Callable

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import progress as progress_module


class TextMismatchError(Exception):
    """A retry's text does not match what the caller has received."""


class Consumer(abc.ABC):
    """Takes an attempt's text, which is complete and in order."""

    @abc.abstractmethod
    async def take(self, text: str) -> None:
        """Takes the next piece."""

    @abc.abstractmethod
    def text(self) -> str:
        """Returns all of the text so far."""

    @abc.abstractmethod
    def has_begun(self) -> bool:
        """Tells whether the answer's text so far is from this attempt."""

    @abc.abstractmethod
    def for_retry(self, on_begun: Callable[[], None]) -> "Consumer":
        """Returns the consumer for an attempt that starts over.

        Args:
            on_begun: Called once, before the first text that this attempt adds
                to the answer; from then on the answer is this attempt's.
        """


class BufferingConsumer(Consumer):
    """Buffers a stage's text until its answer has been judged."""

    __slots__ = ("_on_begun", "_pieces")

    def __init__(self, *, on_begun: Callable[[], None] | None = None):
        self._on_begun = on_begun
        self._pieces: list[str] = []

    async def take(self, text: str) -> None:
        """Buffers the piece."""
        if not self._pieces and self._on_begun is not None:
            self._on_begun()
        self._pieces.append(text)

    def text(self) -> str:
        """Returns all of the text so far."""
        return "".join(self._pieces)

    def has_begun(self) -> bool:
        """Tells whether any text is buffered."""
        return bool(self._pieces)

    def for_retry(self, on_begun: Callable[[], None]) -> "Consumer":
        """Returns an empty buffer: nobody saw the earlier text."""
        return BufferingConsumer(on_begun=on_begun)


class RelayingConsumer(Consumer):
    """Passes text on to the caller as it arrives."""

    __slots__ = ("_model_version", "_on_first", "_pieces", "_progress", "_sink")

    def __init__(
        self,
        *,
        sink: answers.AnswerSink,
        model_version: engine.ModelVersion,
        progress: progress_module.Progress,
        on_first: Callable[[], None],
    ):
        self._sink = sink
        self._model_version = model_version
        self._progress = progress
        self._on_first = on_first
        self._pieces: list[str] = []

    async def take(self, text: str) -> None:
        """Sends the piece to the caller."""
        if not self._pieces:
            self._progress.relayed = True
            self._on_first()
        self._pieces.append(text)
        await self._sink.take(text, self._model_version)

    def text(self) -> str:
        """Returns all of the text so far."""
        return "".join(self._pieces)

    def has_begun(self) -> bool:
        """Tells whether the caller was sent any text."""
        return bool(self._pieces)

    def for_retry(self, on_begun: Callable[[], None]) -> "Consumer":
        """Returns a consumer that continues where the caller's text ends."""
        if not self._pieces:
            return self
        return PrefixCheckingConsumer(relay=self, on_begun=on_begun)


class PrefixCheckingConsumer(Consumer):
    """Lets a retry continue only if it reproduces the text so far.

    When an engine is lost in mid-answer, another engine of the same version
    may word the answer differently, and continuing with its text would splice
    two answers. So the retry's text is buffered until it covers what the
    caller has, and is passed on only if it begins with exactly that.
    """

    __slots__ = ("_buffered", "_caught_up", "_expected", "_on_begun", "_relay")

    def __init__(
        self, *, relay: RelayingConsumer, on_begun: Callable[[], None]
    ):
        self._on_begun = on_begun
        self._relay = relay
        self._expected = relay.text()
        self._buffered = ""
        self._caught_up = False

    async def take(self, text: str) -> None:
        """Checks the piece against the caller's text, then relays the rest.

        Raises:
            TextMismatchError: The text differs.
        """
        if self._caught_up:
            await self._relay.take(text)
            return
        self._buffered += text
        if not self._matches():
            raise TextMismatchError
        if len(self._buffered) >= len(self._expected):
            self._caught_up = True
            self._on_begun()
            rest = self._buffered[len(self._expected) :]
            if rest:
                await self._relay.take(rest)

    def text(self) -> str:
        """Returns all of the caller's text so far.

        Raises:
            TextMismatchError: The retry ended before it covered that text.
        """
        if not self._caught_up:
            raise TextMismatchError
        return self._relay.text()

    def has_begun(self) -> bool:
        """Tells whether the retry covers what the caller had."""
        return self._caught_up

    def for_retry(self, on_begun: Callable[[], None]) -> Consumer:
        """Returns a new check against all that the caller has by now."""
        return self._relay.for_retry(on_begun)

    def _matches(self) -> bool:
        return self._buffered.startswith(self._expected) or (
            self._expected.startswith(self._buffered)
        )
