"""A cascade policy that does not learn but follows a fixed rule."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.routing import cascade
from nutmeghook.internal.routing import cascade_sampling

_MIN_ANSWER_CHARS = 2


class FixedCascade(cascade.CascadePolicy):
    """Starts at the first stage unless the template says otherwise.

    It escalates after an answer that is cut off or empty. The learned policy
    uses it for templates whose start is not `LEARNED`.
    """

    __slots__ = ()

    def plan(self, question: cascade.CascadeQuestion) -> cascade.CascadePlan:
        """Returns the start that the template configures."""
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
        """Accepts any answer that is complete and not empty."""
        if stage_index >= len(question.template.stages) - 1:
            return True
        long_enough = len(answer.text.strip()) >= _MIN_ANSWER_CHARS
        return long_enough and not answer.hit_length_limit

    def wants_rating(
        self, question: cascade.CascadeQuestion, *, stage_index: int
    ) -> bool:
        """Returns False: this policy does not use ratings."""
        return False

    def learn(
        self, *, team: str, template: str, stage_index: int, quality: float
    ) -> None:
        """Ignores the rating."""
