"""Gathers what a choice between models rests on, and asks it."""

import collections
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import model_choice
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.routes import in_force as in_force_module

# A weak answer is kept if less time is left: the largest model's first event
# takes 0.1 to 0.7 s in nine of ten requests, and without it there is no answer.
_LEAST_TIME_FOR_LARGER = datetime.timedelta(milliseconds=700)
# What an answer is worth to the users, in the unit of the models' prices, by
# its route's usual prompt: their weights of 0.95 to 3.2 for prompts of 700 to
# 9,200 tokens follow this within 0.3.
_WORTH_AT_1000_TOKENS = 1.38
_WORTH_POWER = 0.38
# A token that is read costs this part of one that is generated.
_READ_TOKEN_PRICE = 0.25
# Least part of each request in its route's usual prompt length.
_USUAL_WEIGHT = 0.05
_MILLISECOND = datetime.timedelta(milliseconds=1)


class _UsualPrompt:
    """The usual length of a route's prompts: a mean that forgets."""

    __slots__ = ("seen", "tokens")

    def __init__(self):
        self.seen = 0
        self.tokens = 0.0

    def note(self, tokens: int) -> None:
        self.seen += 1
        weight = max(_USUAL_WEIGHT, 1.0 / self.seen)
        self.tokens += weight * (tokens - self.tokens)

    def relative_size(self, tokens: int) -> float:
        return tokens / max(self.tokens, 1.0)

    def worth(self) -> float:
        """Returns what an answer to a usual prompt is worth."""
        kilotokens = max(self.tokens, 1.0) / 1000.0
        return _WORTH_AT_1000_TOKENS * kilotokens**_WORTH_POWER


class ModelAdvice:
    """Says which model begins, and whether a larger one is asked after it."""

    __slots__ = (
        "_choice",
        "_clock",
        "_configuration",
        "_directory",
        "_search",
        "_times",
        "_usual_prompts",
    )

    def __init__(
        self,
        *,
        choice: model_choice.ModelChoice,
        search: replica_search.ReplicaSearch,
        times: generation_times.GenerationTimes,
        configuration: in_force_module.ConfigurationInForce,
        directory: directory_module.ReplicaDirectory,
        clock: clock_module.Clock,
    ):
        self._choice = choice
        self._configuration = configuration
        self._directory = directory
        self._clock = clock
        self._search = search
        self._times = times
        self._usual_prompts: dict[str, _UsualPrompt] = collections.defaultdict(
            _UsualPrompt
        )

    def begin(self, job: job_module.Job) -> None:
        """Chooses a request's first model, if the choice is ours."""
        if not _is_ours(job):
            return
        job.model_index = self._choice.first(job.route)
        self._usual_prompts[job.route.name].note(job.input_tokens)

    def note_generation(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        took: datetime.timedelta,
    ) -> None:
        """Takes in how long a whole answer went on after its first event."""
        self._times.note_generation(
            prepared.model, tokens=job.output_tokens, took=took
        )

    def larger_for(
        self, job: job_module.Job, confidence: int | None
    ) -> int | None:
        """Returns the model to ask instead; None to keep the answer.

        Only before the caller has a byte: an answer that was begun is never
        replaced.
        """
        if job.sink.begun or not _is_ours(job):
            return None
        larger = self._choice.larger(job.route, job.model_index)
        if larger is None or job.runs + 1 >= job.route.attempts:
            return None
        if job.deadline - self._clock.monotonic() < _LEAST_TIME_FOR_LARGER:
            return None
        forecast = self._search.forecast(job, larger)
        if forecast is None:
            return None
        situation = self._situation(job, confidence, larger, forecast)
        if not self._choice.prefers_larger(job.route, situation):
            return None
        logs.note(
            "attempt:weak",
            request=job.log_id,
            confidence=confidence,
            model=job.route.models[job.model_index],
            next_model=job.route.models[larger],
            waiting=round(situation.waiting, 1),
            first_event_ms=round(situation.first_event / _MILLISECOND),
            generation_ms=round(situation.generation / _MILLISECOND),
            price=round(situation.price, 3),
        )
        return larger

    def _situation(
        self,
        job: job_module.Job,
        confidence: int | None,
        larger: int,
        forecast: choice_module.Forecast,
    ) -> model_choice.Situation:
        name = job.route.models[larger]
        tokens = job.input_tokens
        usual = self._usual_prompts[job.route.name]
        waiting = self._directory.baseline_load(job.service).waiting
        return model_choice.Situation(
            confidence=confidence,
            elapsed=self._clock.monotonic() - job.incoming.arrived_at,
            relative_size=usual.relative_size(tokens),
            price=self._price(job, name) / usual.worth(),
            first_event=self._times.first_event(
                name,
                waiting=forecast.waiting,
                tokens=attempt_facts.unkept_tokens(job, forecast.cached),
            ),
            generation=self._times.generation(name, job.output_tokens),
            time_left=job.deadline - self._clock.monotonic(),
            waiting=waiting,
        )

    def _price(self, job: job_module.Job, name: str) -> float:
        """Returns what an answer of a model costs."""
        services = self._configuration.current.services
        service = services.get(job.service)
        if service is None:
            return 0.0
        tokens = job.input_tokens * _READ_TOKEN_PRICE + job.output_tokens
        return service.model_costs.get(name, 0.0) * tokens / 1000.0


def _is_ours(job: job_module.Job) -> bool:
    return bool(job.route.models) and job.incoming.facts.any_model
