"""Prepares each attempt from the newest knowledge, and allows repeats."""

from collections.abc import Callable
import dataclasses
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import logs
from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import backlog
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import sender as sender_module
from nutmeghook.internal.version_plans import usual as usual_module
from nutmeghook.internal.version_plans import view as view_module

# Attempts of any outcome. Refusals cost little, but a request that several
# replicas refused is better sent back than tried on all of a large fleet.
MAX_TRIES = 6
# When a refused caller is to come back, spread so that those refused together
# don't return together. Callers follow it up to a third of their time left.
_EARLIEST_RETURN_S = 0.25
_LATEST_RETURN_S = 0.75
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Prepared:
    """An attempt that is ready to be sent.

    Attributes:
        forecast: When its answer was expected to begin; None of a request
            that is no generation.
        after_event: The event after which it goes on; None from the start.
    """

    replica: directory_module.Replica
    outgoing: sender_module.Outgoing
    sent_at: datetime.timedelta
    route: model.Route
    model: str
    forecast: choice_module.Forecast | None
    after_event: str | None


class AttemptPlanner:
    """Chooses where the next attempt of a request goes."""

    __slots__ = (
        "_budgets",
        "_chooser",
        "_clock",
        "_configuration",
        "_random",
        "_times",
        "_versions",
        "_wire_format",
    )

    def __init__(
        self,
        *,
        configuration: in_force_module.ConfigurationInForce,
        chooser: choice_module.ReplicaChooser,
        versions: view_module.VersionView,
        budgets: window_budget.WindowRetryBudgets,
        times: generation_times.GenerationTimes,
        wire_format: wire.WireFormat,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._configuration = configuration
        self._chooser = chooser
        self._versions = versions
        self._budgets = budgets
        self._times = times
        self._wire_format = wire_format
        self._clock = clock
        self._random = random_source

    def prepare(self, job: job_module.Job) -> Prepared:
        """Returns the next attempt.

        Route and key are looked up again: a request may have waited, or been
        sent before, while the operator took one of them away.

        Raises:
            rejections.RejectedError: There is to be no further attempt.
        """
        route = self._checked_route(job)
        job.service = attempt_facts.service_for(route, job)
        chosen = self._choose(job)
        if chosen is None:
            raise self.given_up(job, reason="no replica can take it")
        replica = chosen.replica
        first = not job.tries
        if first:
            self._budgets.budget_for(job.service).note_request()
        job.tries += 1
        job.tried.add(replica.entry.replica_id)
        session = job.incoming.facts.session
        if session is not None:
            self._versions.note_sent(
                job.service,
                session=session,
                entry=replica.entry,
                deadline=job.deadline,
            )
        logs.note(
            "attempt:sent",
            request=job.log_id,
            replica=replica.entry.replica_id,
            version=replica.entry.version,
            model=attempt_facts.model_name(job),
            configuration=self._configuration.current.version,
            in_flight=replica.in_flight,
            after_event=job.last_event_id,
            attempt=job.tries,
            **_logged(chosen.forecast),
        )
        return Prepared(
            replica=replica,
            outgoing=self._outgoing(job, chosen),
            sent_at=self._clock.monotonic(),
            route=route,
            model=attempt_facts.model_name(job) or "",
            forecast=chosen.forecast,
            after_event=job.last_event_id,
        )

    def forecast(
        self, job: job_module.Job, model_index: int
    ) -> choice_module.Forecast | None:
        """Returns when another model's answer would begin, sent now."""
        need = self._need(
            job, self._accepts(job), tried=frozenset(), model_index=model_index
        )
        return self._chooser.forecast(need) if need.prompt else None

    def note_first_event(self, job: job_module.Job, prepared: Prepared) -> None:
        """Takes in that an attempt's answer begins now."""
        if prepared.forecast is None:
            return
        took = self._clock.monotonic() - prepared.sent_at
        waiting = prepared.forecast.waiting
        tokens = attempt_facts.unkept_tokens(job, prepared.forecast.kept)
        expected = self._times.first_event(
            prepared.model, waiting=waiting, tokens=tokens
        )
        self._note_first_pace(prepared, took, expected)
        self._times.note_first_event(
            prepared.model, waiting=waiting, tokens=tokens, took=took
        )
        key = attempt_facts.affinity(job)
        if key is not None:
            self._chooser.note_read(prepared.forecast, key)

    def note_answer(
        self,
        job: job_module.Job,
        prepared: Prepared,
        *,
        status: int,
        failed: bool,
    ) -> None:
        """Takes in that a replica began to answer, or failed."""
        now = self._clock.monotonic()
        report = prepared.replica.report
        logs.note(
            "attempt:answered",
            request=job.log_id,
            attempt=job.tries,
            replica=prepared.replica.entry.replica_id,
            version=prepared.replica.entry.version,
            status=status,
            after_ms=round((now - prepared.sent_at) / _MILLISECOND),
            replica_running=report.running if report else None,
            replica_waiting=report.waiting if report else None,
        )
        if failed:
            prepared.replica.health.note_failure(now)
        self._versions.note_answer(
            prepared.replica.entry,
            usual_module.AnswerSeen(
                route=prepared.route.name,
                model=prepared.model,
                failed=failed,
                duration_s=(now - prepared.sent_at).total_seconds(),
                target_s=prepared.route.target.total_seconds(),
            ),
        )

    def _note_first_pace(
        self,
        prepared: Prepared,
        took: datetime.timedelta,
        expected: datetime.timedelta,
    ) -> None:
        """Takes in how much later than expected an answer began.

        The failure: a version reads six times slower in half of its requests.
        Prompts and queues differ by more than that, so its first events are
        within what is usual. Measured by what was expected of each they are
        not: their logarithms are 1.0 to 1.4 above the usual, which spread by
        0.8. Those of good versions, on replicas that have nothing kept yet,
        were not above it. All models count as one kind, since an instance of
        a small fleet sees one first event a second.
        """
        self._versions.note_pace(
            prepared.replica.entry,
            measure=usual_module.Measure.BEGINNING,
            kind=prepared.replica.entry.service,
            pace_s=took / max(expected, _MILLISECOND),
        )

    def note_pace(
        self, prepared: Prepared, duration: datetime.timedelta, *, steps: int
    ) -> None:
        """Takes in how long an answer took, in so many equal steps.

        A replica generates for all its streams in one batch, so events come
        equally often on every route; whole answers differ by route.
        """
        if steps < 1:
            return
        is_stream = prepared.route.kind is model.RouteKind.STREAM
        self._versions.note_pace(
            prepared.replica.entry,
            measure=usual_module.Measure.GOING_ON,
            kind=prepared.replica.entry.service
            if is_stream
            else prepared.route.name,
            pace_s=duration.total_seconds() / steps,
        )

    def allow_repeat(
        self, job: job_module.Job, error: outcomes.AttemptError
    ) -> None:
        """Returns if another attempt may follow a failed one.

        Raises:
            rejections.RejectedError: None may.
        """
        job.note_failure(error)
        logs.note(
            "attempt:failed",
            request=job.log_id,
            attempt=job.tries,
            outcome=type(error).__name__,
            error=str(error),
        )
        may_have_run = isinstance(error, outcomes.UnknownOutcomeError)
        if may_have_run and not _may_run_again(job):
            raise self.given_up(job, reason="its outcome is unknown")
        if job.tries >= MAX_TRIES:
            raise self.given_up(job, reason="too many attempts failed")
        if isinstance(error, (outcomes.NotSentError, outcomes.AbandonedError)):
            return
        if not self.try_spend(job):
            raise self.given_up(job, reason="the retry budget is spent")

    def try_move(self, job: job_module.Job) -> bool:
        """Takes leave to go on at another replica than the one at work.

        The failure: a replica falls silent under load and works on. Given up
        at once, the request then found no leave for a further attempt, or no
        replica to take it, and a caller's answer that would have come was cut.
        So all that could forbid the further attempt is asked before.
        """
        return (
            job.route.repeatable
            and job.runs + 1 < job.route.attempts
            and job.tries < MAX_TRIES
            and self._choose_untried(job) is not None
            and self.try_spend(job)
        )

    def try_spend(self, job: job_module.Job) -> bool:
        """Takes leave for one more attempt from the service's budget."""
        return self._budgets.budget_for(job.service).try_spend()

    def given_up(
        self, job: job_module.Job, *, reason: str
    ) -> rejections.RejectedError:
        """Returns the end of a request that gets no further attempt."""
        if job.possibly_run:
            return rejections.RejectedError(
                wire.FixedResponse.FAILED_PERHAPS_RUN, reason=reason
            )
        return rejections.RejectedError(
            wire.FixedResponse.NOT_RUN,
            reason=reason,
            retry_after=self.return_after(),
        )

    def return_after(self) -> datetime.timedelta:
        """Returns when a refused caller is to come back."""
        return datetime.timedelta(
            seconds=self._random.uniform(_EARLIEST_RETURN_S, _LATEST_RETURN_S)
        )

    def time_left(self, job: job_module.Job) -> datetime.timedelta:
        """Returns the time until the request's deadline."""
        return job.deadline - self._clock.monotonic()

    def _checked_route(self, job: job_module.Job) -> model.Route:
        configuration = self._configuration.current
        route = configuration.find(job.incoming.host_name, job.incoming.path)
        if route is None:
            raise self._withdrawn(job, wire.FixedResponse.NO_ROUTE)
        if not configuration.lets_in(route, job.incoming.facts.api_key):
            raise self._withdrawn(job, wire.FixedResponse.BAD_KEY)
        return route

    def _withdrawn(
        self, job: job_module.Job, response: wire.FixedResponse
    ) -> rejections.RejectedError:
        if job.possibly_run:
            response = wire.FixedResponse.FAILED_PERHAPS_RUN
        return rejections.RejectedError(
            response, reason="route or key was taken away meanwhile"
        )

    def _choose(self, job: job_module.Job) -> choice_module.Choice | None:
        """Returns the best replica for the next attempt.

        The failure: a request left a silent replica for another one, and that
        one refuses it. There is no third, the first works as before, and the
        caller's answer would end for want of a replica. What has run already
        and may be repeated goes back to one that was tried.
        """
        chosen = self._choose_untried(job)
        if chosen is None and job.possibly_run and job.route.repeatable:
            return self._best(job, self._accepts(job), tried=frozenset())
        return chosen

    def _choose_untried(
        self, job: job_module.Job
    ) -> choice_module.Choice | None:
        """Returns the best replica that was not tried.

        The failure: a roll-out has just begun, the new version's only replica
        fails a request, and there is no other of that version to turn to. A
        request that failed on a new version may go on with the one in full
        use.
        """
        tried = frozenset(job.tried)
        chosen = self._best(job, self._accepts(job), tried=tried)
        if chosen is None and tried:
            in_full_use = self._versions.in_full_use(job.service)
            chosen = self._best(job, in_full_use, tried=tried)
        return chosen

    def _accepts(
        self, job: job_module.Job
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a test for the replicas whose version may run a request."""
        return self._versions.accepts(
            job.service,
            session=job.incoming.facts.session,
            request_id=job.log_id,
        )

    def _best(
        self,
        job: job_module.Job,
        accepts: Callable[[entries.ReplicaEntry], bool],
        *,
        tried: frozenset[str],
    ) -> choice_module.Choice | None:
        return self._chooser.choose(self._need(job, accepts, tried=tried))

    def _need(
        self,
        job: job_module.Job,
        accepts: Callable[[entries.ReplicaEntry], bool],
        *,
        tried: frozenset[str],
        model_index: int | None = None,
    ) -> choice_module.Need:
        return choice_module.Need(
            service=job.service,
            accepts=accepts,
            key=attempt_facts.affinity(job, model_index) or job.log_id,
            exclude=tried,
            prompt=self._prompt(job, model_index),
        )

    def _prompt(
        self, job: job_module.Job, model_index: int | None
    ) -> choice_module.Prompt | None:
        """Returns what an engine has to read for the request."""
        model_name = attempt_facts.model_name(job, model_index)
        if job.incoming.facts.prompt is None and model_name is None:
            return None
        model_name = model_name or ""
        shared_tokens = attempt_facts.shared_tokens(job)
        own_tokens = job.input_tokens - shared_tokens
        return choice_module.Prompt(
            shared=self._times.reading(model_name, shared_tokens),
            own=self._times.reading(model_name, own_tokens),
            urgent=attempt_facts.is_urgent(job, model_index),
            target=job.route.target,
        )

    def _outgoing(
        self, job: job_module.Job, chosen: choice_module.Choice
    ) -> sender_module.Outgoing:
        incoming = job.incoming
        attempt = wire.AttemptFacts(
            replica_id=chosen.replica.entry.replica_id,
            time_left=self.time_left(job),
            team=job.team.name if job.team else None,
            urgency=attempt_facts.urgency(job),
            model=attempt_facts.model_name(job),
            last_event_id=job.last_event_id,
        )
        return sender_module.Outgoing(
            request_id=incoming.facts.request_id,
            method=incoming.method,
            target=incoming.target,
            host=incoming.host,
            headers=self._wire_format.attempt_headers(incoming.facts, attempt),
            body=incoming.body,
            repeatable=job.route.repeatable,
            reading=_reading(job, chosen.forecast),
        )


def _reading(
    job: job_module.Job, forecast: choice_module.Forecast | None
) -> backlog.Reading | None:
    if forecast is None:
        return None
    return backlog.Reading(
        time=forecast.reading, urgent=attempt_facts.is_urgent(job)
    )


def _logged(forecast: choice_module.Forecast | None) -> dict[str, float]:
    """Returns what a choice of replica rested on, for the log."""
    if forecast is None:
        return {}
    return {
        "waiting_ms": round(forecast.waiting / _MILLISECOND),
        "reading_ms": round(forecast.reading / _MILLISECOND),
        "kept": forecast.kept,
    }


def _may_run_again(job: job_module.Job) -> bool:
    return job.route.repeatable and job.runs < job.route.attempts
