"""Admission by priority and deadline, fair among teams.

A request that cannot be served in time, by the measured service rate and the
queue ahead of it, is refused on arrival. One that others overtake is shed as
soon as it can no longer be served in time, and not at its deadline.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.limits import fair_queue
from nutmeghook.internal.limits import retry_after_schedule
from nutmeghook.internal.limits import service_rate
from nutmeghook.internal.limits import token_budget
from nutmeghook.internal.limits import wait_estimate

_ZERO = datetime.timedelta()
_SHED_INTERVAL = datetime.timedelta(milliseconds=100)
# A queue that uses up the whole slack serves each request just before its
# deadline, and then every one that takes longer than expected is wasted work.
# The queue need only be long enough to keep the slots busy.
_SLACK_SHARE = 0.75
DEFAULT_MAX_WAITING = 1000


class FairAdmission(admission.Admission):
    """Slots for running requests, and a queue in front of them."""

    __slots__ = (
        "_budgets",
        "_clock",
        "_estimate",
        "_limit",
        "_max_waiting",
        "_queue",
        "_rate",
        "_retry_schedule",
        "_running",
        "_shed_at",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        randomness: random.Random,
        limit: concurrency_limit.ConcurrencyLimit,
        budgets: token_budget.TokenBudgets,
        guaranteed_share: float = fair_queue.DEFAULT_GUARANTEED_SHARE,
        max_waiting: int = DEFAULT_MAX_WAITING,
    ):
        """Starts with all slots free.

        Args:
            clock: Deadlines are on its monotonic time.
            randomness: Jitter for the Retry-After of refused callers.
            limit: How many requests may run at once.
            budgets: The templates' token budgets.
            guaranteed_share: Share of the work picked by fairness alone.
            max_waiting: Bounds the memory; deadlines usually bound the queue
                before that.
        """
        if max_waiting < 1:
            raise ValueError(f"max_waiting is {max_waiting}; give 1 or more")
        self._clock = clock
        self._limit = limit
        self._budgets = budgets
        self._max_waiting = max_waiting
        self._queue = fair_queue.FairQueue(guaranteed_share=guaranteed_share)
        self._rate = service_rate.ServiceRate()
        self._estimate = wait_estimate.WaitEstimate(
            queue=self._queue, limit=limit, rate=self._rate
        )
        self._retry_schedule = retry_after_schedule.RetryAfterSchedule(
            clock=clock, randomness=randomness
        )
        self._running = 0
        self._shed_at = _ZERO

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @contextlib.asynccontextmanager
    async def admitted(
        self, request: admission.AdmissionRequest
    ) -> AsyncIterator[None]:
        """Holds a slot while the request runs."""
        await self._acquire_slot(admission.checked(request))
        started = self._clock.monotonic()
        completed = False
        try:
            yield
            completed = True
        finally:
            self._rate.note(
                cost_tokens=request.cost_tokens,
                duration=self._clock.monotonic() - started,
                completed=completed,
            )
            self._release_slot()

    def note_service(
        self,
        *,
        duration: datetime.timedelta,
        overloaded: bool,
        work_tokens: int = 1,
    ) -> None:
        """Records how long an attempt ran, or that it was refused."""
        self._limit.note(
            duration=duration,
            overloaded=overloaded,
            work_tokens=work_tokens,
            running=self._running,
        )
        self._dispatch()

    def reconcile(
        self, request: admission.AdmissionRequest, *, used_tokens: int
    ) -> None:
        """Replaces an admitted request's estimated cost by what it used."""
        extra_tokens = used_tokens - request.cost_tokens
        self._budgets.charge(request, extra_tokens)
        self._queue.correct(request.team, extra_tokens)

    async def _acquire_slot(self, request: admission.AdmissionRequest) -> None:
        now = self._clock.monotonic()
        if now >= request.deadline:
            raise self._refusal(
                codes.Code.DEADLINE_BEFORE_RUN, request, "on arrival"
            )
        self._budgets.check(request, retry_schedule=self._retry_schedule)
        if self._running < self._limit.slots and not self._queue:
            # Without a queue the estimate is not used: after a brown-out it is
            # too high, and only requests that run can correct it.
            self._queue.charge(request)
            self._running += 1
            self._budgets.charge(request, request.cost_tokens)
            return
        ticket = self._enqueue(request, now)
        self._budgets.charge(request, request.cost_tokens)
        try:
            await self._wait(ticket, now)
        except BaseException:
            self._budgets.charge(request, -request.cost_tokens)
            raise

    def _enqueue(
        self, request: admission.AdmissionRequest, now: datetime.timedelta
    ) -> fair_queue.Ticket:
        slack = self._estimate.latest_start(request) - now
        latest_start = now + _SLACK_SHARE * slack
        if now + self._estimate.expected_wait(request) > latest_start:
            raise self._refusal(
                codes.Code.OVERLOADED, request, "it could not end in time"
            )
        if len(self._queue) >= self._max_waiting:
            self._make_room(request)
        ticket = fair_queue.Ticket(
            request=request,
            verdict=asyncio.get_running_loop().create_future(),
            latest_start=latest_start,
        )
        self._queue.push(ticket)
        self._dispatch()
        return ticket

    async def _wait(
        self, ticket: fair_queue.Ticket, now: datetime.timedelta
    ) -> None:
        try:
            verdict = await self._clock.wait_for(
                asyncio.shield(ticket.verdict), ticket.latest_start - now
            )
        except TimeoutError:
            verdict = self._verdict_after_timeout(ticket)
        except BaseException:
            self._abandon(ticket)
            raise
        if verdict is fair_queue.Verdict.TOO_LATE:
            raise self._refusal(
                codes.Code.DEADLINE_BEFORE_RUN,
                ticket.request,
                "it waited until it could no longer end in time",
            )
        if verdict is fair_queue.Verdict.SHED:
            raise self._refusal(
                codes.Code.OVERLOADED, ticket.request, "it was overtaken"
            )

    def _verdict_after_timeout(
        self, ticket: fair_queue.Ticket
    ) -> fair_queue.Verdict:
        if ticket.verdict.done():
            return ticket.verdict.result()
        self._queue.remove(ticket)
        return fair_queue.Verdict.TOO_LATE

    def _abandon(self, ticket: fair_queue.Ticket) -> None:
        """Frees what a cancelled request holds: its queue entry or its slot.

        The slot may have been given in the same iteration of the event loop in
        which the caller disconnected. Otherwise it would be leaked, and each
        such caller would leave the instance with one slot fewer.
        """
        if not ticket.verdict.done():
            self._queue.remove(ticket)
            ticket.verdict.cancel()
        elif ticket.verdict.result() is fair_queue.Verdict.RUN:
            self._release_slot()

    def _release_slot(self) -> None:
        self._running -= 1
        self._dispatch()

    def _dispatch(self) -> None:
        now = self._clock.monotonic()
        while self._queue and self._running < self._limit.slots:
            ticket = self._queue.pop()
            if ticket.latest_start < now:
                self._queue.correct(
                    ticket.request.team, -ticket.request.cost_tokens
                )
                ticket.verdict.set_result(fair_queue.Verdict.TOO_LATE)
                continue
            self._running += 1
            ticket.verdict.set_result(fair_queue.Verdict.RUN)
        self._shed_unservable(now)

    def _make_room(self, request: admission.AdmissionRequest) -> None:
        """Sheds the newest of lowest priority, or refuses the request."""
        lowest = self._queue.newest_tickets()[0]
        if lowest.request.priority >= request.priority:
            raise self._refusal(
                codes.Code.OVERLOADED, request, "the queue is full"
            )
        self._shed(lowest)

    def _shed_unservable(self, now: datetime.timedelta) -> None:
        """Sheds requests that can no longer be served in time.

        Of each team and priority the newest is shed first: it has the most
        work ahead of it, and shedding it shortens the wait of the others.
        """
        if now < self._shed_at or not self._queue:
            return
        self._shed_at = now + _SHED_INTERVAL
        for newest in self._queue.newest_tickets():
            ticket: fair_queue.Ticket | None = newest
            while ticket is not None and self._is_unservable(ticket, now):
                self._shed(ticket)
                ticket = self._queue.newest_like(ticket.request)

    def _is_unservable(
        self, ticket: fair_queue.Ticket, now: datetime.timedelta
    ) -> bool:
        """Tells whether the newest of its team and priority is too late."""
        self._queue.remove(ticket)
        wait = self._estimate.expected_wait(ticket.request)
        self._queue.push(ticket)
        return now + wait > min(
            ticket.latest_start, self._estimate.latest_start(ticket.request)
        )

    def _shed(self, ticket: fair_queue.Ticket) -> None:
        self._queue.remove(ticket)
        ticket.verdict.set_result(fair_queue.Verdict.SHED)

    def _refusal(
        self,
        code: codes.Code,
        request: admission.AdmissionRequest,
        reason: str,
    ) -> errors.CodedError:
        retry_after = self._retry_schedule.next_retry_after(
            team=request.team,
            cost_tokens=request.cost_tokens,
            tokens_per_s=self._estimate.team_tokens_per_s(request),
            earliest=self._estimate.expected_wait(request),
        )
        return errors.CodedError(
            code=code,
            detail=f"{code.meaning} ({reason})",
            retry_after=retry_after,
        )
