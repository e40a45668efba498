"""Calls of plain services: sent at most once, unless repeatable."""

import datetime
import random

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dispatch import attempts as attempts_module
from nutmeghook.internal.dispatch import callers
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission as admission_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends as backends_module

MAX_SENDS = 4
FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=10)
RETRY_WITHOUT_BACKEND = datetime.timedelta(seconds=1)
_SERVICE_ERROR_STATUS = 500
# A call has no tokens, so every call costs the same.
_EQUAL_COST_TOKENS = 1
# The concurrency limit, which refusals for overload cut, grows again only on
# reported durations. Services differ in speed, and a change of their mix is no
# overload, so all calls are reported with the same duration.
_EQUAL_DURATION = datetime.timedelta(seconds=1)
_SERVICE_OUTCOMES = (
    backends_module.AttemptOutcome.ANSWERED,
    backends_module.AttemptOutcome.REFUSED_OVERLOAD,
)


class PlainCallPath:
    """Takes a call through admission to a backend server of its service."""

    __slots__ = (
        "_admission",
        "_backends",
        "_clock",
        "_config",
        "_events",
        "_meter",
        "_random",
        "_retry_budgets",
        "_services",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        config: view_module.ConfigView,
        backends: backends_module.BackendChooser,
        services: plain.PlainServiceConnector,
        admission: admission_module.Admission,
        retry_budgets: admission_module.RetryBudgets,
        events: events_module.EventRing,
        meter: meter_module.Meter,
        random_source: random.Random,
    ):
        self._clock = clock
        self._config = config
        self._backends = backends
        self._services = services
        self._admission = admission
        self._retry_budgets = retry_budgets
        self._events = events
        self._meter = meter
        self._random = random_source

    async def produce(
        self,
        request: requests.PlainRequest,
        progress: progress_module.Progress,
    ) -> plain.PlainAnswer:
        """Returns the service's answer.

        Raises:
            errors.CodedError: There is none.
        """
        async with self._admission.admitted(_admission_request(request)):
            self._events.record(
                events_module.EventKind.REQUEST_ADMITTED,
                request.call.request_id,
                service=request.route.service,
            )
            self._retry_budget(request).note_request()
            answer = await self._send_until_answered(request, progress)
        if answer.status >= _SERVICE_ERROR_STATUS:
            raise errors.CodedError(
                code=codes.Code.SERVICE_ERROR,
                detail=f"{request.route.service} answered {answer.status}",
            )
        return answer

    async def _send_until_answered(
        self,
        request: requests.PlainRequest,
        progress: progress_module.Progress,
    ) -> plain.PlainAnswer:
        tried: set[str] = set()
        while True:
            repeatable = self._check_route(request, progress)
            backend = self._choose_backend(request, tried)
            progress.must_finish = not repeatable
            try:
                return await self._send(request, progress, backend)
            except failures.NotDoneError as error:
                await self._allow_retry(request, progress, error)
            except failures.OutcomeUnknownError as error:
                # The connection broke after the call was written: a second
                # send could book the same crew twice.
                if not repeatable:
                    raise errors.CodedError(
                        code=codes.Code.BACKEND_FAILED, detail=str(error)
                    ) from error
                await self._allow_retry(request, progress, error)
            tried.add(backend.address)

    def _retry_budget(
        self, request: requests.PlainRequest
    ) -> admission_module.RetryBudget:
        return self._retry_budgets.budget_for(
            f"service {request.route.service}"
        )

    def _check_route(
        self,
        request: requests.PlainRequest,
        progress: progress_module.Progress,
    ) -> bool:
        """Checks just before sending that the call may be made now.

        The route is looked up again by path, so that a changed time limit does
        not count as a removed route. The call is repeatable only if its route
        was when it was accepted and is now.

        Returns:
            Whether the call may be sent again if its outcome is lost.

        Raises:
            errors.CodedError: The team may not, or no longer, make the call.
        """
        callers.check_token(self._config, request, progress)
        team = self._config.snapshot.teams.get(request.team.name)
        path = request.call.path.partition("?")[0]
        route = team and team.plain_route(request.route.service, path)
        if route is None:
            raise errors.CodedError(
                code=codes.Code.NOT_ALLOWED,
                detail=f"the team's route to {request.route.service!r} was"
                " removed",
            )
        repeatable = request.route.repeatable and route.repeatable
        if progress.possibly_run and not repeatable:
            raise errors.CodedError(
                code=codes.Code.BACKEND_FAILED,
                detail="the call may have run, and its route is no longer"
                " repeatable",
            )
        return repeatable

    def _choose_backend(
        self, request: requests.PlainRequest, tried: set[str]
    ) -> backends_module.Backend:
        backend = self._backends.choose(_backend_criteria(request, tried))
        if backend is None and tried:
            tried.clear()
            backend = self._backends.choose(_backend_criteria(request, tried))
        if backend is None:
            raise errors.CodedError(
                code=codes.Code.NO_CANDIDATE,
                detail=f"{request.route.service} has no backend server that"
                " can take work",
                retry_after=RETRY_WITHOUT_BACKEND,
            )
        return backend

    async def _send(
        self,
        request: requests.PlainRequest,
        progress: progress_module.Progress,
        backend: backends_module.Backend,
    ) -> plain.PlainAnswer:
        self._events.record(
            events_module.EventKind.REQUEST_DISPATCHED,
            request.call.request_id,
            backend=backend.address,
        )
        progress.start_attempt(request.call.request_id)
        started = self._clock.monotonic()
        self._backends.started(backend)
        outcome = backends_module.AttemptOutcome.CANCELLED
        try:
            answer = await self._services.call(backend.address, request.call)
            outcome = backends_module.AttemptOutcome.ANSWERED
            return answer
        except failures.NotDoneError as error:
            progress.attempt_not_run()
            progress.must_finish = False
            outcome = attempts_module.refusal_outcome(error)
            raise
        except failures.OutcomeUnknownError:
            outcome = backends_module.AttemptOutcome.FAILED
            raise
        finally:
            duration = self._clock.monotonic() - started
            self._backends.finished(backend, outcome=outcome, duration=duration)
            self._meter.attempt_finished(outcome)
            if outcome in _SERVICE_OUTCOMES:
                self._admission.note_service(
                    duration=_EQUAL_DURATION,
                    overloaded=outcome
                    is backends_module.AttemptOutcome.REFUSED_OVERLOAD,
                )

    async def _allow_retry(
        self,
        request: requests.PlainRequest,
        progress: progress_module.Progress,
        error: failures.PlatformError,
    ) -> None:
        """Permits another send, after a back-off with jitter.

        Raises:
            errors.CodedError: No further send is permitted.
        """
        if (
            progress.attempts >= MAX_SENDS
            or not self._retry_budget(request).try_spend()
        ):
            raise errors.CodedError(
                code=codes.Code.BACKEND_FAILED
                if progress.possibly_run
                else codes.Code.BACKEND_REFUSED,
                detail=str(error),
                retry_after=RETRY_WITHOUT_BACKEND,
            ) from error
        self._meter.attempt_repeated(hedged=False)
        self._events.record(
            events_module.EventKind.REQUEST_RETRIED,
            request.call.request_id,
            reason=str(error),
        )
        longest = FIRST_RETRY_DELAY * 2 ** (progress.attempts - 1)
        await self._clock.sleep(longest * self._random.uniform(0.5, 1.0))


def _backend_criteria(
    request: requests.PlainRequest, tried: set[str]
) -> backends_module.BackendCriteria:
    return backends_module.BackendCriteria(
        service=request.route.service,
        priority=request.priority,
        exclude=frozenset(tried),
    )


def _admission_request(
    request: requests.PlainRequest,
) -> admission_module.AdmissionRequest:
    return admission_module.AdmissionRequest(
        team=request.team.name,
        template=request.route.service,
        weight=request.team.weight,
        priority=request.priority,
        deadline=request.deadline,
        cost_tokens=_EQUAL_COST_TOKENS,
    )
