"""Hedging: two attempts race, and the first to give a token wins."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
from typing import Any

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import attempts
from nutmeghook.internal.dispatch import consumers
from nutmeghook.internal.foundation import clock as clock_module

AttemptWork = Coroutine[Any, Any, engine.Chunk]


class LostRaceError(Exception):
    """Another attempt's first token came earlier."""


class Race:
    """Decides which of several attempts may send text to the caller."""

    __slots__ = ("_consumer", "decided", "winner")

    def __init__(self, *, consumer: consumers.Consumer):
        self._consumer = consumer
        self.winner: Racer | None = None
        self.decided: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    def add_racer(self) -> "Racer":
        """Returns the consumer for one more attempt."""
        return Racer(race=self, consumer=self._consumer)

    def decide(self, racer: "Racer") -> None:
        """Makes an attempt the winner, or raises if there already is one."""
        if self.winner is not None:
            raise LostRaceError
        self.winner = racer
        if not self.decided.done():
            self.decided.set_result(None)


class Racer(consumers.Consumer):
    """The consumer of one racing attempt, in front of the shared one.

    The check on each piece keeps the loser's late tokens out of the answer;
    cancelling the loser only saves the engine's work.
    """

    __slots__ = ("_consumer", "_race")

    def __init__(self, *, race: Race, consumer: consumers.Consumer):
        self._race = race
        self._consumer = consumer

    async def take(self, text: str) -> None:
        """Passes the piece on if this attempt has won or wins now.

        Raises:
            LostRaceError: Another attempt has won.
        """
        if self._race.winner is not self:
            self._race.decide(self)
        await self._consumer.take(text)

    def text(self) -> str:
        """Returns the shared consumer's text."""
        return self._consumer.text()

    def has_begun(self) -> bool:
        """Tells whether the answer so far is from this attempt."""
        return self._race.winner is self and self._consumer.has_begun()

    def for_retry(self, on_begun: Callable[[], None]) -> consumers.Consumer:
        """Returns the shared consumer's consumer for a retry."""
        return self._consumer.for_retry(on_begun)


async def run_hedged(
    *,
    clock: clock_module.Clock,
    hedge_after: datetime.timedelta,
    consumer: consumers.Consumer,
    first: Callable[[consumers.Consumer], AttemptWork],
    second: Callable[[consumers.Consumer], AttemptWork | None],
) -> engine.Chunk:
    """Runs an attempt, and a second one if no token arrives in time.

    Args:
        clock: Measures `hedge_after`.
        hedge_after: How long the first attempt has for its first token.
        consumer: Takes the winner's text.
        first: Starts the first attempt.
        second: Starts the second attempt, or returns None if none is permitted.

    Returns:
        The winner's last chunk.

    Raises:
        attempts.AttemptError: The winner failed, or all failed before a token.
    """
    race = Race(consumer=consumer)
    racer = race.add_racer()
    racers = {asyncio.ensure_future(first(racer)): racer}
    timer = asyncio.ensure_future(clock.sleep(hedge_after))
    try:
        await asyncio.wait(
            {*racers, timer, race.decided}, return_when=asyncio.FIRST_COMPLETED
        )
        racer = race.add_racer()
        work = second(racer) if _is_late(racers, race) else None
        if work is not None:
            racers[asyncio.ensure_future(work)] = racer
        return await _winner(racers, race)
    finally:
        timer.cancel()
        await _stop(racers)


def _is_late(racers: dict[asyncio.Future, Racer], race: Race) -> bool:
    return race.winner is None and not any(task.done() for task in racers)


async def _winner(
    racers: dict[asyncio.Future, Racer], race: Race
) -> engine.Chunk:
    pending = dict(racers)
    faults: list[attempts.AttemptError] = []
    while pending:
        if race.winner is not None:
            _cancel_losers(pending, race)
            return await _task_of(racers, race.winner)
        done, _ = await asyncio.wait(
            {*pending, race.decided}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in [task for task in pending if task in done]:
            racer = pending.pop(task)
            try:
                last = task.result()
            except attempts.AttemptError as error:
                if race.winner is racer:
                    raise
                faults.append(error)
                continue
            except LostRaceError:
                continue
            if race.winner in (None, racer):
                return last
    raise _worst(faults)


def _cancel_losers(pending: dict[asyncio.Future, Racer], race: Race) -> None:
    for task, racer in pending.items():
        if racer is not race.winner:
            task.cancel()


def _task_of(
    racers: dict[asyncio.Future, Racer], winner: Racer
) -> asyncio.Future:
    return next(task for task, racer in racers.items() if racer is winner)


async def _stop(racers: dict[asyncio.Future, Racer]) -> None:
    for task in racers:
        task.cancel()
    await asyncio.gather(*racers, return_exceptions=True)


def _worst(faults: list[attempts.AttemptError]) -> attempts.AttemptError:
    """Returns the error of an attempt that may have run, if there is one."""
    return max(faults, key=lambda fault: fault.ran)
