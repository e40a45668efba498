"""A generated answer, and where its text goes while it comes."""

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

    The dispatcher hands over text as it comes; the end of the answer is the
    return of `Dispatcher.generate`, which comes only after the bill.
    """

    @abc.abstractmethod
    async def take(self, text: str, model_version: engine.ModelVersion) -> None:
        """Takes the next piece of the answer's text."""

    @abc.abstractmethod
    def detach(self) -> None:
        """The caller is gone: from now on `take` does nothing."""

    @abc.abstractmethod
    def encode_whole(self, answer: GeneratedAnswer) -> ledger.KeptAnswer:
        """Returns the answer in the form that is kept for retries."""
