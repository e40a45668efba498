"""Requests whose answer is passed on whole, after it was checked."""

import dataclasses
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import attempts as attempts_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import observations
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import sender as sender_module

_FIRST_FAILURE_STATUS = 500
# A repeatable request is given to another replica if this many times its
# target passes without an answer: work that is 5 times as long as usual is
# one in a hundred, and a replica that never answers would use up all the time.
_PATIENCE_TARGETS = 3.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class WholeAnswer:
    """A replica's answer with its whole body."""

    status: int
    headers: wire.Headers
    body: bytes

    @property
    def failed(self) -> bool:
        """Tells whether the replica reports a failure of its own."""
        return self.status >= _FIRST_FAILURE_STATUS


class WholeAnswerPath:
    """Sends until there is an answer to pass on."""

    __slots__ = ("_clock", "_observer", "_planner", "_sender", "_wire_format")

    def __init__(
        self,
        *,
        planner: attempts_module.AttemptPlanner,
        observer: observations.AnswerObserver,
        sender: sender_module.Sender,
        wire_format: wire.WireFormat,
        clock: clock_module.Clock,
    ):
        self._planner = planner
        self._observer = observer
        self._sender = sender
        self._wire_format = wire_format
        self._clock = clock

    async def run(self, job: job_module.Job) -> None:
        """Answers the request.

        Raises:
            rejections.RejectedError: There is no answer of a replica.
        """
        answer = await self._answer(job)
        await job.sink.send_whole(
            answer.status,
            self._wire_format.answer_headers(answer.headers),
            answer.body,
        )

    async def _answer(self, job: job_module.Job) -> WholeAnswer:
        failed: WholeAnswer | None = None
        while True:
            try:
                answer = await self._try_once(job)
            except rejections.RejectedError:
                # A replica's own failure says more than ours.
                if failed is not None:
                    return failed
                raise
            if answer is None:
                continue
            if not answer.failed or not self._may_repeat_failure(job):
                return answer
            failed = answer

    async def _try_once(self, job: job_module.Job) -> WholeAnswer | None:
        """Returns an answer, or None if another attempt may follow."""
        prepared = self._planner.prepare(job)
        try:
            answer = await self._send(job, prepared)
        except outcomes.AttemptError as error:
            self._planner.allow_repeat(job, error)
            return None
        job.runs += 1
        self._observer.note_answer(
            job, prepared, status=answer.status, failed=answer.failed
        )
        if not answer.failed:
            prepared.replica.health.note_success(self._clock.monotonic())
            took = self._clock.monotonic() - prepared.sent_at
            self._observer.note_pace(prepared, took, steps=1)
        return answer

    def _may_repeat_failure(self, job: job_module.Job) -> bool:
        return (
            job.route.repeatable
            and job.runs < job.route.attempts
            and self._planner.time_left(job) > datetime.timedelta()
            and self._planner.try_spend(job)
        )

    async def _send(
        self, job: job_module.Job, prepared: prepared_module.Prepared
    ) -> WholeAnswer:
        patience, is_last = self._patience(job)
        try:
            return await self._clock.wait_for(
                self._exchange(prepared), patience
            )
        except TimeoutError as error:
            prepared.replica.health.note_failure(self._clock.monotonic())
            if is_last:
                raise rejections.RejectedError(
                    wire.FixedResponse.LATE_PERHAPS_RUN,
                    reason="the time limit passed during a run",
                ) from error
            raise outcomes.UnknownOutcomeError(
                f"no answer within {patience}"
            ) from error

    def _patience(self, job: job_module.Job) -> tuple[datetime.timedelta, bool]:
        """Returns how long to wait, and whether the request ends then."""
        left = self._planner.time_left(job)
        if not job.route.repeatable or job.runs + 1 >= job.route.attempts:
            return left, True
        patience = job.route.target * _PATIENCE_TARGETS
        return (left, True) if left <= patience else (patience, False)

    async def _exchange(
        self, prepared: prepared_module.Prepared
    ) -> WholeAnswer:
        async with self._sender.attempt(
            prepared.replica, prepared.outgoing
        ) as answer:
            body = await answer.read_whole()
            whole = WholeAnswer(
                status=answer.head.status,
                headers=answer.head.headers,
                body=body,
            )
            # Without the seal it is not this replica's answer; encoded, it is
            # not the body that the replica made.
            if not whole.failed and (
                not answer.facts.sealed or answer.facts.encoded
            ):
                raise outcomes.UnknownOutcomeError("the answer is not sealed")
            return whole
