"""Interface that decides where a cascade starts and when it escalates."""

import abc
import dataclasses

from nutmeghook.internal.config import documents


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CascadeQuestion:
    """What is known of a request before it runs."""

    template: documents.Template
    request_id: str
    prompt_chars: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CascadeAnswer:
    """A stage's whole answer, before a byte of it was sent.

    Attributes:
        hit_length_limit: The answer was cut at its token limit.
    """

    text: str
    output_tokens: int
    hit_length_limit: bool


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CascadePlan:
    """The stages to go through.

    Attributes:
        first_stage: Index into the template's stages.
        may_escalate: False if the first stage's answer is final: then it is
            streamed as it arrives; otherwise it is held until judged.
    """

    first_stage: int
    may_escalate: bool


class CascadePolicy(abc.ABC):
    """Decides per template, from late ratings of sampled answers."""

    @abc.abstractmethod
    def plan(self, question: CascadeQuestion) -> CascadePlan:
        """Returns where to start and whether the answer will be judged."""

    @abc.abstractmethod
    def accepts(
        self,
        question: CascadeQuestion,
        *,
        stage_index: int,
        answer: CascadeAnswer,
    ) -> bool:
        """Tells whether a held answer is good enough for the caller."""

    @abc.abstractmethod
    def wants_rating(
        self, question: CascadeQuestion, *, stage_index: int
    ) -> bool:
        """Tells whether this answer is to be submitted for rating."""

    def rating_id(
        self,
        question: CascadeQuestion,
        *,
        stage_index: int,
        answer: CascadeAnswer,
    ) -> str:
        """Returns the id under which to submit an answer for rating.

        Beside the quality, the rating service returns only the id, team,
        template, version and stage, so the id must carry all else that the
        policy needs to know of the answer.
        """
        return question.request_id

    @abc.abstractmethod
    def learn(
        self, *, team: str, template: str, stage_index: int, quality: float
    ) -> None:
        """Records a rating."""
