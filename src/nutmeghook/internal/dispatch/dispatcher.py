"""Claims, answers and bills a request, then completes its answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
import random
from typing import Any
from typing import TypeVar

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import attempts as attempts_module
from nutmeghook.internal.dispatch import background as background_module
from nutmeghook.internal.dispatch import bills as bills_module
from nutmeghook.internal.dispatch import claims as claims_module
from nutmeghook.internal.dispatch import engine_crashes
from nutmeghook.internal.dispatch import generations as generations_module
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.dispatch import plain_calls as plain_calls_module
from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import ratings as ratings_module
from nutmeghook.internal.dispatch import request_outcomes
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.dispatch import stages as stages_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger as ledger_module
from nutmeghook.internal.limits import admission as admission_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends as backends_module
from nutmeghook.internal.routing import cascade as cascade_module
from nutmeghook.internal.routing import versions as versions_module
from nutmeghook.internal.suspects import registry as registry_module

_Answer = TypeVar("_Answer")
_Request = requests.GenerationRequest | requests.PlainRequest

RETRY_AFTER_DEADLINE = datetime.timedelta(seconds=1)


class Dispatcher:
    """Takes validated requests and determines the outcome of each.

    Every request ends in exactly one of: its complete answer, billed; or a
    `CodedError` whose run state is correct. Generations and calls of plain
    services follow the same rules.
    """

    __slots__ = (
        "_background",
        "_bills",
        "_claims",
        "_clock",
        "_events",
        "_generations",
        "_meter",
        "_plain_calls",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        config: view_module.ConfigView,
        versions: versions_module.VersionChooser,
        backends: backends_module.BackendChooser,
        engines: engine.EngineConnector,
        services: plain.PlainServiceConnector,
        cascade: cascade_module.CascadePolicy,
        admission: admission_module.Admission,
        plain_admission: admission_module.Admission,
        retry_budgets: admission_module.RetryBudgets,
        ledger: ledger_module.Ledger,
        suspects: registry_module.SuspectRegistry,
        ratings: ratings_module.RatingQueue,
        events: events_module.EventRing,
        meter: meter_module.Meter,
        random_source: random.Random,
    ):
        """Builds the paths of generations and calls on shared claims and bills.

        `admission` holds the slots of generations, `plain_admission` those
        of calls: calls that hang in a slow service must not idle the engines.
        """
        self._clock = clock
        self._events = events
        self._meter = meter
        self._background = background_module.BackgroundWork()
        self._claims = claims_module.Claims(ledger=ledger, events=events)
        self._bills = bills_module.Bills(
            ledger=ledger,
            config=config,
            clock=clock,
            events=events,
            meter=meter,
        )
        attempts = attempts_module.AttemptRunner(
            clock=clock,
            connector=engines,
            backends=backends,
            admission=admission,
            meter=meter,
            background=self._background,
            random_source=random_source,
        )
        crashes = engine_crashes.EngineCrashDetector(
            registry=suspects, connector=engines, clock=clock
        )
        stages = stages_module.StageRunner(
            clock=clock,
            config=config,
            versions=versions,
            backends=backends,
            attempts=attempts,
            crashes=crashes,
            retry_budgets=retry_budgets,
            events=events,
            meter=meter,
            random_source=random_source,
        )
        self._generations = generations_module.GenerationPath(
            clock=clock,
            admission=admission,
            cascade=cascade,
            stages=stages,
            crashes=crashes,
            ratings=ratings,
            events=events,
            meter=meter,
        )
        self._plain_calls = plain_calls_module.PlainCallPath(
            clock=clock,
            config=config,
            backends=backends,
            services=services,
            admission=plain_admission,
            retry_budgets=retry_budgets,
            events=events,
            meter=meter,
            random_source=random_source,
        )

    async def generate(
        self, request: requests.GenerationRequest, sink: answers.AnswerSink
    ) -> answers.GeneratedAnswer | ledger_module.KeptAnswer:
        """Has a request answered; returns once its bill is durable.

        Args:
            request: What to answer.
            sink: Takes the text meanwhile.

        Returns:
            The complete answer, or the stored one of the request's first try
            (then the sink gets nothing).

        Raises:
            errors.CodedError: There is no answer, or it must not be given.
        """
        progress = progress_module.Progress()

        async def produce() -> answers.GeneratedAnswer:
            try:
                return await self._within_deadline(
                    request,
                    progress,
                    self._generations.produce(request, progress, sink),
                )
            except errors.CodedError as error:
                held = await self._generations.give_held_answer(
                    request, progress, sink, error
                )
                if held is None:
                    raise
                return held

        async def finish(answer: answers.GeneratedAnswer) -> None:
            kept = None
            if request.identity.given_by_caller:
                kept = sink.encode_whole(answer)
            await self._bills.bill_answer(request, answer, progress, kept)

        return await self._run_shielded(
            request,
            progress,
            self._run_recorded(
                request,
                progress,
                produce=produce,
                finish=finish,
            ),
            on_detach=sink.detach,
        )

    async def call_plain(
        self, request: requests.PlainRequest
    ) -> plain.PlainAnswer | ledger_module.KeptAnswer:
        """Has a plain service called; returns once the call is billed.

        Raises:
            errors.CodedError: There is no answer, or it must not be given.
        """
        progress = progress_module.Progress()

        async def finish(answer: plain.PlainAnswer) -> None:
            await self._bills.bill_plain(request, answer)

        return await self._run_shielded(
            request,
            progress,
            self._run_recorded(
                request,
                progress,
                produce=lambda: self._within_deadline(
                    request,
                    progress,
                    self._plain_calls.produce(request, progress),
                ),
                finish=finish,
            ),
            on_detach=lambda: None,
        )

    async def settled(self) -> None:
        """Waits until no request runs on after its caller has gone."""
        await self._background.settled()

    async def _run_shielded(
        self,
        request: _Request,
        progress: progress_module.Progress,
        work: Coroutine[Any, Any, _Answer],
        *,
        on_detach: Callable[[], None],
    ) -> _Answer:
        """Runs the work in a task that can outlive the caller.

        A caller that disconnects cancels this coroutine. Work whose claim a
        retry will find continues, so that the retry gets the answer instead
        of `unknown`. So does a call that may not be repeated, since cancelling
        would not undo it, and the recording of a bill. Anything else is
        cancelled, down to the engine.
        """
        task = self._background.start(work)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            on_detach()
            if not (request.identity.given_by_caller or progress.must_finish):
                progress.caller_gone = True
                task.cancel()
            raise

    async def _run_recorded(
        self,
        request: _Request,
        progress: progress_module.Progress,
        *,
        produce: Callable[[], Awaitable[_Answer]],
        finish: Callable[[_Answer], Awaitable[None]],
    ) -> _Answer | ledger_module.KeptAnswer:
        try:
            answer = await self._run_claimed(request, progress, produce, finish)
        except asyncio.CancelledError:
            self._record_end(request, codes.Code.CALLER_GONE, "")
            raise
        except Exception as error:
            final = request_outcomes.final_error(request, progress, error)
            self._record_end(request, final.code, final.detail)
            if final is error:
                raise
            raise final from error
        self._record_end(request, codes.Code.OK, "")
        return answer

    async def _run_claimed(
        self,
        request: _Request,
        progress: progress_module.Progress,
        produce: Callable[[], Awaitable[_Answer]],
        finish: Callable[[_Answer], Awaitable[None]],
    ) -> _Answer | ledger_module.KeptAnswer:
        request_id = request.request_id
        kept = await self._claims.claim(
            request.identity,
            request_id=request_id,
            timeout=self._remaining(request),
        )
        if kept is not None:
            return kept
        try:
            answer = await produce()
        except BaseException:
            self._settle_failed(request, progress)
            raise
        progress.must_finish = True
        await finish(answer)
        return answer

    async def _within_deadline(
        self,
        request: _Request,
        progress: progress_module.Progress,
        work: Awaitable[_Answer],
    ) -> _Answer:
        try:
            return await self._clock.wait_for(work, self._remaining(request))
        except TimeoutError as error:
            sent = progress.possibly_run > 0
            raise errors.CodedError(
                code=codes.Code.DEADLINE_DURING_RUN
                if sent
                else codes.Code.DEADLINE_BEFORE_RUN,
                retry_after=RETRY_AFTER_DEADLINE,
            ) from error

    def _settle_failed(
        self, request: _Request, progress: progress_module.Progress
    ) -> None:
        """Settles claim and bill of a request without a complete answer.

        This runs in the background, so that the caller's error does not wait
        for a slow store. A retry that arrives before the claim is settled gets
        `ALREADY_RUNNING` with a Retry-After.
        """
        self._background.start(
            self._claims.settle_failed(
                request.identity,
                request_id=request.request_id,
                progress=progress,
            )
        )
        if progress.caller_gone and progress.delivered is not None:
            self._background.start(self._bills.bill_part(request, progress))

    def _remaining(self, request: _Request) -> datetime.timedelta:
        return request.deadline - self._clock.monotonic()

    def _record_end(
        self, request: _Request, code: codes.Code, detail: str
    ) -> None:
        self._events.record(
            request_outcomes.event_kind(code),
            request.request_id,
            code=code.name,
            detail=detail,
        )
        self._meter.request_finished(
            team=request.team.name,
            target=request.target,
            code=code,
            duration=self._clock.monotonic() - request.arrived,
        )
