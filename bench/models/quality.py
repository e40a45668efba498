"""A simulation of requests, answers, scores and delayed sampled ratings.

Each request has a hidden difficulty. The expected quality of a stage's answer
falls once the difficulty exceeds the stage's strength. The score of an answer
and its quality, the rating that it would get, are that expected value with
independent noise. Only sampled answers are rated, after a delay.
"""

import collections
import dataclasses
import random

from nutmeghook.internal.config import documents
from nutmeghook.internal.routing import cascade
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_learned
from nutmeghook.internal.routing import cascade_learner
from nutmeghook.internal.routing import cascade_scorer
from nutmeghook.internal.routing import cascade_tables

PROMPT_CHARS = (600, 3_000, 12_000)
_OUTPUT_TOKENS = 200
_CHARS_PER_TOKEN = 4


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Workload:
    """One template's requests and the models that answer them.

    Attributes:
        kind_shares: Shares of short, medium and long prompts.
        difficulty: Mean difficulty of each kind, 0 to 1.
        strengths: For each stage, the difficulty above which quality falls.
        score_noise: Standard deviation of scores.
        rating_noise: Standard deviation of ratings.
        rating_delay: Number of requests until a rating arrives.
    """

    name: str
    template: documents.Template
    fleet: documents.Fleet
    kind_shares: tuple[float, ...]
    difficulty: tuple[float, ...]
    strengths: tuple[float, ...] = (0.45, 0.95)
    score_noise: float = 0.12
    rating_noise: float = 0.08
    rating_delay: int = 300


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Request:
    """One request with values that are hidden from policies."""

    request_id: str
    prompt_chars: int
    qualities: tuple[float, ...]
    scores: tuple[float, ...]
    costs: tuple[float, ...]

    @property
    def kind(self) -> int:
        """Size class of the prompt."""
        return cascade_labels.kind_of(self.prompt_chars)


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """Totals of a policy over many requests.

    Attributes:
        held: Requests whose first answer was held until it was judged.
    """

    cost: float = 0.0
    quality: float = 0.0
    held: int = 0
    requests: int = 0

    def add(self, *, cost: float, quality: float, held: bool) -> None:
        """Counts a request."""
        self.cost += cost
        self.quality += quality
        self.held += held
        self.requests += 1

    @property
    def mean_quality(self) -> float:
        """Mean quality of the answers given."""
        return self.quality / self.requests

    @property
    def mean_cost(self) -> float:
        """Mean cost of a request over all its stages."""
        return self.cost / self.requests

    @property
    def held_share(self) -> float:
        """Share of requests whose first token waited for a judgement."""
        return self.held / self.requests


def generate_requests(
    workload: Workload, *, count: int, source: random.Random
) -> list[Request]:
    """Generates random requests."""
    return [_generate_request(workload, n, source) for n in range(count)]


def _generate_request(
    workload: Workload, number: int, source: random.Random
) -> Request:
    kind = source.choices(range(len(PROMPT_CHARS)), workload.kind_shares)[0]
    mean_difficulty = workload.difficulty[kind]
    difficulty = source.betavariate(
        4 * mean_difficulty, 4 * (1 - mean_difficulty)
    )
    expected_qualities = tuple(
        0.95 - 1.4 * max(0.0, difficulty - strength)
        for strength in workload.strengths
    )
    return Request(
        request_id=f"req-{source.getrandbits(64):x}-{number}",
        prompt_chars=PROMPT_CHARS[kind],
        qualities=tuple(
            _between_0_and_1(expected + source.gauss(0, workload.rating_noise))
            for expected in expected_qualities
        ),
        scores=tuple(
            _between_0_and_1(expected + source.gauss(0, workload.score_noise))
            for expected in expected_qualities
        ),
        costs=stage_costs(workload, PROMPT_CHARS[kind]),
    )


def stage_costs(workload: Workload, prompt_chars: int) -> tuple[float, ...]:
    """Returns the cost of one answer of each stage."""
    models = {model.name: model for model in workload.fleet.models}
    return tuple(
        prompt_chars
        / _CHARS_PER_TOKEN
        * models[stage.model].prompt_token_cost_micros
        + _OUTPUT_TOKENS * models[stage.model].output_token_cost_micros
        for stage in workload.template.stages
    )


def _between_0_and_1(value: float) -> float:
    return min(1.0, max(0.0, value))


class ScoreInText(cascade_scorer.AnswerScorer):
    """Reads the simulated score of an answer from its text."""

    def score(self, answer: cascade.CascadeAnswer) -> float:
        """Returns the text as a number."""
        return float(answer.text)


class LearnedCascadeRun:
    """Runs the product's learned policy with delayed ratings."""

    def __init__(self, *, workload: Workload, clock, learn_every: int = 500):
        self._workload = workload
        self._learn_every = learn_every
        self._policy = cascade_learned.LearnedCascade(
            clock=clock, scorer=ScoreInText()
        )
        self._table = cascade_tables.empty_table(len(workload.template.stages))
        self._pending_ratings: collections.deque = collections.deque()
        self._served = 0

    def serve(self, requests: list[Request]) -> Outcome:
        """Serves requests in order."""
        outcome = Outcome()
        for request in requests:
            cost, quality, held = self._serve_one(request)
            outcome.add(cost=cost, quality=quality, held=held)
            self._served += 1
            self._apply_due_ratings()
        return outcome

    def _serve_one(self, request: Request) -> tuple[float, float, bool]:
        question = cascade.CascadeQuestion(
            template=self._workload.template,
            request_id=request.request_id,
            prompt_chars=request.prompt_chars,
        )
        plan = self._policy.plan(question)
        last = len(request.costs) - 1
        cost = 0.0
        for stage in range(plan.first_stage, last + 1):
            cost += request.costs[stage]
            answer = cascade.CascadeAnswer(
                text=str(request.scores[stage]),
                output_tokens=_OUTPUT_TOKENS,
                hit_length_limit=False,
            )
            self._submit_for_rating(question, request, stage, answer)
            if (
                not plan.may_escalate
                or stage == last
                or self._policy.accepts(
                    question, stage_index=stage, answer=answer
                )
            ):
                break
        return cost, request.qualities[stage], plan.may_escalate

    def _submit_for_rating(
        self,
        question: cascade.CascadeQuestion,
        request: Request,
        stage: int,
        answer: cascade.CascadeAnswer,
    ) -> None:
        if not self._policy.wants_rating(question, stage_index=stage):
            return
        rating_id = self._policy.rating_id(
            question, stage_index=stage, answer=answer
        )
        due_at = self._served + self._workload.rating_delay
        self._pending_ratings.append(
            (due_at, stage, rating_id, request.qualities[stage])
        )

    def _apply_due_ratings(self) -> None:
        while (
            self._pending_ratings
            and self._pending_ratings[0][0] <= self._served
        ):
            _, stage, rating_id, rating = self._pending_ratings.popleft()
            self._table.add(
                stage_index=stage,
                label=cascade_labels.read(rating_id),
                quality=rating,
                now_s=0.0,
            )
        if self._served % self._learn_every == 0 and self._table.ratings:
            template = self._workload.template
            plan = cascade_learner.plan_for(
                template, self._table, fleet=self._workload.fleet, now_s=0.0
            )
            key = documents.template_key(template.team, template.name)
            self._policy.use_plans({key: plan})
