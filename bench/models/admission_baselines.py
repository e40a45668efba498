"""Baselines for fair admission and for the retry budget."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import datetime

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission

_RETRY_AFTER = datetime.timedelta(seconds=1)


class FifoAdmission(admission.Admission):
    """A fixed number of slots, and a queue bounded by its length only."""

    __slots__ = ("_max_waiting", "_slots", "_waiting")

    def __init__(self, *, slots: int, max_waiting: int):
        self._slots = slots
        self._max_waiting = max_waiting
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @contextlib.asynccontextmanager
    async def admitted(
        self, request: admission.AdmissionRequest
    ) -> AsyncIterator[None]:
        """Holds a slot while the request runs."""
        await self._acquire()
        try:
            yield
        finally:
            self._release()

    def note_service(
        self,
        *,
        duration: datetime.timedelta,
        overloaded: bool,
        work_tokens: int = 1,
    ) -> None:
        """Ignores it."""

    async def _acquire(self) -> None:
        if self._slots:
            self._slots -= 1
            return
        if len(self._waiting) >= self._max_waiting:
            raise errors.CodedError(
                code=codes.Code.OVERLOADED, retry_after=_RETRY_AFTER
            )
        slot = asyncio.get_running_loop().create_future()
        self._waiting.append(slot)
        try:
            await slot
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        while self._waiting:
            slot = self._waiting.popleft()
            if not slot.done():
                slot.set_result(None)
                return
        self._slots += 1


class NaiveRetries(admission.RetryBudget):
    """Allows every retry; only the dispatcher's attempt count bounds them."""

    __slots__ = ()

    def note_request(self) -> None:
        """Ignores it."""

    def try_spend(self) -> bool:
        """Always allows the retry."""
        return True
