"""One stage of a request: version, backend server, attempts until one ends."""

import datetime
import functools
import random

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import attempts as attempts_module
from nutmeghook.internal.dispatch import callers
from nutmeghook.internal.dispatch import consumers
from nutmeghook.internal.dispatch import engine_ends
from nutmeghook.internal.dispatch import hedge
from nutmeghook.internal.dispatch import leave as leave_module
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.dispatch import spent
from nutmeghook.internal.dispatch import stage_calls
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission as admission_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends as backends_module
from nutmeghook.internal.routing import versions as versions_module

MAX_CHOICES_PER_SEND = 3
FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=10)
RETRY_WITHOUT_BACKEND = datetime.timedelta(seconds=1)


class StageRunner:
    """Runs stages, retrying and hedging within bounds."""

    __slots__ = (
        "_attempts",
        "_backends",
        "_clock",
        "_config",
        "_ends",
        "_events",
        "_leave",
        "_meter",
        "_random",
        "_versions",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        config: view_module.ConfigView,
        versions: versions_module.VersionChooser,
        backends: backends_module.BackendChooser,
        attempts: attempts_module.AttemptRunner,
        ends: engine_ends.EngineEnds,
        retry_budgets: admission_module.RetryBudgets,
        events: events_module.EventRing,
        meter: meter_module.Meter,
        random_source: random.Random,
    ):
        self._clock = clock
        self._config = config
        self._ends = ends
        self._leave = leave_module.AttemptLeave(
            config=config,
            versions=versions,
            backends=backends,
            retry_budgets=retry_budgets,
            ends=ends,
        )
        self._versions = versions
        self._backends = backends
        self._attempts = attempts
        self._events = events
        self._meter = meter
        self._random = random_source

    async def run(self, call: stage_calls.StageCall) -> answers.GeneratedAnswer:
        """Returns the stage's whole answer.

        Raises:
            errors.CodedError: There is none, and no more attempts are left.
        """
        try:
            return await self._until_answered(call)
        except BaseException:
            if not call.progress.relayed:
                self._give_back(call)
            raise
        finally:
            self._forget_way_back(call)

    async def _until_answered(
        self, call: stage_calls.StageCall
    ) -> answers.GeneratedAnswer:
        while True:
            backend, call.granted = call.granted, None
            if backend is None:
                backend = await self._next_backend(call)
            try:
                answer = await self._answer_from(call, backend)
                self._ends.note_answered(call.request)
                return answer
            except attempts_module.AttemptError as error:
                call.failed_attempts += 1
                withheld = error.withheld
                if call.granted is None:
                    await self._allow_retry(call, error)
                self._note_repeat(call, str(error), hedged=False)
            except consumers.TextMismatchError as error:
                raise errors.CodedError(
                    code=codes.Code.BACKEND_FAILED,
                    detail="the backend server was lost in mid-answer and"
                    " another one's answer is worded otherwise",
                ) from error
            if not withheld:
                call.tried.add(backend.address)
            call.consumer = call.consumer.for_repeat(
                functools.partial(self._forget_way_back, call)
            )

    async def _answer_from(
        self, call: stage_calls.StageCall, backend: backends_module.Backend
    ) -> answers.GeneratedAnswer:
        """Returns the answer of a backend server, or of the one left for it.

        The failure: an engine couldn't be reached for a moment, and was left
        for another one with the last of the retry budget. That one refused,
        and the caller's answer was cut, though the first was back and had it.
        So the attempt that was left is kept until the other one has begun,
        and is resumed if that never does. A resume is no further run, so it
        needs no leave. After an answer that is worded otherwise it is the
        last resort: yet another engine's would hardly fit.
        """
        try:
            last = await self._send(call, backend)
            return stage_calls.answer(call, last)
        except (
            attempts_module.AttemptError,
            consumers.TextMismatchError,
        ) as error:
            way_back = call.way_back
            if call.granted is not None or way_back is None:
                raise
            self._events.record(
                events_module.EventKind.REQUEST_RETRIED,
                call.request.request_id,
                reason=str(error) or "worded otherwise",
            )
            if isinstance(error, consumers.TextMismatchError):
                call.failed_attempts = leave_module.MAX_ATTEMPTS_PER_STAGE
        call.tried.add(backend.address)
        call.way_back = None
        call.consumer = way_back.consumer
        last = await self._run(call, way_back.attempt, way_back.consumer)
        return stage_calls.answer(call, last)

    async def _next_backend(
        self, call: stage_calls.StageCall
    ) -> backends_module.Backend:
        """Returns where an attempt goes that was not granted before."""
        await self._settle_choice(call)
        callers.check_token(self._config, call.request, call.progress)
        self._ends.check(call.request, call.progress)
        if not call.failed_attempts:
            # Of each stage: it is one more first attempt at its model.
            self._leave.budget(call).note_request()
        backend = self._choose_backend(call)
        if not call.progress.attempts:
            self._ends.note_sent(call.request)
        return backend

    async def _settle_choice(self, call: stage_calls.StageCall) -> None:
        """Leaves a version in the call that may be sent to right now.

        A request can wait (for admission, a backend server, a retry) while
        its version is withdrawn. So the choice is checked against the newest
        configuration just before each send, and made anew where it failed;
        but not once the caller has text: another version's may not follow.
        """
        for _ in range(MAX_CHOICES_PER_SEND):
            template = self._leave.template_now(call)
            if call.choice is None:
                call.choice = await self._versions.choose(
                    template=template,
                    stage_index=min(call.stage_index, len(template.stages) - 1),
                    session=call.request.session,
                    request_id=call.request.request_id,
                )
                call.consumer = call.consumer_for(call.choice.model_version)
            try:
                self._leave.check_version(call)
                return
            except errors.CodedError:
                if call.progress.relayed:
                    raise
                self._give_back(call)
        raise errors.CodedError(
            code=codes.Code.NO_CANDIDATE,
            detail="each version chosen was withdrawn before it was sent to",
            retry_after=RETRY_WITHOUT_BACKEND,
        )

    def _give_back(self, call: stage_calls.StageCall) -> None:
        """Takes back a choice of which no text has left this instance.

        The failure: leave for an answer that nobody got is never rated, so
        it counts as unrated until it is written off, and the roll-out waits.
        A choice is one answer's leave, however many attempts and hedges it
        takes; so it goes back once, when none of them gave the answer.
        """
        if call.choice is not None:
            self._versions.release(
                template=call.request.template, choice=call.choice
            )
            call.choice = None

    def _choose_backend(
        self, call: stage_calls.StageCall
    ) -> backends_module.Backend:
        backend = self._backends.choose(stage_calls.backend_criteria(call))
        if backend is None and call.tried:
            # In a small pool all may have refused once; a refusal passes.
            call.tried.clear()
            backend = self._backends.choose(stage_calls.backend_criteria(call))
        if backend is None:
            raise errors.CodedError(
                code=codes.Code.NO_CANDIDATE,
                detail=f"{call.choice.model_version} has no backend server"
                " that can take work",
                retry_after=RETRY_WITHOUT_BACKEND,
            )
        return backend

    async def _send(
        self, call: stage_calls.StageCall, backend: backends_module.Backend
    ) -> engine.Chunk:
        hedge_after_ms = call.request.template.hedge_after_ms
        if not hedge_after_ms or call.progress.relayed or call.tried:
            return await self._attempt(call, backend, call.consumer)
        return await hedge.run_hedged(
            clock=self._clock,
            hedge_after=datetime.timedelta(milliseconds=hedge_after_ms),
            consumer=call.consumer,
            first=functools.partial(self._attempt, call, backend),
            second=functools.partial(self._second_attempt, call, backend),
        )

    def _second_attempt(
        self,
        call: stage_calls.StageCall,
        first: backends_module.Backend,
        consumer: consumers.Consumer,
    ) -> hedge.LaneWork | None:
        """Starts a hedge on another backend server, if that may be.

        What an engine has ended under is not given to two at a time.
        """
        if self._ends.is_suspect(call.request):
            return None
        backend = self._leave.try_beside(call, first)
        if backend is None:
            return None
        self._note_repeat(call, "hedge", hedged=True)
        return self._attempt(call, backend, consumer)

    async def _attempt(
        self,
        call: stage_calls.StageCall,
        backend: backends_module.Backend,
        consumer: consumers.Consumer,
    ) -> engine.Chunk:
        request = call.request
        attempt = attempts_module.Attempt(
            backend=backend,
            generation=stage_calls.generation(call),
            deadline=request.deadline,
            try_leave=functools.partial(self._leave.try_grant, call, backend),
            check_send=functools.partial(
                self._leave.check_send, call, call.choice, backend
            ),
        )
        return await self._run(call, attempt, consumer)

    async def _run(
        self,
        call: stage_calls.StageCall,
        attempt: attempts_module.Attempt,
        consumer: consumers.Consumer,
    ) -> engine.Chunk:
        self._events.record(
            events_module.EventKind.REQUEST_DISPATCHED,
            call.request.request_id,
            backend=attempt.backend.address,
            version=str(attempt.generation.model_version),
        )
        ran = True
        try:
            return await self._attempts.run(attempt, consumer)
        except attempts_module.AttemptError as error:
            ran = error.ran
            await self._ends.note_failed(call.request, attempt, error)
            raise
        finally:
            if attempt.is_left and consumer.has_begun():
                call.way_back = stage_calls.WayBack(
                    attempt=attempt, consumer=call.consumer
                )
            else:
                self._close(call, attempt, ran=ran)

    def _forget_way_back(self, call: stage_calls.StageCall) -> None:
        """Gives up the attempt that was left: another one has begun."""
        way_back, call.way_back = call.way_back, None
        if way_back is not None:
            self._close(call, way_back.attempt, ran=True)

    def _close(
        self,
        call: stage_calls.StageCall,
        attempt: attempts_module.Attempt,
        *,
        ran: bool,
    ) -> None:
        """Counts an attempt that won't be resumed any more."""
        if attempt.is_left:
            self._attempts.drop(attempt)
        spent.count(self._config, call, attempt, ran=ran)

    async def _allow_retry(
        self,
        call: stage_calls.StageCall,
        error: attempts_module.AttemptError,
    ) -> None:
        """Waits a little before the next attempt, or gives up.

        Raises:
            errors.CodedError: No further attempt is allowed.
        """
        # What never left loads nobody, so the budget has no say.
        if call.failed_attempts >= leave_module.MAX_ATTEMPTS_PER_STAGE or not (
            error.withheld or self._leave.budget(call).try_spend()
        ):
            raise errors.CodedError(
                code=codes.Code.BACKEND_FAILED
                if call.progress.possibly_run
                else codes.Code.BACKEND_REFUSED,
                detail=str(error),
                retry_after=error.retry_after or RETRY_WITHOUT_BACKEND,
            ) from error
        longest = FIRST_RETRY_DELAY * 2 ** (call.failed_attempts - 1)
        await self._clock.sleep(longest * self._random.uniform(0.5, 1.0))

    def _note_repeat(
        self, call: stage_calls.StageCall, reason: str, *, hedged: bool
    ) -> None:
        self._meter.attempt_repeated(hedged=hedged)
        self._events.record(
            events_module.EventKind.REQUEST_RETRIED,
            call.request.request_id,
            reason=reason,
        )
