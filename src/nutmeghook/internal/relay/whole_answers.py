"""Relays requests whose answer is forwarded whole, after a check."""

import asyncio
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import attempts as attempts_module
from nutmeghook.internal.relay import completion as completion_module
from nutmeghook.internal.relay import crash_detector
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import observations
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import retry_permission
from nutmeghook.internal.relay import wire
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import sender as sender_module

# A repeatable request is sent to another replica after this many targets
# without an answer: one request in a hundred takes 5 times its usual time, and
# a replica that never answers would use up the whole time limit.
_RESEND_AFTER_TARGETS = 3.0
_FIRST_ERROR_STATUS = 400


class WholeAnswerRelay:
    """Makes attempts until there is an answer to forward."""

    __slots__ = (
        "_clock",
        "_completion",
        "_crashes",
        "_observer",
        "_permission",
        "_planner",
        "_sender",
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
        wire_format: wire.WireFormat,
        clock: clock_module.Clock,
    ):
        self._planner = planner
        self._permission = permission
        self._completion = completion
        self._crashes = crashes
        self._observer = observer
        self._sender = sender
        self._wire_format = wire_format
        self._clock = clock

    async def run(self, job: job_module.Job) -> None:
        """Answers the request.

        Raises:
            rejections.RejectedError: No replica has answered.
        """
        try:
            answer = await self._until_answered(job)
        finally:
            self._permission.release_fallback(job)
        await job.sink.send_whole(
            answer.status,
            self._wire_format.answer_headers(answer.headers),
            answer.body,
        )

    async def _until_answered(
        self, job: job_module.Job
    ) -> job_module.WholeAnswer:
        while True:
            answer = await self._try_once(job)
            if answer is None:
                continue
            if not answer.failed or not self._may_retry_failure(job):
                return answer
            job.failure = answer

    async def _try_once(
        self, job: job_module.Job
    ) -> job_module.WholeAnswer | None:
        """Returns an answer, or None if another attempt may follow."""
        prepared = self._planner.prepare(job)
        try:
            answer = await self._send(job, prepared)
        except outcomes.AttemptError as error:
            await self._crashes.note_lost(job, prepared, error)
            self._permission.require_retry(job, error)
            return None
        job.runs += 1
        self._crashes.note_answer(job, answer)
        self._observer.note_answer(
            job, prepared, status=answer.status, failed=answer.failed
        )
        if not answer.failed:
            prepared.replica.health.note_success(self._clock.monotonic())
            took = self._clock.monotonic() - prepared.sent_at
            # Before the replica's speed takes this answer into account.
            if answer.succeeded:
                self._completion.note_whole(prepared, took)
            self._observer.note_pace(
                prepared,
                took,
                steps=1,
                shows_speed=answer.status < _FIRST_ERROR_STATUS,
            )
        return answer

    def _may_retry_failure(self, job: job_module.Job) -> bool:
        if self._permission.time_left(job) <= datetime.timedelta():
            return False
        return self._permission.try_retry(job)

    async def _send(
        self, job: job_module.Job, prepared: prepared_module.PreparedAttempt
    ) -> job_module.WholeAnswer:
        exchange = asyncio.ensure_future(self._exchange(job, prepared))
        try:
            return await self._await_answer(job, prepared, exchange)
        finally:
            if not exchange.done():
                # Ends the attempt at its replica before another one begins.
                exchange.cancel()
                await asyncio.wait({exchange})

    async def _await_answer(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        exchange: asyncio.Future[job_module.WholeAnswer],
    ) -> job_module.WholeAnswer:
        """Awaits an answer, which is abandoned only for a further attempt.

        If this process was busy, the answer may arrive in the same turn of the
        event loop as the timeout, so it is checked for before it is abandoned.

        Raises:
            rejections.RejectedError: The time limit passed.
            outcomes.AbandonedError: It took too long, and a further attempt is
                permitted.
        """
        timeout = self._completion.silence(
            job, prepared, longest=job.route.target * _RESEND_AFTER_TARGETS
        )
        while timeout < self._permission.time_left(job):
            try:
                return await self._clock.wait_for(
                    asyncio.shield(exchange), timeout
                )
            except TimeoutError as error:
                if not exchange.done() and self._permission.try_resend(
                    job, prepared
                ):
                    self._note_slow(prepared)
                    self._observer.note_abandoned(
                        job, prepared, is_unreachable=False, silence=timeout
                    )
                    raise outcomes.AbandonedError(
                        f"no answer within {timeout}"
                    ) from error
        try:
            return await self._clock.wait_for(
                asyncio.shield(exchange), self._permission.time_left(job)
            )
        except TimeoutError as error:
            if exchange.done():
                return exchange.result()
            self._note_slow(prepared)
            raise rejections.RejectedError(
                wire.FixedResponse.LATE_PERHAPS_RUN,
                reason="the time limit passed during a run",
            ) from error

    def _note_slow(self, prepared: prepared_module.PreparedAttempt) -> None:
        prepared.replica.health.note_failure(self._clock.monotonic())

    async def _exchange(
        self, job: job_module.Job, prepared: prepared_module.PreparedAttempt
    ) -> job_module.WholeAnswer:
        async with self._sender.attempt(
            prepared.replica, prepared.outgoing
        ) as answer:
            body = await answer.read_whole(job.incoming.held)
            await self._crashes.confirm_end(prepared, answer.head)
            whole = job_module.WholeAnswer(
                status=answer.head.status,
                headers=answer.head.headers,
                body=body,
            )
            # Without the seal it is not this replica's answer. If encoded, it
            # is not the body that the replica made.
            if not whole.failed and (
                not answer.facts.sealed or answer.facts.encoded
            ):
                raise outcomes.UnknownOutcomeError("the answer is not sealed")
            return whole
