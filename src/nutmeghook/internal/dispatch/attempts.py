"""Runs one attempt on one engine, and resumes its stream when it is cut."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import datetime
import random

import msgspec

from nutmeghook.internal.dependencies import engine as engine_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dispatch import background as background_module
from nutmeghook.internal.dispatch import chunks as chunks_module
from nutmeghook.internal.dispatch import consumers
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import admission as admission_module
from nutmeghook.internal.routing import backends as backends_module

MAX_RESUMES_WITHOUT_PROGRESS = 3
# Used when no other attempt is permitted. The delays add up to 3 to 6 s, so
# that the last resume still finds the run, which engines keep for about 10 s
# after a cut, and a caller whose engine is gone does not wait until its
# deadline.
MAX_RESUMES_WITHOUT_PERMISSION = 7
FIRST_RESUME_DELAY = datetime.timedelta(milliseconds=50)
CANCEL_TIMEOUT = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class AttemptError(Exception):
    """An attempt ended without a complete answer.

    Attributes:
        ran: False only if it provably did not run.
        withheld: This instance decided not to send it.
        refusal: Why it was refused, if it did not run.
        retry_after: The engine's Retry-After, if it gave one.
    """

    def __init__(
        self,
        message: str,
        *,
        ran: bool,
        refusal: backends_module.AttemptOutcome = (
            backends_module.AttemptOutcome.UNREACHABLE
        ),
        retry_after: datetime.timedelta | None = None,
    ):
        super().__init__(message)
        self.ran = ran
        self.withheld = refusal is backends_module.AttemptOutcome.WITHHELD
        self.refusal = refusal
        self.retry_after = retry_after


class _CutError(Exception):
    """The stream ended, or skipped tokens, before its last chunk."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt under way.

    Attributes:
        try_permit: Permits another attempt to replace this one; called before
            an answer that has begun is abandoned.
        check_send: Called just before the first byte is sent.
        next_token: Index of the first token not yet received.
        resumes: Resumes since the last token received.
        started_at: Monotonic time of its first send.
        is_abandoned: Another attempt replaces it. Until that one has begun,
            this one may be resumed by running it again, or dropped.
        last: The last chunk, once it was received.
    """

    backend: backends_module.Backend
    generation: engine_module.Generation
    deadline: datetime.timedelta
    try_permit: Callable[[], bool]
    check_send: engine_module.SendCheck
    next_token: int = 0
    resumes: int = 0
    started_at: datetime.timedelta | None = None
    is_abandoned: bool = False
    last: engine_module.Chunk | None = None


class AttemptRunner:
    """Runs attempts, and reports their outcomes to routing and admission."""

    __slots__ = (
        "_admission",
        "_backends",
        "_background",
        "_clock",
        "_connector",
        "_meter",
        "_random",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        connector: engine_module.EngineConnector,
        backends: backends_module.BackendChooser,
        admission: admission_module.Admission,
        meter: meter_module.Meter,
        background: background_module.BackgroundWork,
        random_source: random.Random,
    ):
        self._clock = clock
        self._connector = connector
        self._backends = backends
        self._admission = admission
        self._meter = meter
        self._background = background
        self._random = random_source

    async def run(
        self, attempt: Attempt, consumer: consumers.Consumer
    ) -> engine_module.Chunk:
        """Runs an attempt until its last chunk, and returns that chunk.

        An abandoned attempt is resumed. This is never a second run: an engine
        runs an attempt id at most once, and refuses ids that it has forgotten.

        Raises:
            AttemptError: It gave no complete answer.
            consumers.TextMismatchError: The consumer rejects its text.
        """
        if attempt.started_at is None:
            attempt.started_at = self._clock.monotonic()
        if attempt.is_abandoned:
            attempt.is_abandoned = False
            self._note_resume(attempt)
        self._backends.started(attempt.backend)
        outcome = backends_module.AttemptOutcome.CANCELLED
        try:
            # A separate task, because each token resumes the innermost
            # coroutine through all those that await it. That is 6 levels from
            # here instead of about 18 from the request's task, which saves a
            # tenth of the cost per token.
            attempt.last = await asyncio.create_task(
                self._receive(attempt, consumer)
            )
            outcome = backends_module.AttemptOutcome.ANSWERED
            return attempt.last
        except AttemptError as error:
            outcome = _outcome_of(error)
            raise
        finally:
            self._ended(attempt, outcome)

    def drop(self, attempt: Attempt) -> None:
        """Cancels an abandoned attempt that will not be resumed."""
        self._background.start(self._cancel(attempt))

    def _ended(
        self, attempt: Attempt, outcome: backends_module.AttemptOutcome
    ) -> None:
        duration = self._clock.monotonic() - attempt.started_at
        self._backends.finished(
            attempt.backend,
            outcome=outcome,
            duration=duration,
            report=attempt.last.load if attempt.last else None,
        )
        self._meter.attempt_finished(outcome)
        if outcome in _SERVICE_OUTCOMES:
            self._admission.note_service(
                duration=duration,
                overloaded=outcome
                is backends_module.AttemptOutcome.REFUSED_OVERLOAD,
                work_tokens=max(1, attempt.next_token),
            )
        if outcome in _MAY_STILL_RUN and not attempt.is_abandoned:
            self._background.start(self._cancel(attempt))

    async def _cancel(self, attempt: Attempt) -> None:
        engine = self._connector.connect(attempt.backend.address)
        # An engine that cannot be reached stops at the attempt's deadline,
        # which was sent with it; its chunks are no longer read.
        with contextlib.suppress(failures.PlatformError, TimeoutError):
            await self._clock.wait_for(
                engine.cancel(attempt.generation.attempt_id), CANCEL_TIMEOUT
            )

    async def _receive(
        self, attempt: Attempt, consumer: consumers.Consumer
    ) -> engine_module.Chunk:
        engine = self._connector.connect(attempt.backend.address)
        while True:
            previous_token = attempt.next_token
            try:
                return await self._read(engine, attempt, consumer)
            except (
                failures.NotDoneError,
                failures.OutcomeUnknownError,
                _CutError,
            ) as error:
                if attempt.next_token > previous_token:
                    attempt.resumes = 0
                if _try_abandon(attempt):
                    raise _attempt_error(error, attempt) from error
            await self._clock.sleep(self._resume_delay(attempt.resumes + 1))
            self._note_resume(attempt)

    def _note_resume(self, attempt: Attempt) -> None:
        attempt.resumes += 1
        self._meter.stream_resumed()

    async def _read(
        self,
        engine: engine_module.Engine,
        attempt: Attempt,
        consumer: consumers.Consumer,
    ) -> engine_module.Chunk:
        """Reads the chunks of one connection; this loop is the hot path."""
        generation = self._generation_from_here(attempt)
        # A resume starts no new work: the engine has the run, or refuses.
        check_send = None if attempt.next_token else attempt.check_send
        async with contextlib.aclosing(
            engine.generate_batches(generation, check_send=check_send)
        ) as batches:
            async for batch in batches:
                received = chunks_module.receive(
                    batch,
                    attempt_id=generation.attempt_id,
                    next_token=attempt.next_token,
                )
                attempt.next_token = received.next_token
                for _ in range(received.dropped):
                    self._meter.chunk_dropped()
                if received.text:
                    await consumer.take(received.text)
                if received.last is not None:
                    return _checked_last(received.last)
                if received.has_gap:
                    break
        raise _CutError(f"token {attempt.next_token} was not received")

    def _generation_from_here(
        self, attempt: Attempt
    ) -> engine_module.Generation:
        remaining = attempt.deadline - self._clock.monotonic()
        return msgspec.structs.replace(
            attempt.generation,
            resume_at_token=attempt.next_token,
            deadline_ms=max(1, int(remaining / _MILLISECOND)),
        )

    def _resume_delay(self, resumes: int) -> datetime.timedelta:
        longest = FIRST_RESUME_DELAY * 2 ** (resumes - 1)
        return longest * self._random.uniform(0.5, 1.0)


def _try_abandon(attempt: Attempt) -> bool:
    """Tells whether to give up on an engine whose resumes failed.

    If another attempt can replace this one, it is permitted here. Before the
    first token an attempt is not resumed: the engine could start the work a
    second time, which is a retry like any other.
    """
    if (
        not attempt.next_token
        or attempt.resumes >= MAX_RESUMES_WITHOUT_PERMISSION
    ):
        return True
    attempt.is_abandoned = (
        attempt.resumes >= MAX_RESUMES_WITHOUT_PROGRESS and attempt.try_permit()
    )
    return attempt.is_abandoned


def _checked_last(chunk: engine_module.Chunk) -> engine_module.Chunk:
    if chunk.finish in _COMPLETE_REASONS:
        return chunk
    raise AttemptError(
        f"the engine ended the generation early: {chunk.finish}", ran=True
    )


def _attempt_error(error: Exception, attempt: Attempt) -> AttemptError:
    address = attempt.backend.address
    if isinstance(error, failures.NotDoneError):
        return AttemptError(
            f"{address}: {error}",
            ran=attempt.next_token > 0,
            refusal=refusal_outcome(error),
            retry_after=error.retry_after,
        )
    return AttemptError(f"{address}: {error}", ran=True)


def _outcome_of(error: AttemptError) -> backends_module.AttemptOutcome:
    if error.ran:
        return backends_module.AttemptOutcome.FAILED
    return error.refusal


def refusal_outcome(
    error: failures.NotDoneError,
) -> backends_module.AttemptOutcome:
    """Returns the outcome to report for a refusal by a backend server."""
    if isinstance(error, failures.WithheldError):
        return backends_module.AttemptOutcome.WITHHELD
    if error.leaving:
        return backends_module.AttemptOutcome.REFUSED_LEAVING
    if error.overloaded:
        return backends_module.AttemptOutcome.REFUSED_OVERLOAD
    return backends_module.AttemptOutcome.UNREACHABLE


_COMPLETE_REASONS = (
    engine_module.FinishReason.STOP,
    engine_module.FinishReason.LENGTH,
)
_SERVICE_OUTCOMES = (
    backends_module.AttemptOutcome.ANSWERED,
    backends_module.AttemptOutcome.REFUSED_OVERLOAD,
)
_MAY_STILL_RUN = (
    backends_module.AttemptOutcome.CANCELLED,
    backends_module.AttemptOutcome.FAILED,
)
