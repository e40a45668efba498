"""Waiting for a replica, and leaving one that stays silent."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import TypeVar

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import leave as leave_module
from nutmeghook.internal.relay import observations
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import sender as sender_module

# After this much silence it is found out whether the replica is dark. Nine in
# ten first events come sooner, and answers of a healthy replica pause less.
_DOUBTFUL_SILENCE = datetime.timedelta(milliseconds=600)
_AT_ONCE = datetime.timedelta()
_T = TypeVar("_T")


class ReplicaWait:
    """Waits for replicas that work on streams."""

    __slots__ = ("_clock", "_leave", "_observer", "_sender")

    def __init__(
        self,
        *,
        leave: leave_module.AttemptLeave,
        observer: observations.AnswerObserver,
        sender: sender_module.Sender,
        clock: clock_module.Clock,
    ):
        self._leave = leave
        self._observer = observer
        self._sender = sender
        self._clock = clock

    async def for_sign(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        wait: Callable[[], Awaitable[_T]],
        *,
        silence: datetime.timedelta,
    ) -> _T:
        """Awaits a replica's next sign of life.

        Silence alone ends no answer: a replica is left only once it is sure
        that another attempt may follow.

        Where the process was busy the next event may have come by the time at
        which the wait ends, so what has come is looked for before a replica is
        left.

        Args:
            job: The request.
            prepared: Its attempt.
            wait: Begins to wait, or goes on after a wait that was cancelled.
            silence: The longest that a replica may be silent if another one
                may take over.

        Raises:
            rejections.RejectedError: The time limit passed.
            outcomes.AbandonedError: It was silent for too long, or is dark,
                and another replica takes over.
        """
        silent = datetime.timedelta()
        step = _DOUBTFUL_SILENCE
        while job.route.resumable and step < self._leave.time_left(job):
            try:
                return await self._clock.wait_for(wait(), step)
            except TimeoutError:
                silent += step
            is_dark = silent < silence and await self._is_dark(job, prepared)
            if is_dark or silent >= silence:
                try:
                    return await self._clock.wait_for(wait(), _AT_ONCE)
                except TimeoutError as error:
                    if self._leaves(job, prepared, is_dark=is_dark):
                        raise outcomes.AbandonedError(
                            f"silent for {silent} and more"
                        ) from error
            step = max(silence - silent, _DOUBTFUL_SILENCE)
        return await self.until_deadline(job, wait())

    async def _is_dark(
        self, job: job_module.Job, prepared: prepared_module.Prepared
    ) -> bool:
        """Tells whether a replica's attempts to connect go unanswered.

        The caller is not held beyond the time limit for it.
        """
        try:
            return await self._clock.wait_for(
                self._sender.is_dark(prepared.replica),
                self._leave.time_left(job),
            )
        except TimeoutError:
            return False

    def _leaves(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        *,
        is_dark: bool,
    ) -> bool:
        """Tells whether a silent replica is left for another one."""
        if not self._leave.try_move(job, prepared, is_dark=is_dark):
            return False
        self._observer.note_left(job, prepared, is_dark=is_dark)
        return True

    async def until_deadline(
        self, job: job_module.Job, work: Awaitable[_T]
    ) -> _T:
        """Awaits a replica's work, and no longer than the request may take.

        Raises:
            rejections.RejectedError: The time limit passed.
        """
        try:
            return await self._clock.wait_for(work, self._leave.time_left(job))
        except TimeoutError as error:
            raise rejections.RejectedError(
                wire.FixedResponse.LATE_PERHAPS_RUN,
                reason="the time limit passed during a run",
            ) from error
