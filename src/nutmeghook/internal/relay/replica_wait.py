"""Waits for a replica, and abandons one that stays silent."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import datetime
from typing import TypeVar

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import completion as completion_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import observations
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import retry_permission
from nutmeghook.internal.relay import wire
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import sender as sender_module

# After this much silence the replica is probed by a new connection. Nine in ten
# first events come sooner, and answers of a healthy replica pause less.
_PROBE_AFTER_SILENCE = datetime.timedelta(milliseconds=600)
# A sound replica may stop answering anything for a second or so. It goes on
# with its work and does not notice that its connection was closed, so that a
# request which moved would run in two places.
_SHORTEST_STEP = datetime.timedelta(milliseconds=50)
_LONGEST_PAUSE = datetime.timedelta(seconds=2)
_NO_WAIT = datetime.timedelta()
_T = TypeVar("_T")


class ReplicaWait:
    """Waits for replicas that work on streams."""

    __slots__ = (
        "_clock",
        "_completion",
        "_observer",
        "_permission",
        "_sender",
    )

    def __init__(
        self,
        *,
        permission: retry_permission.RetryPermission,
        completion: completion_module.CompletionForecast,
        observer: observations.AnswerObserver,
        sender: sender_module.Sender,
        clock: clock_module.Clock,
    ):
        self._permission = permission
        self._completion = completion
        self._observer = observer
        self._sender = sender
        self._clock = clock

    async def for_progress(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        wait: Callable[[], Awaitable[_T]],
        *,
        silence: datetime.timedelta,
    ) -> _T:
        """Awaits a replica's next data.

        Silence alone ends no answer: a replica is abandoned only once another
        attempt is permitted.

        If this process was busy, data may have arrived by the time the wait
        ends, so the wait is repeated without delay before a replica is
        abandoned.

        Args:
            job: The request.
            prepared: Its attempt.
            wait: Starts a wait; called again after a wait that was cancelled.
            silence: The longest that a replica may be silent if another one
                may take over.

        Raises:
            rejections.RejectedError: The time limit passed.
            outcomes.AbandonedError: It was silent for too long or is
                unreachable, and another replica takes over.
        """
        silent_since = self._clock.monotonic()
        step = _PROBE_AFTER_SILENCE
        while job.route.resumable and step < self._permission.time_left(job):
            with contextlib.suppress(TimeoutError):
                return await self._clock.wait_for(wait(), step)
            is_unreachable = await self._is_unreachable(job, prepared)
            silent = self._clock.monotonic() - silent_since
            if is_unreachable and self._may_pause(prepared, silent):
                step = max(_LONGEST_PAUSE - silent, _SHORTEST_STEP)
                continue
            if is_unreachable or silent >= silence:
                try:
                    return await self._clock.wait_for(wait(), _NO_WAIT)
                except TimeoutError as error:
                    if self._try_abandon(
                        job,
                        prepared,
                        is_unreachable=is_unreachable,
                        silence=silence,
                    ):
                        raise outcomes.AbandonedError(
                            f"silent for {silent} and more"
                        ) from error
            step = silence - silent
            if step <= _NO_WAIT or not self._completion.applies_to(
                prepared.replica.entry.service
            ):
                step = max(step, _PROBE_AFTER_SILENCE)
        return await self.until_deadline(job, wait())

    def _may_pause(
        self,
        prepared: prepared_module.PreparedAttempt,
        silent: datetime.timedelta,
    ) -> bool:
        """Tells whether an unreachable replica may soon go on.

        Where peers reach it, this instance's connection to it is lost for good.
        """
        return silent < _LONGEST_PAUSE and not self._sender.is_path_lost(
            prepared.replica
        )

    async def _is_unreachable(
        self, job: job_module.Job, prepared: prepared_module.PreparedAttempt
    ) -> bool:
        """Tells whether attempts to connect to a replica go unanswered.

        The probe ends at the request's deadline.
        """
        try:
            return await self._clock.wait_for(
                self._sender.is_unreachable(
                    prepared.replica, prepared.outgoing
                ),
                self._permission.time_left(job),
            )
        except TimeoutError:
            return False

    def _try_abandon(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        *,
        is_unreachable: bool,
        silence: datetime.timedelta,
    ) -> bool:
        """Abandons a silent replica if another attempt is permitted."""
        if not self._permission.try_move(
            job, prepared, is_unreachable=is_unreachable
        ):
            return False
        self._observer.note_abandoned(
            job, prepared, is_unreachable=is_unreachable, silence=silence
        )
        return True

    async def until_deadline(
        self, job: job_module.Job, work: Awaitable[_T]
    ) -> _T:
        """Awaits a replica's work until the request's deadline.

        Raises:
            rejections.RejectedError: The time limit passed.
        """
        try:
            return await self._clock.wait_for(
                work, self._permission.time_left(job)
            )
        except TimeoutError as error:
            raise rejections.RejectedError(
                wire.FixedResponse.LATE_PERHAPS_RUN,
                reason="the time limit passed during a run",
            ) from error
