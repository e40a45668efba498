"""Prepares each attempt from the current configuration and replicas."""

import datetime

import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import admission as admission_module
from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import completion as completion_module
from nutmeghook.internal.relay import crash_detector
from nutmeghook.internal.relay import current_routes
from nutmeghook.internal.relay import expected_times
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import planned_stop
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.relay import retry_permission
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import backlog
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.upstream import sender as sender_module
from nutmeghook.internal.version_plans import view as view_module

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Callers wait for a third of their remaining time at most.
_MAX_WAIT_SHARE = 3


class AttemptPlanner:
    """Chooses where the next attempt of a request goes."""

    __slots__ = (
        "_admission",
        "_budgets",
        "_clock",
        "_completion",
        "_configuration",
        "_crashes",
        "_gate",
        "_metrics",
        "_permission",
        "_routes",
        "_search",
        "_stop",
        "_versions",
        "_wire_format",
    )

    def __init__(
        self,
        *,
        configuration: in_force_module.ConfigurationInForce,
        routes: current_routes.CurrentRoutes,
        permission: retry_permission.RetryPermission,
        admission: admission_module.TeamAdmission,
        crashes: crash_detector.CrashDetector,
        search: replica_search.ReplicaSearch,
        completion: completion_module.CompletionForecast,
        stop: planned_stop.PlannedStop,
        gate: send_gate.SendGate,
        versions: view_module.VersionView,
        budgets: window_budget.WindowRetryBudgets,
        wire_format: wire.WireFormat,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._configuration = configuration
        self._routes = routes
        self._permission = permission
        self._admission = admission
        self._crashes = crashes
        self._search = search
        self._completion = completion
        self._stop = stop
        self._gate = gate
        self._versions = versions
        self._budgets = budgets
        self._wire_format = wire_format
        self._metrics = metrics
        self._clock = clock

    def prepare(self, job: job_module.Job) -> prepared_module.PreparedAttempt:
        """Returns the next attempt: the one permitted before, if there is one.

        Raises:
            rejections.RejectedError: There is to be no further attempt.
        """
        grant, job.grant = job.grant or self._choose_attempt(job), None
        job.service = grant.service
        chosen = grant.choice
        replica = chosen.replica
        first = not job.tries
        if first:
            self._crashes.note_sent(job)
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
        expected = self._completion.expected(job, chosen)
        logs.note(
            "attempt:sent",
            request=job.log_id,
            replica=replica.entry.replica_id,
            version=replica.entry.version,
            session=_logged_session(session),
            model=attempt_facts.model_name(job),
            configuration=self._configuration.current.version,
            in_flight=replica.in_flight,
            after_event=job.last_event_id,
            attempt=job.tries,
            rate_limit_per_s=replica.rate_limit_per_s,
            **_logged(chosen.forecast),
            **_logged_times(expected),
        )
        return prepared_module.PreparedAttempt(
            replica=replica,
            outgoing=self._outgoing(job, chosen),
            sent_at=self._clock.monotonic(),
            route=job.route,
            model=attempt_facts.model_name(job) or "",
            forecast=chosen.forecast,
            after_event=job.last_event_id,
            expected=expected,
            begins_at_once=replica.has_free_slot(),
        )

    def _choose_attempt(self, job: job_module.Job) -> job_module.Grant:
        """Returns where an attempt goes that was not permitted before."""
        self._permission.reject_quarantined(job)
        may_have_run = job.may_have_run
        service = self._routes.service_for(job, may_have_run=may_have_run)
        if not job.tries:
            self._admission.require_room(job, service)
        chosen = self._search.best(job, service, may_have_run=may_have_run)
        if chosen is not None:
            chosen = self._require_end_in_time(job, service, chosen)
            self._require_end_before_stop(job, chosen)
            if not job.tries:
                self._admission.note_sent(job, service)
            return job_module.Grant(service=service, choice=chosen)
        if self._permission.try_fall_back(job):
            return job.grant
        raise self._permission.final_rejection(
            job,
            reason="no replica can take it",
            room_at=self._note_held_back(job, service),
        )

    def _require_end_in_time(
        self,
        job: job_module.Job,
        service: str,
        chosen: choice_module.Choice,
    ) -> choice_module.Choice:
        """Returns where a request's first attempt may end in time.

        That is the chosen replica, or another one if the choice was made only
        to confirm a replica's limit.

        Models of which too little is known are not counted, or a model that is
        never chosen would let every request pass.

        Raises:
            rejections.RejectedError: By no model of its route that is known.
        """
        if job.tries:
            return chosen
        shortest = self._completion.hopeless(job, chosen)
        if shortest is None:
            return chosen
        for index in (job.model_index, *attempt_facts.other_models(job)):
            if not self._completion.is_known(job, index):
                continue
            other = self._search.for_model(job, service, index, confirms=False)
            if other is None:
                continue
            expected = self._completion.hopeless(job, other, model_index=index)
            if expected is None:
                return other if index == job.model_index else chosen
            shortest = min(shortest, expected, key=lambda times: times.whole)
        raise self._cannot_end(job, shortest)

    def _require_end_before_stop(
        self, job: job_module.Job, chosen: choice_module.Choice
    ) -> None:
        """Checks that a request is likely to end before this instance does.

        Raises:
            rejections.RejectedError: It is not.
        """
        if self._stop.ends_at is None or self._stop.allows(
            deadline=job.deadline,
            expected=self._completion.expected(job, chosen),
            target=job.route.target,
            may_have_run=job.may_have_run,
        ):
            return
        reason = "it can't end before this instance stops"
        if job.may_have_run:
            raise self._permission.final_rejection(job, reason=reason)
        raise rejections.RejectedError(
            wire.FixedResponse.NOT_RUN,
            reason=reason,
            retry_after=planned_stop.RETRY_AFTER,
            code=codes.Code.DRAINING,
        )

    def _cannot_end(
        self, job: job_module.Job, expected: expected_times.ExpectedTimes
    ) -> rejections.RejectedError:
        """Records and returns the rejection of a request short of time."""
        left = self._permission.time_left(job)
        logs.note(
            "request:cannot_end",
            request=job.log_id,
            expected_ms=round(expected.whole / _MILLISECOND),
            left_ms=round(left / _MILLISECOND),
        )
        self._metrics.add("cannot_end_total", route=job.route.name)
        return rejections.RejectedError(
            wire.FixedResponse.NOT_RUN,
            reason="it can't end in time",
            retry_after=min(
                self._permission.retry_delay(),
                max(left, datetime.timedelta()) / _MAX_WAIT_SHARE,
            ),
        )

    def _note_held_back(
        self, job: job_module.Job, service: str
    ) -> datetime.timedelta | None:
        """Logs which replicas asked for fewer requests, if any.

        Returns:
            When the first of them takes requests again; None if not known.
        """
        held = self._gate.held_back(service)
        if not held:
            return None
        logs.note(
            "request:held_back",
            request=job.log_id,
            service=service,
            replicas=[replica.replica_id for replica in held],
            signals=[replica.signal for replica in held],
        )
        for signal in {replica.signal for replica in held}:
            self._metrics.add("requests_held_back_total", signal=signal)
        return min(
            (replica.until for replica in held if replica.until is not None),
            default=None,
        )

    def _outgoing(
        self, job: job_module.Job, chosen: choice_module.Choice
    ) -> sender_module.Outgoing:
        incoming = job.incoming
        attempt = wire.AttemptFacts(
            replica_id=chosen.replica.entry.replica_id,
            time_left=self._permission.time_left(job),
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
            prefill=_prefill(job, chosen.forecast),
            send_slot=self._gate.reserve(chosen.replica),
        )


def _prefill(
    job: job_module.Job, forecast: replica_forecast.Forecast | None
) -> backlog.Prefill | None:
    if forecast is None:
        return None
    return backlog.Prefill(
        time=forecast.prefill, urgent=attempt_facts.is_urgent(job)
    )


def _logged_session(session: str | None) -> str | None:
    """Returns a digest that tells a session's requests apart from others."""
    return None if session is None else xxhash.xxh64_hexdigest(session.encode())


def _logged(forecast: replica_forecast.Forecast | None) -> dict[str, float]:
    """Returns the forecast behind a choice of replica, for the log."""
    if forecast is None:
        return {}
    return {
        "waiting_ms": round(forecast.waiting / _MILLISECOND),
        "reading_ms": round(forecast.prefill / _MILLISECOND),
        "kept": forecast.cached,
        "running": round(forecast.running, 1),
        "slowness": round(forecast.slowness, 2),
    }


def _logged_times(
    expected: expected_times.ExpectedTimes | None,
) -> dict[str, int]:
    """Returns when an attempt is expected to begin and to end, for the log."""
    if expected is None:
        return {}
    return {
        "expected_first_ms": round(expected.first / _MILLISECOND),
        "expected_end_ms": round(expected.whole / _MILLISECOND),
    }
