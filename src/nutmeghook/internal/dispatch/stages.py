"""Runs a request's stage: chooses version and backend server, retries."""

import datetime
import functools
import random

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import attempt_costs
from nutmeghook.internal.dispatch import attempts as attempts_module
from nutmeghook.internal.dispatch import callers
from nutmeghook.internal.dispatch import consumers
from nutmeghook.internal.dispatch import engine_crashes
from nutmeghook.internal.dispatch import hedge
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.dispatch import retry_permission
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
    """Runs stages, with bounded retries and hedging."""

    __slots__ = (
        "_attempts",
        "_backends",
        "_clock",
        "_config",
        "_crashes",
        "_events",
        "_meter",
        "_permission",
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
        crashes: engine_crashes.EngineCrashDetector,
        retry_budgets: admission_module.RetryBudgets,
        events: events_module.EventRing,
        meter: meter_module.Meter,
        random_source: random.Random,
    ):
        self._clock = clock
        self._config = config
        self._crashes = crashes
        self._permission = retry_permission.RetryPermission(
            config=config,
            versions=versions,
            backends=backends,
            retry_budgets=retry_budgets,
            crashes=crashes,
        )
        self._versions = versions
        self._backends = backends
        self._attempts = attempts
        self._events = events
        self._meter = meter
        self._random = random_source

    async def run(self, call: stage_calls.StageCall) -> answers.GeneratedAnswer:
        """Returns the stage's complete answer.

        Raises:
            errors.CodedError: There is none, and no attempt is permitted.
        """
        try:
            return await self._until_answered(call)
        except BaseException:
            if not call.progress.relayed:
                self._release_choice(call)
            raise
        finally:
            self._release_fallback(call)

    async def _until_answered(
        self, call: stage_calls.StageCall
    ) -> answers.GeneratedAnswer:
        while True:
            backend, call.granted = call.granted, None
            if backend is None:
                backend = await self._next_backend(call)
            try:
                answer = await self._answer_from(call, backend)
                self._crashes.note_answered(call.request)
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
                    detail="the backend server was lost in mid-answer, and"
                    " another one's answer is worded differently",
                ) from error
            if not withheld:
                call.tried.add(backend.address)
            call.consumer = call.consumer.for_retry(
                functools.partial(self._release_fallback, call)
            )

    async def _answer_from(
        self, call: stage_calls.StageCall, backend: backends_module.Backend
    ) -> answers.GeneratedAnswer:
        """Returns the answer of a backend server, or of the fallback attempt.

        An engine that is unreachable for a moment may be abandoned with the
        last of the retry budget for one that then refuses. So the abandoned
        attempt is not cancelled until the next one has begun, and is resumed
        if that never happens. A resume is no further run, so it needs no
        permission.
        After an answer that is worded differently no other engine is tried,
        since its answer is unlikely to match either.
        """
        try:
            last = await self._send(call, backend)
            return stage_calls.answer(call, last)
        except (
            attempts_module.AttemptError,
            consumers.TextMismatchError,
        ) as error:
            fallback = call.fallback
            if call.granted is not None or fallback is None:
                raise
            self._events.record(
                events_module.EventKind.REQUEST_RETRIED,
                call.request.request_id,
                reason=str(error) or "worded differently",
            )
            if isinstance(error, consumers.TextMismatchError):
                call.failed_attempts = retry_permission.MAX_ATTEMPTS_PER_STAGE
        call.tried.add(backend.address)
        call.fallback = None
        call.consumer = fallback.consumer
        last = await self._run(call, fallback.attempt, fallback.consumer)
        return stage_calls.answer(call, last)

    async def _next_backend(
        self, call: stage_calls.StageCall
    ) -> backends_module.Backend:
        """Returns where the next attempt goes, if it was not granted before."""
        await self._settle_choice(call)
        callers.check_token(self._config, call.request, call.progress)
        self._crashes.check(call.request, call.progress)
        if not call.failed_attempts:
            # Counted in every stage, since each is a first attempt at a model.
            self._permission.budget(call).note_request()
        backend = self._choose_backend(call)
        if not call.progress.attempts:
            self._crashes.note_sent(call.request)
        return backend

    async def _settle_choice(self, call: stage_calls.StageCall) -> None:
        """Makes sure that the call's version may be sent to now.

        A version can be withdrawn while a request waits for admission, a
        backend server or a retry. So the choice is checked against the newest
        configuration just before each send, and made again if it fails; but
        not once the caller has text, which another version must not continue.
        """
        for _ in range(MAX_CHOICES_PER_SEND):
            template = self._permission.template_now(call)
            if call.choice is None:
                call.choice = await self._versions.choose(
                    template=template,
                    stage_index=min(call.stage_index, len(template.stages) - 1),
                    session=call.request.session,
                    request_id=call.request.request_id,
                )
                call.consumer = call.consumer_for(call.choice.model_version)
            try:
                self._permission.check_version(call)
                return
            except errors.CodedError:
                if call.progress.relayed:
                    raise
                self._release_choice(call)
        raise errors.CodedError(
            code=codes.Code.NO_CANDIDATE,
            detail="every version chosen was withdrawn before the send",
            retry_after=RETRY_WITHOUT_BACKEND,
        )

    def _release_choice(self, call: stage_calls.StageCall) -> None:
        """Releases a version choice of which the caller got no text.

        A choice takes one answer's exposure allowance, however many attempts
        and hedges are made. An answer that nobody got is never rated: it would
        count as unrated until it is written off, and delay the roll-out. So
        the choice is released once, when no attempt gave the answer.
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
            # In a small pool all may have refused once; that is temporary.
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
    ) -> hedge.AttemptWork | None:
        """Starts a hedge on another backend server, if permitted.

        A request that has crashed an engine is not sent to two at a time.
        """
        if self._crashes.is_suspect(call.request):
            return None
        backend = self._permission.try_permit_elsewhere(call, first)
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
            try_permit=functools.partial(
                self._permission.try_grant, call, backend
            ),
            check_send=functools.partial(
                self._permission.check_send, call, call.choice, backend
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
            await self._crashes.note_failed(call.request, attempt, error)
            raise
        finally:
            if attempt.is_abandoned and consumer.has_begun():
                call.fallback = stage_calls.FallbackAttempt(
                    attempt=attempt, consumer=call.consumer
                )
            else:
                self._settle_attempt(call, attempt, ran=ran)

    def _release_fallback(self, call: stage_calls.StageCall) -> None:
        """Drops the fallback attempt, as another one has begun."""
        fallback, call.fallback = call.fallback, None
        if fallback is not None:
            self._settle_attempt(call, fallback.attempt, ran=True)

    def _settle_attempt(
        self,
        call: stage_calls.StageCall,
        attempt: attempts_module.Attempt,
        *,
        ran: bool,
    ) -> None:
        """Counts an attempt that will not be resumed."""
        if attempt.is_abandoned:
            self._attempts.drop(attempt)
        attempt_costs.record(self._config, call, attempt, ran=ran)

    async def _allow_retry(
        self,
        call: stage_calls.StageCall,
        error: attempts_module.AttemptError,
    ) -> None:
        """Permits another attempt, after a back-off with jitter.

        Raises:
            errors.CodedError: No further attempt is permitted.
        """
        # A withheld attempt was not sent and adds no load, so it is free.
        if (
            call.failed_attempts >= retry_permission.MAX_ATTEMPTS_PER_STAGE
            or not (error.withheld or self._permission.budget(call).try_spend())
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
