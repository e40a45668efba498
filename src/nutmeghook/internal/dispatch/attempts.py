"""One attempt on one engine: its chunks checked, its cuts resumed."""

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
# Where nothing may follow: 3 to 6 s, so that the last one still finds what
# engines keep for about 10 s after a cut, and a caller whose engine is gone
# does not wait for its deadline.
MAX_RESUMES_WITHOUT_PERMISSION = 7
FIRST_RESUME_DELAY = datetime.timedelta(milliseconds=50)
CANCEL_TIMEOUT = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class AttemptError(Exception):
    """An attempt that gave no whole answer.

    Attributes:
        ran: False only if it provably did not run.
        withheld: This instance did not send it after all.
        refusal: How it refused, if it did.
        retry_after: When the engine asked to be called again, if it did.
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
    """The stream ended, or jumped, before its last chunk."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt under way.

    Attributes:
        try_leave: Takes leave for another attempt to follow this one; asked
            before a begun answer is given up.
        check_send: Asked as the first byte is about to leave.
        next_token: Index of the first token not yet received.
        resumes: Resumes since the last token that came.
        started_at: Monotonic time of its first send.
        is_left: Another attempt is to follow it; until that has begun this
            one may be run again, which resumes it, or is dropped.
        last: The last chunk, once it came.
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
    """Runs attempts, and passes on what they tell about backend servers."""

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
        """Runs an attempt to its last chunk, which is returned.

        One that was left is resumed. An engine runs an attempt id once at
        most, and refuses what it has forgotten; so this is never a second run.

        Raises:
            AttemptError: It gave no whole answer.
            consumers.TextMismatchError: The consumer won't have its text.
        """
        if attempt.started_at is None:
            attempt.started_at = self._clock.monotonic()
        if attempt.is_abandoned:
            attempt.is_abandoned = False
            self._note_resume(attempt)
        self._backends.started(attempt.backend)
        outcome = backends_module.AttemptOutcome.CANCELLED
        try:
            # A task of its own: each token wakes the innermost of the waiting
            # coroutines through all those around it. From inside the whole
            # path that was some 18 deep; from here it is 6, which takes a
            # tenth off a token's cost (see bench/relay.py).
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
        """Cancels an attempt that was left: it won't be resumed."""
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
        # An engine that can't be told stops at the attempt's own deadline,
        # which it was given; nobody listens to its chunks any more.
        with contextlib.suppress(failures.PlatformError, TimeoutError):
            await self._clock.wait_for(
                engine.cancel(attempt.generation.attempt_id), CANCEL_TIMEOUT
            )

    async def _receive(
        self, attempt: Attempt, consumer: consumers.Consumer
    ) -> engine_module.Chunk:
        engine = self._connector.connect(attempt.backend.address)
        while True:
            seen = attempt.next_token
            try:
                return await self._read(engine, attempt, consumer)
            except (
                failures.NotDoneError,
                failures.OutcomeUnknownError,
                _CutError,
            ) as error:
                if attempt.next_token > seen:
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
        """Reads one connection's chunks; this loop is the hot path."""
        generation = self._generation_from_here(attempt)
        # Resuming is no new work: the engine has it, or refuses.
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
        raise _CutError(f"token {attempt.next_token} did not come")

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
    """Tells whether to leave an engine after its resumes in vain.

    Leave for the attempt that follows is taken on the way, if need be. Before
    the first token there is nothing in hand: asking the same engine again
    could start the work a second time, which is a repeat like any other.
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
        f"the engine ended the generation: {chunk.finish}", ran=True
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
    """Returns what a refusal tells of the backend server."""
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
