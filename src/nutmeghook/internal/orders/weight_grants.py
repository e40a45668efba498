"""Download grants of the weight store, paced for the whole fleet."""

import datetime
import random

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import weights
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.orders import planning

GRANT_INTERVAL = datetime.timedelta(seconds=1)
GRANT_TIMEOUT = datetime.timedelta(seconds=3)
_INITIAL_BACKOFF = datetime.timedelta(seconds=1)
_MAX_BACKOFF = datetime.timedelta(seconds=60)


class GrantPacer:
    """Requests grants no faster than allowed, and keeps unused tickets.

    Only the holder of the orders' lease requests grants, so pacing here paces
    the fleet. A former holder that still requests grants is refused by the
    store's own limit.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_interval",
        "_not_before",
        "_random",
        "_store",
        "_tickets",
    )

    def __init__(
        self,
        *,
        store: weights.WeightStore,
        clock: clock_module.Clock,
        randomness: random.Random,
        interval: datetime.timedelta = GRANT_INTERVAL,
    ):
        self._store = store
        self._clock = clock
        self._random = randomness
        self._interval = interval
        self._not_before = datetime.timedelta()
        self._backoff = _INITIAL_BACKOFF
        self._tickets: dict[planning.Placement, str] = {}

    def time_until_next(self) -> datetime.timedelta:
        """Returns how long until a grant may be requested again."""
        wait = self._not_before - self._clock.monotonic()
        return max(datetime.timedelta(), wait)

    async def ticket_for(self, placement: planning.Placement) -> str | None:
        """Returns a ticket, or None if the store can't grant one now."""
        unused = self._tickets.pop(placement, None)
        if unused is not None:
            return unused
        if self.time_until_next():
            return None
        try:
            ticket = await self._clock.wait_for(
                self._store.grant_download(
                    placement.model_version, placement.address
                ),
                GRANT_TIMEOUT,
            )
        except (failures.PlatformError, TimeoutError) as error:
            self._back_off(error)
            return None
        self._backoff = _INITIAL_BACKOFF
        self._not_before = self._clock.monotonic() + self._interval
        return ticket

    def return_ticket(self, placement: planning.Placement, ticket: str) -> None:
        """Keeps a ticket whose order certainly did not reach the engine."""
        self._tickets[placement] = ticket

    def _back_off(self, error: Exception) -> None:
        """Waits as long as the store asks, else doubles the delay."""
        wait = self._backoff
        if isinstance(error, failures.NotDoneError) and error.retry_after:
            wait = error.retry_after
        else:
            self._backoff = min(2 * self._backoff, _MAX_BACKOFF)
        jitter = 1 + 0.25 * self._random.random()
        self._not_before = self._clock.monotonic() + wait * jitter
