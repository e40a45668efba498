"""Gathers the input of a choice between models, and applies the choice."""

import collections
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.relay import completion as completion_module
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import model_choice
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.routes import in_force as in_force_module

# A low-confidence answer is kept if less time is left: the largest model's
# first event takes 0.1 to 0.7 s in nine of ten requests, and if it came too
# late, the caller would get no answer.
_MIN_TIME_FOR_LARGER = datetime.timedelta(milliseconds=700)
# Utility of an answer in the unit of the models' prices, as a power law of its
# route's mean prompt length. It is within 0.3 of the weights that the users
# give to answers: 0.95 to 3.2 for prompts of 700 to 9,200 tokens.
_UTILITY_AT_1000_TOKENS = 1.38
_UTILITY_EXPONENT = 0.38
# Price of a prompt token, as a share of a generated one.
_PROMPT_TOKEN_PRICE = 0.25
# Least weight of a request in its route's mean prompt length.
_BASELINE_WEIGHT = 0.05
_MILLISECOND = datetime.timedelta(milliseconds=1)


class _BaselinePrompt:
    """Exponentially weighted mean length of a route's prompts."""

    __slots__ = ("count", "tokens")

    def __init__(self):
        self.count = 0
        self.tokens = 0.0

    def note(self, tokens: int) -> None:
        self.count += 1
        weight = max(_BASELINE_WEIGHT, 1.0 / self.count)
        self.tokens += weight * (tokens - self.tokens)

    def relative_size(self, tokens: int) -> float:
        return tokens / max(self.tokens, 1.0)

    def utility(self) -> float:
        """Returns the utility of an answer to a prompt of mean length."""
        kilotokens = max(self.tokens, 1.0) / 1000.0
        return _UTILITY_AT_1000_TOKENS * kilotokens**_UTILITY_EXPONENT


class ModelSelector:
    """Chooses the first model, and whether a larger one replaces it."""

    __slots__ = (
        "_baseline_prompts",
        "_choice",
        "_clock",
        "_completion",
        "_configuration",
        "_directory",
        "_search",
        "_times",
    )

    def __init__(
        self,
        *,
        choice: model_choice.ModelChoice,
        search: replica_search.ReplicaSearch,
        times: generation_times.GenerationTimes,
        completion: completion_module.CompletionForecast,
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
        self._completion = completion
        self._baseline_prompts: dict[str, _BaselinePrompt] = (
            collections.defaultdict(_BaselinePrompt)
        )

    def begin(self, job: job_module.Job) -> None:
        """Chooses a request's first model, unless the caller names one."""
        if not _router_chooses_model(job):
            return
        job.model_index = self._choice.first(job.route)
        self._baseline_prompts[job.route.name].note(job.input_tokens)

    def note_generation(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        took: datetime.timedelta,
    ) -> None:
        """Records the time from a whole answer's first event to its end.

        In an uneven service, requests are refused by these times, so the rest
        of a stream that a caller resumed is not taken for a whole answer.
        """
        forecast = prepared.forecast
        is_uneven = self._directory.is_uneven(prepared.replica.entry.service)
        if is_uneven and job.incoming.facts.last_event_id is not None:
            return
        self._times.note_generation(
            prepared.model,
            tokens=job.output_tokens,
            took=took / forecast.slowness if forecast else took,
            running=forecast.running if forecast and is_uneven else None,
        )

    def larger_for(
        self, job: job_module.Job, confidence: int | None
    ) -> int | None:
        """Returns the model to ask instead; None to keep the answer.

        An answer is never replaced once the caller has a byte of it.
        """
        if job.sink.begun or not _router_chooses_model(job):
            return None
        larger = self._choice.larger(job.route, job.model_index)
        if larger is None or job.runs + 1 >= job.route.attempts:
            return None
        if job.deadline - self._clock.monotonic() < _MIN_TIME_FOR_LARGER:
            return None
        forecast = self._search.forecast(job, larger)
        if forecast is None:
            return None
        if not self._completion.is_likely_in_time(job, forecast, larger):
            return None
        context = self._escalation_context(job, confidence, larger, forecast)
        if not self._choice.prefers_larger(job.route, context):
            return None
        logs.note(
            "attempt:weak",
            request=job.log_id,
            confidence=confidence,
            model=job.route.models[job.model_index],
            next_model=job.route.models[larger],
            waiting=round(context.waiting, 1),
            first_event_ms=round(context.first_event / _MILLISECOND),
            generation_ms=round(context.generation / _MILLISECOND),
            price=round(context.price, 3),
        )
        return larger

    def _escalation_context(
        self,
        job: job_module.Job,
        confidence: int | None,
        larger: int,
        forecast: replica_forecast.Forecast,
    ) -> model_choice.EscalationContext:
        name = job.route.models[larger]
        expected = self._completion.of_generation(job, forecast, larger)
        baseline = self._baseline_prompts[job.route.name]
        waiting = self._directory.baseline_load(job.service).waiting
        return model_choice.EscalationContext(
            confidence=confidence,
            elapsed=self._clock.monotonic() - job.incoming.arrived_at,
            relative_size=baseline.relative_size(job.input_tokens),
            price=self._price(job, name) / baseline.utility(),
            first_event=expected.first,
            generation=expected.rest,
            time_left=job.deadline - self._clock.monotonic(),
            waiting=waiting,
        )

    def _price(self, job: job_module.Job, name: str) -> float:
        """Returns what an answer of a model costs."""
        services = self._configuration.current.services
        service = services.get(job.service)
        if service is None:
            return 0.0
        tokens = job.input_tokens * _PROMPT_TOKEN_PRICE + job.output_tokens
        return service.model_costs.get(name, 0.0) * tokens / 1000.0


def _router_chooses_model(job: job_module.Job) -> bool:
    return bool(job.route.models) and job.incoming.facts.any_model
