"""Forecasts when attempts end, and what follows for requests short of time.

All rules here apply only to services whose replicas share their machines
(`ReplicaDirectory.is_uneven`). Others get the answer that changes nothing.
"""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import expected_times
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.routes import model as model_module

# Nothing is refused for its expected end with fewer answers of its route and
# model: until then the forecasts are mostly priors.
KNOWN_ANSWERS = 20
# Nothing is refused if the latest answer is older. Requests that are all
# refused give no answers, so a wrong forecast would otherwise be kept forever.
MAX_ANSWER_AGE = datetime.timedelta(seconds=5)
# An attempt is sent, and a stream resumed, unless even this share of the
# expected time is more than the time left. A forecast may be twice too high.
_HOPELESS_SHARE = 0.5
# Working replicas are only abandoned for one that is expected to end in time.
_MOVE_SHARE = 1.0
# Time needed for an answer that is unlikely to be late, relative to the
# expected one.
_SAFE_MARGIN = 1.5
# A replica is not abandoned earlier, as a multiple of the expected time to the
# first event.
_MIN_SILENCE = 3.0
# The same for whole answers, of which one in a hundred takes 5 times its usual
# time.
_MIN_WHOLE_SILENCE = 5.0
# The same for pauses within a stream, as a multiple of the time between events.
_MIN_PAUSE = 5.0
# Bounds how often a further attempt is considered for a silent replica.
_LEAST_TIMEOUT = datetime.timedelta(milliseconds=200)
# Weight of one answer in a mean. The first ones count equally.
_MEAN_WEIGHT = 0.1
_NO_TIME = datetime.timedelta()


class _KnownAnswers:
    """What is known of the answers of a route, by model of a stream's.

    Attributes:
        count: Whole answers so far.
        latest_at: Monotonic time of the latest one.
        mean: Of the figure noted with each answer.
    """

    __slots__ = ("count", "latest_at", "mean")

    def __init__(self):
        self.count = 0
        self.latest_at = _NO_TIME
        self.mean = 0.0

    def note(self, now: datetime.timedelta, figure: float) -> None:
        self.count += 1
        self.latest_at = now
        weight = max(_MEAN_WEIGHT, 1.0 / self.count)
        self.mean += weight * (figure - self.mean)


class CompletionForecast:
    """Forecasts the end of attempts, by replica and by what is asked."""

    __slots__ = ("_clock", "_directory", "_generations", "_plain", "_times")

    def __init__(
        self,
        *,
        times: generation_times.GenerationTimes,
        directory: directory_module.ReplicaDirectory,
        clock: clock_module.Clock,
    ):
        self._times = times
        self._directory = directory
        self._clock = clock
        # By route and model; the figure is events per token asked for. Routes
        # differ in length, and a route whose requests are all refused must not
        # be judged by another's answers for ever.
        self._generations: dict[tuple[str, str], _KnownAnswers] = {}
        # By route; the figure is the time in seconds at an average replica.
        self._plain: dict[str, _KnownAnswers] = {}

    def note_generation(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        *,
        events: int,
    ) -> None:
        """Records that a generation has run from its start to its end."""
        if _is_resumed_by_caller(job):
            return
        per_token = events / job.output_tokens if job.output_tokens else 1.0
        known = self._generations.setdefault(
            (job.route.name, prepared.model), _KnownAnswers()
        )
        known.note(self._clock.monotonic(), per_token)

    def note_whole(
        self,
        prepared: prepared_module.PreparedAttempt,
        took: datetime.timedelta,
    ) -> None:
        """Records a replica's whole answer."""
        known = self._plain.setdefault(prepared.route.name, _KnownAnswers())
        took_s = took.total_seconds() / self._slowness(prepared.replica)
        known.note(self._clock.monotonic(), took_s)

    def expected(
        self,
        job: job_module.Job,
        choice: choice_module.Choice,
        *,
        model_index: int | None = None,
    ) -> expected_times.ExpectedTimes | None:
        """Returns the expected times of an attempt, if sent now.

        Of a stream that has begun, they are those of its remainder.

        Args:
            job: The request.
            choice: Where it would go.
            model_index: Into its route's models; None for its present one.

        Returns:
            None while nothing is known.
        """
        is_stream = job.route.kind is model_module.RouteKind.STREAM
        if is_stream and choice.forecast is not None:
            return self.of_generation(job, choice.forecast, model_index)
        known = self._plain.get(job.route.name)
        if known is None or known.count < KNOWN_ANSWERS:
            return None
        slowness = self._slowness(choice.replica)
        return expected_times.ExpectedTimes(
            first=datetime.timedelta(seconds=known.mean) * slowness,
            rest=_NO_TIME,
            slowness=slowness,
        )

    def of_generation(
        self,
        job: job_module.Job,
        forecast: replica_forecast.Forecast,
        model_index: int | None,
    ) -> expected_times.ExpectedTimes:
        """Returns the expected times of a generation.

        All that is asked of `GenerationTimes` is asked here.
        """
        name = attempt_facts.model_name(job, model_index) or ""
        first = self._times.time_to_first_event(
            name,
            waiting=forecast.waiting,
            tokens=attempt_facts.uncached_tokens(job, forecast.cached),
            running=forecast.running,
        )
        is_uneven = self.applies_to(forecast.replica.entry.service)
        rest = self._times.generation_time(
            name,
            job.output_tokens,
            running=forecast.running if is_uneven else None,
        )
        rest *= self._remaining_share(job, name)
        return expected_times.ExpectedTimes(
            first=first * forecast.slowness,
            rest=rest * forecast.slowness,
            slowness=forecast.slowness,
        )

    def _remaining_share(self, job: job_module.Job, name: str) -> float:
        """Returns the share of an answer's events that are still to come."""
        if not job.progress.events:
            return 1.0
        return 1.0 - min(1.0, job.progress.events / self._events(job, name))

    def _events(self, job: job_module.Job, name: str) -> float:
        """Returns the expected number of events of a whole answer."""
        known = self._generations.get((job.route.name, name))
        per_token = known.mean if known is not None else 1.0
        return max(1.0, job.output_tokens * per_token)

    def _slowness(self, replica) -> float:
        if not self.applies_to(replica.entry.service):
            return 1.0
        return replica.speed.slowness(self._clock.monotonic())

    def applies_to(self, service: str) -> bool:
        """Tells whether a service's requests are judged by their ends."""
        return self._directory.is_uneven(service)

    def is_likely_in_time(
        self,
        job: job_module.Job,
        forecast: replica_forecast.Forecast,
        model_index: int,
    ) -> bool:
        """Tells whether a model's answer is likely to end in time."""
        if not self.applies_to(forecast.replica.entry.service):
            return True
        expected = self.of_generation(job, forecast, model_index)
        return expected.whole * _SAFE_MARGIN <= self._left(job)

    def hopeless(
        self,
        job: job_module.Job,
        choice: choice_module.Choice,
        *,
        model_index: int | None = None,
    ) -> expected_times.ExpectedTimes | None:
        """Returns the expected times of an attempt that can't end in time.

        It can't if even half of the expected time is more than what is left.

        Returns:
            None if it may end in time, or too little is known.
        """
        return self._too_long(
            job, choice, share=_HOPELESS_SHARE, model_index=model_index
        )

    def may_move(
        self,
        job: job_module.Job,
        choice: choice_module.Choice,
        *,
        is_unreachable: bool,
    ) -> bool:
        """Tells whether a replica may be abandoned for another one.

        An attempt that stays may give the answer that corrects a wrong
        forecast, so answers need not be recent to keep it.

        Args:
            job: The request.
            choice: Where it would go.
            is_unreachable: The attempt under way is lost, so that any chance
                elsewhere is better.
        """
        share = _HOPELESS_SHARE if is_unreachable else _MOVE_SHARE
        too_long = self._too_long(
            job, choice, share=share, needs_recent=is_unreachable
        )
        return too_long is None

    def _too_long(
        self,
        job: job_module.Job,
        choice: choice_module.Choice,
        *,
        share: float,
        model_index: int | None = None,
        needs_recent: bool = True,
    ) -> expected_times.ExpectedTimes | None:
        if not self.applies_to(choice.replica.entry.service):
            return None
        if _is_resumed_by_caller(job):
            return None
        if not self.is_known(job, model_index, needs_recent=needs_recent):
            return None
        expected = self.expected(job, choice, model_index=model_index)
        if expected is None or expected.whole * share <= self._left(job):
            return None
        return expected

    def is_known(
        self,
        job: job_module.Job,
        model_index: int | None = None,
        *,
        needs_recent: bool = True,
    ) -> bool:
        """Tells whether enough answers of a request's kind are known.

        Args:
            job: The request.
            model_index: Into its route's models; None for its present one.
            needs_recent: The latest one must not be old.
        """
        if job.route.kind is model_module.RouteKind.STREAM:
            name = attempt_facts.model_name(job, model_index) or ""
            known = self._generations.get((job.route.name, name))
        else:
            known = self._plain.get(job.route.name)
        if known is None or known.count < KNOWN_ANSWERS:
            return False
        age = self._clock.monotonic() - known.latest_at
        return not needs_recent or age <= MAX_ANSWER_AGE

    def silence(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        *,
        longest: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns after which silence an attempt without answer is abandoned.

        Early enough that a fresh run at an average replica can still end, but
        not before the attempt takes far longer than expected.

        Args:
            job: The request.
            prepared: The attempt, which was just sent.
            longest: Upper bound, which applies where nothing is expected.
        """
        expected = prepared.expected
        if expected is None or not self._applies_at(prepared):
            return longest
        is_stream = prepared.route.kind is model_module.RouteKind.STREAM
        least = _MIN_SILENCE if is_stream else _MIN_WHOLE_SILENCE
        return self._bounded(
            job,
            elsewhere=expected.elsewhere,
            least=expected.first * least,
            longest=longest,
        )

    def pause(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        *,
        longest: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns after which pause a stream's attempt is abandoned.

        A pause that counts as on time is never too long, nor is one of a few
        times the interval that was expected or seen.

        Args:
            job: The request, a part of whose answer was forwarded.
            prepared: The attempt.
            longest: Upper bound, which applies where nothing is expected.
        """
        if prepared.forecast is None or not self._applies_at(prepared):
            return longest
        expected = self.of_generation(job, prepared.forecast, None)
        events_left = self._remaining_share(job, prepared.model) * self._events(
            job, prepared.model
        )
        interval = max(
            expected.rest / max(1.0, events_left),
            job.progress.interval or _NO_TIME,
        )
        return self._bounded(
            job,
            elsewhere=expected.elsewhere,
            least=max(job.route.longest_pause, interval * _MIN_PAUSE),
            longest=longest,
        )

    def _applies_at(self, prepared: prepared_module.PreparedAttempt) -> bool:
        return self.applies_to(prepared.replica.entry.service)

    def _bounded(
        self,
        job: job_module.Job,
        *,
        elsewhere: datetime.timedelta,
        least: datetime.timedelta,
        longest: datetime.timedelta,
    ) -> datetime.timedelta:
        latest = self._left(job) - elsewhere * _SAFE_MARGIN
        return min(longest, max(latest, least, _LEAST_TIMEOUT))

    def _left(self, job: job_module.Job) -> datetime.timedelta:
        return job.deadline - self._clock.monotonic()


def _is_resumed_by_caller(job: job_module.Job) -> bool:
    """Tells whether a caller asks for the rest of a stream.

    How much that is, is not known, so its expected end isn't either.
    """
    return job.incoming.facts.last_event_id is not None
