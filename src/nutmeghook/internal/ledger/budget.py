"""A token bucket that limits the rate of writes."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module


class WriteBudget:
    """Limits writes to a mean rate with a small burst.

    The burst lets a write start without delay at low load.

    Args:
        per_s: Writes a second in the long run.
        burst: Writes that may start at once when the bucket is full.
    """

    __slots__ = ("_burst", "_clock", "_per_s", "_refilled_at", "_tokens")

    def __init__(self, *, clock: clock_module.Clock, per_s: float, burst: int):
        self._clock = clock
        self._per_s = per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = clock.monotonic()

    async def acquire(self) -> None:
        """Takes a token, waiting until it is available."""
        self._refill()
        # Taken before the wait, so that waiting writes start in order.
        self._tokens -= 1
        if self._tokens < 0:
            wait_s = -self._tokens / self._per_s
            await self._clock.sleep(datetime.timedelta(seconds=wait_s))

    def set_rate(self, per_s: float) -> None:
        """Changes the rate from now on."""
        self._refill()
        self._per_s = per_s

    def _refill(self) -> None:
        now = self._clock.monotonic()
        passed_s = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + passed_s * self._per_s)
