"""The faults that every stand-in can be told to show."""

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
    """What goes wrong with a stand-in; tests set the attributes at any time.

    Attributes:
        down: Every call is refused before it has any effect.
        delay: Answers come this much later. A write has taken effect by
            then: a caller who gives up early does not undo it.
        lose_next_answers: So many writes take effect, then their outcome is
            lost.
        lose_next_requests: So many writes have no effect, and their outcome
            is lost all the same.
        late_effect: If set, writes lose their outcome at once and take
            effect this much later.
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
        """Waits or fails as a read should."""
        self.refuse_if_down()
        await self._wait()

    async def write(self, effect: Callable[[], _T]) -> _T:
        """Runs a write's effect, or not, and answers as the faults say.

        Args:
            effect: Checks limits (raising `NotDoneError`) and does the write,
                without awaiting.

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
            # Where a limit refuses it, its caller has left long ago.
            with contextlib.suppress(failures.NotDoneError):
                effect()

        task = asyncio.ensure_future(apply())
        self._late_effects.add(task)
        task.add_done_callback(self._late_effects.discard)
