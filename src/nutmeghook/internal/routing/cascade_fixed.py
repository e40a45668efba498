"""A cascade that does not learn: start by template, go on by a simple rule."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.routing import cascade
from nutmeghook.internal.routing import cascade_sampling

_MIN_ANSWER_CHARS = 2


class FixedCascade(cascade.CascadePolicy):
    """Starts cheap unless told otherwise; goes on after a broken answer.

    It is what runs before any rating has come in, and the baseline that the
    learned policy is measured against.
    """

    __slots__ = ()

    def plan(self, question: cascade.CascadeQuestion) -> cascade.CascadePlan:
        """Returns the template's own start."""
        last_stage = len(question.template.stages) - 1
        first_stage = 0
        if question.template.start is documents.StartPolicy.STRONGEST:
            first_stage = last_stage
        return cascade.CascadePlan(
            first_stage=first_stage,
            may_escalate=first_stage < last_stage
            and cascade_sampling.may_hold(question),
        )

    def accepts(
        self,
        question: cascade.CascadeQuestion,
        *,
        stage_index: int,
        answer: cascade.CascadeAnswer,
    ) -> bool:
        """Accepts whatever is whole and not empty."""
        if stage_index >= len(question.template.stages) - 1:
            return True
        long_enough = len(answer.text.strip()) >= _MIN_ANSWER_CHARS
        return long_enough and not answer.hit_length_limit

    def wants_rating(
        self, question: cascade.CascadeQuestion, *, stage_index: int
    ) -> bool:
        """Hands nothing in: it would not use the ratings."""
        return False

    def learn(
        self, *, team: str, template: str, stage_index: int, quality: float
    ) -> None:
        """Ignores it."""
