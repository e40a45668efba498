"""Relays requests answered by a stream of events, event by event."""

import asyncio
import contextlib
import datetime
import enum

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import attempts as attempts_module
from nutmeghook.internal.relay import completion as completion_module
from nutmeghook.internal.relay import crash_detector
from nutmeghook.internal.relay import events as events_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import model_selector
from nutmeghook.internal.relay import observations
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import replica_wait
from nutmeghook.internal.relay import retry_permission
from nutmeghook.internal.relay import wire
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import sender as sender_module

# A resumable stream moves to another replica after a silence of this many
# targets before its first event, or of this many longest pauses after it.
# Engines under load fall silent as well, so this is well above what still
# counts as on time.
_SILENT_TARGETS = 2.5
_SILENT_PAUSES = 2.5
_OK_STATUS = 200
# With fewer events the time between them says little of a replica's speed.
_MIN_PACED_EVENTS = 4
# An answer whose caller held it up for a larger share of its time says little
# of its replica.
_MAX_HELD_UP_SHARE = 0.1
# Writing an event takes less than this while its caller keeps up.
_WRITE_TIME = datetime.timedelta(milliseconds=1)
# An event is held until it is complete. Events have some hundred bytes; this
# bounds the memory that a faulty replica uses.
_MAX_EVENT_BYTES = 1024 * 1024


class _Step(enum.Enum):
    """What follows an attempt."""

    DONE = "done"
    AGAIN = "again"
    LARGER_MODEL = "larger model"


class _ReadBuffer:
    """Counts what was received of a stream and not forwarded."""

    __slots__ = ("_head", "_splitter", "_unforwarded")

    def __init__(
        self,
        *,
        head: connection_module.AnswerHead,
        splitter: events_module.EventSplitter,
    ):
        self._head = head
        self._splitter = splitter
        self._unforwarded = 0

    def feed(self, data: bytes) -> list[events_module.StreamEvent]:
        """Returns the events that the bytes complete."""
        events = self._splitter.feed(data)
        self._unforwarded = sum(len(event.raw) for event in events)
        return events

    def note_forwarded(self, event: events_module.StreamEvent) -> None:
        """Removes an event that was written to the caller."""
        self._unforwarded -= len(event.raw)

    def size(self) -> int:
        """Returns the number of bytes."""
        received = self._head.unread_bytes + self._splitter.rest_bytes
        return received + self._unforwarded


class StreamRelay:
    """Forwards events, resumes cut streams, replaces low-confidence answers."""

    __slots__ = (
        "_clock",
        "_completion",
        "_crashes",
        "_observer",
        "_permission",
        "_planner",
        "_selector",
        "_sender",
        "_wait",
        "_wire_format",
    )

    def __init__(
        self,
        *,
        planner: attempts_module.AttemptPlanner,
        permission: retry_permission.RetryPermission,
        completion: completion_module.CompletionForecast,
        crashes: crash_detector.CrashDetector,
        observer: observations.AnswerObserver,
        sender: sender_module.Sender,
        selector: model_selector.ModelSelector,
        wire_format: wire.WireFormat,
        clock: clock_module.Clock,
    ):
        self._planner = planner
        self._permission = permission
        self._completion = completion
        self._crashes = crashes
        self._observer = observer
        self._sender = sender
        self._wait = replica_wait.ReplicaWait(
            permission=permission,
            completion=completion,
            observer=observer,
            sender=sender,
            clock=clock,
        )
        self._selector = selector
        self._wire_format = wire_format
        self._clock = clock

    async def run(self, job: job_module.Job) -> None:
        """Answers the request.

        Raises:
            rejections.RejectedError: It can't be begun or resumed.
        """
        self._selector.begin(job)
        try:
            while await self._try_once(job) is not _Step.DONE:
                pass
        finally:
            self._permission.release_fallback(job)

    async def _try_once(self, job: job_module.Job) -> _Step:
        prepared = self._planner.prepare(job)
        try:
            return await self._attempt(job, prepared)
        except outcomes.AttemptError as error:
            await self._crashes.note_lost(job, prepared, error)
            self._permission.require_retry(job, error)
            return _Step.AGAIN

    async def _attempt(
        self, job: job_module.Job, prepared: prepared_module.PreparedAttempt
    ) -> _Step:
        async with contextlib.AsyncExitStack() as stack:
            answer = await self._receive_head(job, prepared, stack)
            job.note_answer_begun(self._clock.monotonic())
            if answer.head.status != _OK_STATUS:
                return await self._handle_non_stream(job, prepared, answer)
            if not answer.facts.sealed or answer.facts.encoded:
                raise outcomes.UnknownOutcomeError("the answer is not sealed")
            self._observer.note_answer(
                job, prepared, status=answer.head.status, failed=False
            )
            self._observer.note_first_event(job, prepared)
            self._permission.release_fallback(job)
            if self._try_larger_model(job, prepared, answer):
                return _Step.LARGER_MODEL
            await self._forward(job, prepared, answer)
            self._crashes.note_stream_ended(job)
            prepared.replica.health.note_success(self._clock.monotonic())
            return _Step.DONE

    async def _handle_non_stream(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        answer: sender_module.Answer,
    ) -> _Step:
        """Forwards an answer that is no stream, unless it is retried.

        A request that one replica finds invalid is invalid at all of them; only
        a replica's own failure is retried at another one.
        """
        whole = job_module.WholeAnswer(
            status=answer.head.status,
            headers=answer.head.headers,
            body=await self._wait.until_deadline(
                job, answer.read_whole(job.incoming.held)
            ),
        )
        await self._crashes.confirm_end(prepared, answer.head)
        self._crashes.note_answer(job, whole)
        self._observer.note_answer(
            job, prepared, status=whole.status, failed=whole.failed
        )
        if whole.failed and self._may_retry(job, whole):
            job.failure = whole
            return _Step.AGAIN
        if job.sink.begun:
            raise self._permission.final_rejection(
                job, reason="a replica failed it"
            )
        await job.sink.send_whole(
            whole.status,
            self._wire_format.answer_headers(whole.headers),
            whole.body,
        )
        return _Step.DONE

    def _may_retry(
        self, job: job_module.Job, answer: job_module.WholeAnswer
    ) -> bool:
        error = outcomes.UnknownOutcomeError(
            f"the replica answered {answer.status}"
        )
        try:
            self._permission.require_retry(job, error)
        except rejections.RejectedError:
            return False
        return True

    def _try_larger_model(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        answer: sender_module.Answer,
    ) -> bool:
        """Drops the answer if a larger model is to be asked instead.

        The dropped attempt counts as run.
        """
        larger = self._selector.larger_for(job, answer.facts.confidence)
        if larger is None:
            return False
        if not self._permission.try_larger(job, prepared, larger):
            return False
        answer.replica.health.note_success(self._clock.monotonic())
        job.model_index = larger
        job.runs += 1
        job.tried.clear()
        return True

    async def _forward(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        answer: sender_module.Answer,
    ) -> None:
        """Forwards complete events until the stream is complete.

        A replica may break off inside an event. Only complete events are
        forwarded, so that another replica can resume after the last one.
        """
        splitter = events_module.EventSplitter()
        began_at = self._clock.monotonic()
        events = 0
        held_up = datetime.timedelta()
        silence = self._first_silence(job, prepared)
        buffer = _ReadBuffer(head=answer.head, splitter=splitter)
        with job.incoming.held.reading(buffer.size):
            while True:
                data = await self._wait.for_progress(
                    job, prepared, answer.head.read, silence=silence
                )
                if not data:
                    break
                received_at = self._clock.monotonic()
                for event in buffer.feed(data):
                    await self._forward_event(job, answer, event)
                    buffer.note_forwarded(event)
                    events += 1
                held_up += self._clock.monotonic() - received_at
                if splitter.rest_bytes > _MAX_EVENT_BYTES:
                    raise outcomes.UnknownOutcomeError("an event is too large")
                silence = self._completion.pause(
                    job,
                    prepared,
                    longest=job.route.longest_pause * _SILENT_PAUSES,
                )
        if splitter.has_rest:
            raise outcomes.ConnectionLostError("the stream ends in an event")
        await self._crashes.confirm_end(prepared, answer.head)
        # The end waits for the caller, which says nothing of the replica.
        took = self._clock.monotonic() - began_at
        await self._begin_once(job, answer)
        await job.sink.end()
        self._note_times(job, prepared, took, held_up=held_up, events=events)

    def _note_times(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        took: datetime.timedelta,
        *,
        held_up: datetime.timedelta,
        events: int,
    ) -> None:
        """Records how long a stream took from its first event to its end."""
        if prepared.after_event is None:
            self._completion.note_generation(job, prepared, events=events)
        waits = held_up - events * _WRITE_TIME
        if self._is_held_up(prepared, waits, took):
            return
        if prepared.after_event is None:
            self._selector.note_generation(job, prepared, took)
        if events >= _MIN_PACED_EVENTS:
            self._observer.note_pace(prepared, took, steps=events - 1)

    def _is_held_up(
        self,
        prepared: prepared_module.PreparedAttempt,
        waits: datetime.timedelta,
        took: datetime.timedelta,
    ) -> bool:
        """Tells whether an answer's time is rather its caller's.

        While a caller doesn't read, nothing is read from the replica either.
        """
        return (
            self._completion.applies_to(prepared.replica.entry.service)
            and waits > took * _MAX_HELD_UP_SHARE
        )

    async def _forward_event(
        self,
        job: job_module.Job,
        answer: sender_module.Answer,
        event: events_module.StreamEvent,
    ) -> None:
        if _is_duplicate(event.event_id, job.last_event_id):
            return
        await self._begin_once(job, answer)
        await job.sink.write(event.raw)
        job.progress.note_event(self._clock.monotonic())
        if event.event_id is not None:
            job.last_event_id = event.event_id

    async def _begin_once(
        self, job: job_module.Job, answer: sender_module.Answer
    ) -> None:
        if job.sink.begun:
            return
        await job.sink.begin(
            answer.head.status,
            self._wire_format.answer_headers(answer.head.headers),
        )

    def _first_silence(
        self, job: job_module.Job, prepared: prepared_module.PreparedAttempt
    ) -> datetime.timedelta:
        """Returns after which silence a replica is abandoned at first."""
        return self._completion.silence(
            job, prepared, longest=job.route.target * _SILENT_TARGETS
        )

    async def _receive_head(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        stack: contextlib.AsyncExitStack,
    ) -> sender_module.Answer:
        """Sends the request and returns the head of its answer."""
        sending = asyncio.ensure_future(
            stack.enter_async_context(
                self._sender.attempt(prepared.replica, prepared.outgoing)
            )
        )
        try:
            return await self._wait.for_progress(
                job,
                prepared,
                lambda: asyncio.shield(sending),
                silence=self._first_silence(job, prepared),
            )
        except BaseException:
            # Ends the attempt at its replica before another one begins.
            sending.cancel()
            await asyncio.wait({sending})
            raise


def _is_duplicate(event_id: str | None, last_forwarded: str | None) -> bool:
    """Tells whether an event was forwarded before; ids are rising numbers."""
    if event_id is None or last_forwarded is None:
        return False
    if not (event_id.isdigit() and last_forwarded.isdigit()):
        return False
    return int(event_id) <= int(last_forwarded)
