"""Applies the plans that were learned from ratings of the whole fleet."""

import collections
import dataclasses
import datetime
import functools

from nutmeghook.internal.config import documents
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routing import cascade
from nutmeghook.internal.routing import cascade_fixed
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_learner
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_sampling
from nutmeghook.internal.routing import cascade_scorer

# More requests than one instance has in flight. Beyond it the oldest decisions
# are dropped, and those requests are decided again by the current plan.
_REMEMBERED_REQUESTS = 4096
_CHEAPEST = cascade_plans.PlannedOption(first_stage=0, go_on_below_bin=0)
# Older plans are ignored: the publisher, the store, or this instance's link
# to it has been down for hours.
_PLANS_TTL = datetime.timedelta(hours=6)


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestDecision:
    """The decision for one request, kept while plans change.

    Attributes:
        explored: All stages run, to compare the quality of their answers.
        rated: Its answers are submitted for rating.
        sampled: Drawn for rating from all requests, explored or not.
        score_bin: Of the first stage's held answer, once there is one.
    """

    option: cascade_plans.PlannedOption
    kind: int
    explored: bool
    rated: bool
    sampled: bool
    score_bin: int | None = None


class LearnedCascade(cascade.CascadePolicy):
    """Decides by published plans, without any waiting."""

    __slots__ = (
        "_clock",
        "_decisions",
        "_fixed",
        "_plans",
        "_read_at",
        "_scorer",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        scorer: cascade_scorer.AnswerScorer,
    ):
        self._clock = clock
        self._scorer = scorer
        self._fixed = cascade_fixed.FixedCascade()
        self._plans: dict[str, cascade_plans.TemplatePlan] = {}
        self._read_at = clock.monotonic()
        self._decisions: collections.OrderedDict[str, RequestDecision] = (
            collections.OrderedDict()
        )

    def use_plans(self, plans: dict[str, cascade_plans.TemplatePlan]) -> None:
        """Replaces the plans, by template key, with the newest ones."""
        self._plans = plans
        self._read_at = self._clock.monotonic()

    def plan(self, question: cascade.CascadeQuestion) -> cascade.CascadePlan:
        """Returns where to start and whether the answer will be judged."""
        if not _learns(question.template):
            return self._fixed.plan(question)
        decision = self._decision(question)
        if decision.explored:
            return cascade.CascadePlan(first_stage=0, may_escalate=True)
        return cascade.CascadePlan(
            first_stage=decision.option.first_stage,
            may_escalate=decision.option.go_on_below_bin > 0,
        )

    def accepts(
        self,
        question: cascade.CascadeQuestion,
        *,
        stage_index: int,
        answer: cascade.CascadeAnswer,
    ) -> bool:
        """Tells whether a held answer is good enough for the caller."""
        if not _learns(question.template):
            return self._fixed.accepts(
                question, stage_index=stage_index, answer=answer
            )
        if stage_index >= len(question.template.stages) - 1:
            return True
        decision = self._decision(question)
        if decision.explored:
            return False
        if stage_index > decision.option.first_stage:
            return True
        score_bin = cascade_scorer.bin_of(self._scorer.score(answer))
        decision.score_bin = score_bin
        return score_bin >= decision.option.go_on_below_bin

    def wants_rating(
        self, question: cascade.CascadeQuestion, *, stage_index: int
    ) -> bool:
        """Tells whether this answer is to be submitted for rating."""
        if not _learns(question.template):
            return self._fixed.wants_rating(question, stage_index=stage_index)
        return self._decision(question).rated

    def rating_id(
        self,
        question: cascade.CascadeQuestion,
        *,
        stage_index: int,
        answer: cascade.CascadeAnswer,
    ) -> str:
        """Returns an id that carries the request's kind and score."""
        if not _learns(question.template):
            return question.request_id
        decision = self._decision(question)
        first = 0 if decision.explored else decision.option.first_stage
        held = decision.explored or decision.option.go_on_below_bin > 0
        if held and stage_index == first:
            score = self._scorer.score(answer)
            decision.score_bin = cascade_scorer.bin_of(score)
        label = cascade_labels.RatingLabel(
            kind=decision.kind,
            first_stage=first,
            score_bin=decision.score_bin,
            sampled=decision.sampled,
        )
        return cascade_labels.attach(question.request_id, label)

    def learn(
        self, *, team: str, template: str, stage_index: int, quality: float
    ) -> None:
        """Ignores the rating: one instance learns for all."""

    def _decision(self, question: cascade.CascadeQuestion) -> RequestDecision:
        decision = self._decisions.get(question.request_id)
        if decision is None:
            decision = self._decide(question)
            self._decisions[question.request_id] = decision
            if len(self._decisions) > _REMEMBERED_REQUESTS:
                self._decisions.popitem(last=False)
        return decision

    def _decide(self, question: cascade.CascadeQuestion) -> RequestDecision:
        template = question.template
        plan = self._plan_of(template)
        kind = cascade_labels.kind_of(question.prompt_chars)
        position = functools.partial(
            cascade_sampling.position, question.request_id
        )
        may_hold = cascade_sampling.may_hold(question)
        group = (plan.holding if may_hold else plan.relaying)[kind]
        upgraded = position("upgrade") < group.upgraded_share
        option = group.upgraded if upgraded else group.usual
        explored_share = (
            plan.explored_shares[kind] if may_hold else plan.tried_shares[kind]
        )
        explored = position("explore") < explored_share
        sampled = position("rate") < plan.rated_share
        if explored and not may_hold:
            # Running all stages would hold the answer back. So the cheap
            # answer goes to the caller, the only way to have it rated.
            option = _CHEAPEST
        return RequestDecision(
            option=option,
            kind=kind,
            explored=explored and may_hold and len(template.stages) > 1,
            rated=explored or sampled,
            sampled=sampled,
        )

    def _plan_of(
        self, template: documents.Template
    ) -> cascade_plans.TemplatePlan:
        key = documents.template_key(template.team, template.name)
        plan = self._plans.get(key)
        age = self._clock.monotonic() - self._read_at
        stages = len(template.stages)
        if plan is None or age > _PLANS_TTL or not _fits(plan, stages):
            return cascade_learner.cautious_plan(stages)
        return plan


def _learns(template: documents.Template) -> bool:
    return template.start is documents.StartPolicy.LEARNED


def _fits(plan: cascade_plans.TemplatePlan, stages: int) -> bool:
    """Tells whether a plan was made for a template of so many stages."""
    return all(
        option.first_stage < stages
        for group in (*plan.holding, *plan.relaying)
        for option in (group.usual, group.upgraded)
    )
