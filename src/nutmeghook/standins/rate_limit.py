"""The platform's rate limits, as the stand-ins enforce them."""

import datetime

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module


class RateLimit:
    """A token bucket with a burst of one second, and of at least one token.

    Attributes:
        per_s: Operations per second; may be changed at any time.
        used: Operations admitted so far.
    """

    __slots__ = ("_clock", "_filled_at", "_name", "_tokens", "per_s", "used")

    def __init__(self, *, clock: clock_module.Clock, name: str, per_s: float):
        if per_s <= 0:
            raise ValueError(f"per_s is {per_s}; give more than 0")
        self._clock = clock
        self._name = name
        self._tokens = max(1.0, per_s)
        self._filled_at = clock.monotonic()
        self.per_s = per_s
        self.used = 0

    def spend(self, operations: int) -> None:
        """Takes the tokens for some operations.

        Raises:
            failures.NotDoneError: The limit is exceeded; `retry_after` is the
                time until it admits them, or None if it never will.
        """
        now = self._clock.monotonic()
        passed_s = (now - self._filled_at).total_seconds()
        capacity = max(1.0, self.per_s)
        self._filled_at = now
        self._tokens = min(capacity, self._tokens + passed_s * self.per_s)
        if operations <= self._tokens:
            self._tokens -= operations
            self.used += operations
            return
        retry_after = None
        if operations <= capacity:
            missing = operations - self._tokens
            retry_after = datetime.timedelta(seconds=missing / self.per_s)
        raise failures.NotDoneError(
            f"{operations} {self._name} are over the limit of "
            f"{self.per_s:g} a second",
            retry_after=retry_after,
            overloaded=True,
        )
