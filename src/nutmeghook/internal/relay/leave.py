"""Leave for attempts: whether, and where, another one may be made."""

from collections.abc import Callable
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import logs
from nutmeghook.internal.relay import crash_watch
from nutmeghook.internal.relay import followed_routes
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.upstream import outcomes

# Attempts of any outcome. Refusals cost little, but a request that several
# replicas refused is better sent back than tried on all of a large fleet.
MAX_TRIES = 6
# When a refused caller is to come back, spread so that those refused together
# don't return together. Callers follow it up to a third of their time left.
_EARLIEST_RETURN_S = 0.25
_LATEST_RETURN_S = 0.75


class AttemptLeave:
    """Grants further attempts, each with all that it needs."""

    __slots__ = (
        "_budgets",
        "_clock",
        "_crashes",
        "_random",
        "_routes",
        "_search",
    )

    def __init__(
        self,
        *,
        routes: followed_routes.FollowedRoutes,
        search: replica_search.ReplicaSearch,
        budgets: window_budget.WindowRetryBudgets,
        crashes: crash_watch.CrashWatch,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._routes = routes
        self._search = search
        self._budgets = budgets
        self._crashes = crashes
        self._clock = clock
        self._random = random_source

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
        self.stop_quarantined(job)
        may_have_run = isinstance(error, outcomes.UnknownOutcomeError)
        if may_have_run and not _may_run_again(job):
            raise self.given_up(job, reason="its outcome is unknown")
        if job.tries >= MAX_TRIES:
            raise self.given_up(job, reason="too many attempts failed")
        if isinstance(error, outcomes.AbandonedError):
            return
        was_sent = not isinstance(error, outcomes.NotSentError)
        if not self._try_follow(job, was_sent=was_sent):
            raise self.given_up(job, reason="the retry budget is spent")

    def stop_quarantined(self, job: job_module.Job) -> None:
        """Ends a request under which replicas end, before its next attempt.

        It gets no attempt, whatever its route and the budget allow, but for the
        one of a copy that is sent on trial.

        Raises:
            rejections.RejectedError: It is quarantined.
        """
        if not self._crashes.is_quarantined(job):
            return
        if self._crashes.is_probe_due(job):
            return
        reason = "replicas end under this request"
        if job.possibly_run:
            raise self.given_up(job, reason=reason)
        raise rejections.RejectedError(
            wire.FixedResponse.NOT_RUN,
            code=codes.Code.QUARANTINED,
            reason=reason,
            retry_after=self._crashes.refused_for(job),
        )

    def try_move(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        *,
        is_dark: bool,
    ) -> bool:
        """Takes leave to go on at another replica than the one at work.

        The attempt is granted whole, replica included, before the work under
        way is given up, since it may go on and end well; `prepare` asks nothing
        again.

        Args:
            job: The request.
            prepared: The attempt at work.
            is_dark: Its replica is gone, so that there is no way back to it.
        """
        way_back = job.way_back
        replica_id = prepared.replica.entry.replica_id
        if is_dark and way_back and way_back.replica_id == replica_id:
            self.forget_way_back(job)
        return job.route.repeatable and self._try_grant(
            job,
            lambda service: self._search.untried(job, service),
            left=None if is_dark else prepared,
        )

    def try_repeat(
        self, job: job_module.Job, prepared: prepared_module.Prepared
    ) -> bool:
        """Takes leave to send a request again, to the same replica at last.

        The answer may have been lost, and then its replica is as good as any.
        """
        return job.route.repeatable and self._try_grant(
            job,
            lambda service: self._search.best(job, service, may_have_run=True),
            left=prepared,
        )

    def try_larger(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        model_index: int,
    ) -> bool:
        """Takes leave to drop an answer for a larger model's.

        The dropped answer is a run, so a request that may run only once keeps
        it, however weak it is.
        """
        return job.route.repeatable and self._try_grant(
            job,
            lambda service: self._search.for_model(job, service, model_index),
            left=prepared,
        )

    def try_again(self, job: job_module.Job) -> bool:
        """Takes leave for an attempt after a replica's own failure."""
        return (
            _may_run_again(job)
            and job.tries < MAX_TRIES
            and self._try_follow(job)
        )

    def _try_follow(
        self, job: job_module.Job, *, was_sent: bool = True
    ) -> bool:
        """Takes leave for an attempt after one that failed.

        The last attempt goes back to the replica that was left, if there is
        one: its work was given up for this.
        """
        is_last = job.tries + 1 >= MAX_TRIES
        if is_last and self.try_go_back(job):
            return True
        if not was_sent or self.try_spend(job):
            return True
        return self.try_go_back(job) or self._try_spend_held(job)

    def _try_spend_held(self, job: job_module.Job) -> bool:
        """Uses leave for a way back that is closed for an attempt elsewhere."""
        way_back = job.way_back
        if way_back is None:
            return False
        service = self._routes.service_for(job, may_have_run=True)
        if service != way_back.service:
            return False
        self._budgets.budget_for(service).spend_held()
        job.way_back = None
        return True

    def _try_grant(
        self,
        job: job_module.Job,
        find: Callable[[str], choice_module.Choice | None],
        *,
        left: prepared_module.Prepared | None,
    ) -> bool:
        """Takes leave for a further attempt while one is at work.

        The replica that is to go on may refuse, with the budget or the tries
        spent by then. So leave to come back to the one that was left is taken
        too, and given back once another one has begun. Leave to go back to an
        earlier one stays while a dark one is left.
        """
        if job.runs + 1 >= job.route.attempts:
            return False
        if self.time_left(job) <= datetime.timedelta():
            return False
        if self._crashes.is_quarantined(job):
            return False
        is_last = job.tries + 1 == MAX_TRIES
        if left is None and is_last and self.try_go_back(job):
            return True
        attempts = 1 if left is None else 2
        if job.tries + attempts > MAX_TRIES:
            return False
        service = self._routes.service_for(job, may_have_run=True)
        chosen = find(service)
        if chosen is None or not self._try_spend_for(job, service, left):
            return False
        job.grant = job_module.Grant(service=service, choice=chosen)
        if left is not None:
            job.way_back = job_module.WayBack(
                service=left.replica.entry.service,
                replica_id=left.replica.entry.replica_id,
                model_index=job.model_index,
            )
        return True

    def _try_spend_for(
        self,
        job: job_module.Job,
        service: str,
        left: prepared_module.Prepared | None,
    ) -> bool:
        """Takes leave for an attempt, and for one that comes back to it.

        Leave for an earlier way back is used for the new one, so that a
        request asks for no more than it needs.
        """
        budget = self._budgets.budget_for(service)
        if left is None:
            return budget.try_spend()
        service_back = left.replica.entry.service
        budget_back = self._budgets.budget_for(service_back)
        former = job.way_back
        is_held = former is not None and former.service == service_back
        if not is_held and not budget_back.try_hold():
            return False
        if not budget.try_spend():
            if not is_held:
                budget_back.give_back()
            return False
        if not is_held:
            self.forget_way_back(job)
        return True

    def try_go_back(self, job: job_module.Job) -> bool:
        """Has a request's next attempt go to the replica that was left."""
        way_back = job.way_back
        if way_back is None:
            return False
        chosen = self._search.way_back(job, way_back)
        if chosen is None:
            return False
        self._budgets.budget_for(way_back.service).spend_held()
        job.way_back = None
        job.model_index = way_back.model_index
        job.grant = job_module.Grant(service=way_back.service, choice=chosen)
        return True

    def forget_way_back(self, job: job_module.Job) -> None:
        """Gives back leave that is no longer needed: another one has begun."""
        if job.way_back is not None:
            self._budgets.budget_for(job.way_back.service).give_back()
            job.way_back = None

    def try_spend(self, job: job_module.Job) -> bool:
        """Takes leave for one more attempt while none is at work.

        A route may have moved meanwhile, and a repeat draws on the budget of
        the service that it goes to.

        Raises:
            rejections.RejectedError: Nothing has run, and the request's route
                or key was taken away.
        """
        service = self._routes.service_for(job, may_have_run=job.possibly_run)
        return self._budgets.budget_for(service).try_spend()

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


def _may_run_again(job: job_module.Job) -> bool:
    return job.route.repeatable and job.runs < job.route.attempts
