"""A generated answer, and the sink that its text is streamed to."""

import abc
import dataclasses

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.ledger import ledger


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class GeneratedAnswer:
    """One whole answer by one version.

    Attributes:
        finish: `STOP` or `LENGTH`.
    """

    text: str
    model_version: engine.ModelVersion
    finish: engine.FinishReason
    prompt_tokens: int
    output_tokens: int


class AnswerSink(abc.ABC):
    """The caller's side of an answer.

    The dispatcher passes text on as it arrives. The answer is complete when
    `Dispatcher.generate` returns, which is after the bill is recorded.
    """

    @abc.abstractmethod
    async def take(self, text: str, model_version: engine.ModelVersion) -> None:
        """Takes the next piece of the answer's text."""

    @abc.abstractmethod
    def detach(self) -> None:
        """Makes `take` do nothing from now on: the caller is gone."""

    @abc.abstractmethod
    def encode_whole(self, answer: GeneratedAnswer) -> ledger.KeptAnswer:
        """Returns the answer in the form that is stored for retries."""
