"""A model engine under load: a batch of slots and a bounded queue."""

import asyncio
import dataclasses
import datetime
import random

from bench.models import virtual_loop

IDLE_TOKEN_INTERVAL_S = 0.024
FULL_BATCH_SLOWDOWN = 0.5
_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RequestKind:
    """A kind of request; its size is gamma distributed, up to 2 means."""

    name: str
    priority: int
    mean_tokens: int
    deadline_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BrownOut:
    """A time in which all engines are slow and fail some of their work."""

    from_s: float
    until_s: float
    slowdown: float
    failed_share: float


class EngineRefusedError(Exception):
    """The engine's queue is full; nothing ran."""


class EngineFailedError(Exception):
    """The engine failed while generating."""


class Engine:
    """A batch of slots and a bounded queue with the highest priority first."""

    __slots__ = (
        "_brown_out",
        "_clock",
        "_random",
        "_slots",
        "_waiting",
        "load",
    )

    def __init__(
        self,
        *,
        clock: virtual_loop.LoopClock,
        randomness: random.Random,
        slots: int,
        brown_out: BrownOut | None,
    ):
        self._clock = clock
        self._random = randomness
        self._brown_out = brown_out
        self._slots = slots
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []
        self.load = 0

    async def generate(self, kind: RequestKind, tokens: int) -> None:
        """Generates the tokens.

        Raises:
            EngineRefusedError: Twice the batch size is already waiting.
            EngineFailedError: The engine failed in a brown-out.
        """
        if len(self._waiting) >= 2 * self._slots:
            raise EngineRefusedError
        self.load += 1
        try:
            if self.load > self._slots:
                await self._wait_for_slot(kind.priority)
            await self._run(tokens)
        finally:
            self.load -= 1
            self._wake_next()

    async def _wait_for_slot(self, priority: int) -> None:
        slot = asyncio.get_running_loop().create_future()
        self._waiting.append((priority, slot))
        try:
            await slot
        finally:
            self._waiting = [w for w in self._waiting if w[1] is not slot]

    def _wake_next(self) -> None:
        without_slot = [
            (p, slot) for p, slot in self._waiting if not slot.done()
        ]
        running = self.load - len(without_slot)
        if without_slot and running < self._slots:
            max(without_slot, key=lambda entry: entry[0])[1].set_result(None)

    async def _run(self, tokens: int) -> None:
        batch_share = min(1.0, self.load / self._slots)
        token_interval_s = IDLE_TOKEN_INTERVAL_S * (
            1 + FULL_BATCH_SLOWDOWN * batch_share
        )
        brown_out = self._current_brown_out()
        if brown_out is None:
            await asyncio.sleep(tokens * token_interval_s)
            return
        if self._random.random() < brown_out.failed_share:
            await asyncio.sleep(
                self._random.random() * tokens * token_interval_s
            )
            raise EngineFailedError
        await asyncio.sleep(tokens * token_interval_s * brown_out.slowdown)

    def _current_brown_out(self) -> BrownOut | None:
        now_s = self._clock.monotonic() / _SECOND
        brown_out = self._brown_out
        if brown_out and brown_out.from_s <= now_s < brown_out.until_s:
            return brown_out
        return None
