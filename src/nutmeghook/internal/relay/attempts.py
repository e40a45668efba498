"""Prepares each attempt from the newest knowledge, and allows repeats."""

import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import logs
from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import backlog
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import sender as sender_module
from nutmeghook.internal.version_plans import view as view_module

# Attempts of any outcome. Refusals cost little, but a request that several
# replicas refused is better sent back than tried on all of a large fleet.
MAX_TRIES = 6
# When a refused caller is to come back, spread so that those refused together
# don't return together. Callers follow it up to a third of their time left.
_EARLIEST_RETURN_S = 0.25
_LATEST_RETURN_S = 0.75
_MILLISECOND = datetime.timedelta(milliseconds=1)


class AttemptPlanner:
    """Chooses where the next attempt of a request goes."""

    __slots__ = (
        "_budgets",
        "_clock",
        "_configuration",
        "_random",
        "_search",
        "_versions",
        "_wire_format",
    )

    def __init__(
        self,
        *,
        configuration: in_force_module.ConfigurationInForce,
        search: replica_search.ReplicaSearch,
        versions: view_module.VersionView,
        budgets: window_budget.WindowRetryBudgets,
        wire_format: wire.WireFormat,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._configuration = configuration
        self._search = search
        self._versions = versions
        self._budgets = budgets
        self._wire_format = wire_format
        self._clock = clock
        self._random = random_source

    def prepare(self, job: job_module.Job) -> prepared_module.Prepared:
        """Returns the next attempt.

        Route and key are looked up again: a request may have waited, or been
        sent before, while the operator took one of them away.

        Raises:
            rejections.RejectedError: There is to be no further attempt.
        """
        route = self._checked_route(job)
        job.service = attempt_facts.service_for(route, job)
        chosen = self._search.best(job)
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
        return prepared_module.Prepared(
            replica=replica,
            outgoing=self._outgoing(job, chosen),
            sent_at=self._clock.monotonic(),
            route=route,
            model=attempt_facts.model_name(job) or "",
            forecast=chosen.forecast,
            after_event=job.last_event_id,
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
            and self._search.untried(job) is not None
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
