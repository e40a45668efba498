"""Permits further attempts: whether, and where, another one is made."""

from collections.abc import Callable
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import logs
from nutmeghook.internal.relay import completion as completion_module
from nutmeghook.internal.relay import crash_detector
from nutmeghook.internal.relay import current_routes
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.upstream import outcomes

# Attempts of any outcome. Refusals cost little, but a request that several
# replicas refused is better rejected than tried on all of a large fleet.
MAX_TRIES = 6
# Retry-After of a rejected caller, with jitter so that callers rejected
# together do not return together. Callers wait for a third of their remaining
# time at most.
_MIN_RETRY_DELAY_S = 0.25
_MAX_RETRY_DELAY_S = 0.75


class RetryPermission:
    """Decides whether a request may make a further attempt."""

    __slots__ = (
        "_budgets",
        "_clock",
        "_completion",
        "_crashes",
        "_random",
        "_routes",
        "_search",
    )

    def __init__(
        self,
        *,
        routes: current_routes.CurrentRoutes,
        search: replica_search.ReplicaSearch,
        completion: completion_module.CompletionForecast,
        budgets: window_budget.WindowRetryBudgets,
        crashes: crash_detector.CrashDetector,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._routes = routes
        self._search = search
        self._completion = completion
        self._budgets = budgets
        self._crashes = crashes
        self._clock = clock
        self._random = random_source

    def require_retry(
        self, job: job_module.Job, error: outcomes.AttemptError
    ) -> None:
        """Checks that another attempt may follow a failed one.

        Raises:
            rejections.RejectedError: No further attempt is permitted.
        """
        job.note_failure(error)
        logs.note(
            "attempt:failed",
            request=job.log_id,
            attempt=job.tries,
            outcome=type(error).__name__,
            error=str(error),
        )
        self.reject_quarantined(job)
        may_have_run = isinstance(error, outcomes.UnknownOutcomeError)
        if may_have_run and not _may_run_again(job):
            raise self.final_rejection(job, reason="its outcome is unknown")
        if job.tries >= MAX_TRIES:
            raise self.final_rejection(job, reason="too many attempts failed")
        if isinstance(error, outcomes.AbandonedError):
            return
        self._require_rest_in_time(job)
        was_sent = not isinstance(error, outcomes.NotSentError)
        if not self._try_next_attempt(job, was_sent=was_sent):
            raise self.final_rejection(job, reason="the retry budget is spent")

    def _require_rest_in_time(self, job: job_module.Job) -> None:
        """Checks that a stream that has begun can end in time elsewhere.

        Raises:
            rejections.RejectedError: Its remainder can't.
        """
        if not job.sink.begun or not self._completion.applies_to(job.service):
            return
        chosen = self._search.best(job, job.service, may_have_run=True)
        if chosen is not None and self._completion.hopeless(job, chosen):
            raise self.final_rejection(job, reason="the rest can't end in time")

    def _if_in_time(
        self,
        job: job_module.Job,
        chosen: choice_module.Choice | None,
        *,
        is_unreachable: bool,
    ) -> choice_module.Choice | None:
        """Returns a choice if work may be abandoned for it, or None."""
        if chosen is None or not self._completion.may_move(
            job, chosen, is_unreachable=is_unreachable
        ):
            return None
        return chosen

    def reject_quarantined(self, job: job_module.Job) -> None:
        """Rejects a request that crashes replicas, before its next attempt.

        It gets no attempt, whatever its route and the budget allow, except for
        one copy that is sent as a probe.

        Raises:
            rejections.RejectedError: It is quarantined.
        """
        if not self._crashes.is_quarantined(job):
            return
        if self._crashes.is_probe_due(job):
            return
        reason = "replicas end under this request"
        if job.may_have_run:
            raise self.final_rejection(job, reason=reason)
        raise rejections.RejectedError(
            wire.FixedResponse.NOT_RUN,
            code=codes.Code.QUARANTINED,
            reason=reason,
            retry_after=self._crashes.refused_for(job),
        )

    def try_move(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        *,
        is_unreachable: bool,
    ) -> bool:
        """Permits moving from a silent replica to another one.

        The next attempt is permitted and its replica chosen before the one
        under way is abandoned, since that may still succeed; `prepare` checks
        nothing again.

        Args:
            job: The request.
            prepared: The attempt under way.
            is_unreachable: Its replica does not respond, so it is no fallback.
        """
        fallback = job.fallback
        replica_id = prepared.replica.entry.replica_id
        if is_unreachable and fallback and fallback.replica_id == replica_id:
            self.release_fallback(job)
        return job.route.repeatable and self._try_grant(
            job,
            lambda service: self._if_in_time(
                job,
                self._search.untried(job, service),
                is_unreachable=is_unreachable,
            ),
            abandoned=None if is_unreachable else prepared,
        )

    def try_resend(
        self, job: job_module.Job, prepared: prepared_module.PreparedAttempt
    ) -> bool:
        """Permits sending a request again, to the same replica if need be.

        The answer may have been lost, and then its replica is as good as any.
        """
        return job.route.repeatable and self._try_grant(
            job,
            lambda service: self._if_in_time(
                job,
                self._search.best(job, service, may_have_run=True),
                is_unreachable=False,
            ),
            abandoned=prepared,
        )

    def try_larger(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        model_index: int,
    ) -> bool:
        """Permits dropping an answer for a larger model's.

        The dropped answer counts as a run, so a request that may run only once
        keeps it, however low its confidence.
        """
        return job.route.repeatable and self._try_grant(
            job,
            lambda service: self._search.for_model(job, service, model_index),
            abandoned=prepared,
        )

    def try_retry(self, job: job_module.Job) -> bool:
        """Permits an attempt after a replica's own failure."""
        return (
            _may_run_again(job)
            and job.tries < MAX_TRIES
            and self._try_next_attempt(job)
        )

    def _try_next_attempt(
        self, job: job_module.Job, *, was_sent: bool = True
    ) -> bool:
        """Permits an attempt after one that failed.

        The last attempt goes to the fallback replica, if there is one: its work
        was abandoned for the attempt that failed.
        """
        is_last = job.tries + 1 >= MAX_TRIES
        if is_last and self.try_fall_back(job):
            return True
        if not was_sent or self.try_spend(job):
            return True
        return self.try_fall_back(job) or self._try_spend_reserved(job)

    def _try_spend_reserved(self, job: job_module.Job) -> bool:
        """Uses an unusable fallback's reserved retry at another replica."""
        fallback = job.fallback
        if fallback is None:
            return False
        service = self._routes.service_for(job, may_have_run=True)
        if service != fallback.service:
            return False
        self._budgets.budget_for(service).spend_reserved()
        job.fallback = None
        return True

    def _try_grant(
        self,
        job: job_module.Job,
        find: Callable[[str], choice_module.Choice | None],
        *,
        abandoned: prepared_module.PreparedAttempt | None,
    ) -> bool:
        """Permits a further attempt while one is under way.

        The next replica may refuse when the budget or the attempts are used up.
        So a retry is also reserved for falling back to the abandoned replica,
        and released once another one begins to answer. If the abandoned
        replica is unreachable, the reservation for an earlier fallback stays.
        """
        if job.runs + 1 >= job.route.attempts:
            return False
        if self.time_left(job) <= datetime.timedelta():
            return False
        if self._crashes.is_quarantined(job):
            return False
        is_last = job.tries + 1 == MAX_TRIES
        if abandoned is None and is_last and self.try_fall_back(job):
            return True
        attempts = 1 if abandoned is None else 2
        if job.tries + attempts > MAX_TRIES:
            return False
        service = self._routes.service_for(job, may_have_run=True)
        chosen = find(service)
        if chosen is None or not self._try_spend_with_fallback(
            job, service, abandoned
        ):
            return False
        job.grant = job_module.Grant(service=service, choice=chosen)
        if abandoned is not None:
            job.fallback = job_module.FallbackReplica(
                service=abandoned.replica.entry.service,
                replica_id=abandoned.replica.entry.replica_id,
                model_index=job.model_index,
            )
        return True

    def _try_spend_with_fallback(
        self,
        job: job_module.Job,
        service: str,
        abandoned: prepared_module.PreparedAttempt | None,
    ) -> bool:
        """Spends a retry, and reserves one for falling back.

        The reservation for an earlier fallback is reused, so that a request
        reserves no more than it needs.
        """
        budget = self._budgets.budget_for(service)
        if abandoned is None:
            return budget.try_spend()
        fallback_service = abandoned.replica.entry.service
        fallback_budget = self._budgets.budget_for(fallback_service)
        previous = job.fallback
        is_reserved = (
            previous is not None and previous.service == fallback_service
        )
        if not is_reserved and not fallback_budget.try_reserve():
            return False
        if not budget.try_spend():
            if not is_reserved:
                fallback_budget.release_reserved()
            return False
        if not is_reserved:
            self.release_fallback(job)
        return True

    def try_fall_back(self, job: job_module.Job) -> bool:
        """Sends the next attempt to the fallback replica, if possible."""
        fallback = job.fallback
        if fallback is None:
            return False
        chosen = self._search.fallback(job, fallback)
        if chosen is None:
            return False
        self._budgets.budget_for(fallback.service).spend_reserved()
        job.fallback = None
        job.model_index = fallback.model_index
        job.grant = job_module.Grant(service=fallback.service, choice=chosen)
        return True

    def release_fallback(self, job: job_module.Job) -> None:
        """Releases the retry reserved for a fallback no longer needed."""
        if job.fallback is not None:
            self._budgets.budget_for(job.fallback.service).release_reserved()
            job.fallback = None

    def try_spend(self, job: job_module.Job) -> bool:
        """Spends a retry while no attempt is under way.

        The route may have moved meanwhile; the budget is that of the service
        that the retry goes to.

        Raises:
            rejections.RejectedError: Nothing has run, and the request's route
                was removed or its key revoked.
        """
        service = self._routes.service_for(job, may_have_run=job.may_have_run)
        return self._budgets.budget_for(service).try_spend()

    def final_rejection(
        self,
        job: job_module.Job,
        *,
        reason: str,
        room_at: datetime.timedelta | None = None,
    ) -> rejections.RejectedError:
        """Returns the rejection of a request that gets no further attempt.

        Args:
            job: The request.
            reason: For logs.
            room_at: Monotonic time at which a replica is expected to take
                requests again; None if that is not known.
        """
        if job.may_have_run:
            return rejections.RejectedError(
                wire.FixedResponse.FAILED_PERHAPS_RUN, reason=reason
            )
        return rejections.RejectedError(
            wire.FixedResponse.NOT_RUN,
            reason=reason,
            retry_after=self.retry_delay(room_at),
        )

    def retry_delay(
        self, room_at: datetime.timedelta | None = None
    ) -> datetime.timedelta:
        """Returns the Retry-After of a rejected caller.

        Args:
            room_at: Monotonic time before which it would be rejected again.
        """
        delay = datetime.timedelta(
            seconds=self._random.uniform(_MIN_RETRY_DELAY_S, _MAX_RETRY_DELAY_S)
        )
        now = self._clock.monotonic()
        return delay if room_at is None else delay + max(room_at, now) - now

    def time_left(self, job: job_module.Job) -> datetime.timedelta:
        """Returns the time until the request's deadline."""
        return job.deadline - self._clock.monotonic()


def _may_run_again(job: job_module.Job) -> bool:
    return job.route.repeatable and job.runs < job.route.attempts
