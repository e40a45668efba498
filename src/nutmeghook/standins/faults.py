"""Faults that can be injected into every stand-in."""

import asyncio
from collections.abc import Callable
import contextlib
import datetime
from typing import TypeVar

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module

_T = TypeVar("_T")
_NO_TIME = datetime.timedelta()


class Faults:
    """Faults of a stand-in; tests may set the attributes at any time.

    Attributes:
        down: Every call is refused before it has any effect.
        delay: Added to the time of each answer. A write takes effect before
            the delay, so a caller that times out does not undo it.
        lose_next_answers: Number of writes that take effect but whose
            outcome is lost.
        lose_next_requests: Number of writes that have no effect and whose
            outcome is lost too.
        late_effect: If set, the outcome of writes is lost at once and they
            take effect this much later.
    """

    __slots__ = (
        "_clock",
        "_late_effects",
        "delay",
        "down",
        "late_effect",
        "lose_next_answers",
        "lose_next_requests",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        down: bool = False,
        delay: datetime.timedelta = _NO_TIME,
        lose_next_answers: int = 0,
        lose_next_requests: int = 0,
        late_effect: datetime.timedelta | None = None,
    ):
        self._clock = clock
        self._late_effects: set[asyncio.Task[None]] = set()
        self.down = down
        self.delay = delay
        self.lose_next_answers = lose_next_answers
        self.lose_next_requests = lose_next_requests
        self.late_effect = late_effect

    async def before_read(self) -> None:
        """Applies the faults of a read: refuses it or delays it."""
        self.refuse_if_down()
        await self._wait()

    async def write(self, effect: Callable[[], _T]) -> _T:
        """Runs a write under the faults and returns its result.

        Args:
            effect: Checks limits (raising `NotDoneError`) and performs the
                write, without awaiting.

        Raises:
            failures.NotDoneError: The stand-in is down or `effect` refused.
            failures.OutcomeUnknownError: The outcome was lost.
        """
        self.refuse_if_down()
        if self.lose_next_requests > 0:
            self.lose_next_requests -= 1
            await self._wait()
            raise failures.OutcomeUnknownError("the request was lost")
        if self.late_effect is not None:
            self._apply_late(effect, self.late_effect)
            raise failures.OutcomeUnknownError("no answer yet")
        result = effect()
        lost = self.lose_next_answers > 0
        if lost:
            self.lose_next_answers -= 1
        await self._wait()
        if lost:
            raise failures.OutcomeUnknownError("the answer was lost")
        return result

    def refuse_if_down(self) -> None:
        """Raises `NotDoneError` while the stand-in is down."""
        if self.down:
            raise failures.NotDoneError("the stand-in is down")

    async def _wait(self) -> None:
        if self.delay > _NO_TIME:
            await self._clock.sleep(self.delay)

    def _apply_late(
        self, effect: Callable[[], _T], delay: datetime.timedelta
    ) -> None:
        async def apply() -> None:
            await self._clock.sleep(delay)
            # A limit may refuse the effect; the caller already got its error.
            with contextlib.suppress(failures.NotDoneError):
                effect()

        task = asyncio.ensure_future(apply())
        self._late_effects.add(task)
        task.add_done_callback(self._late_effects.discard)
