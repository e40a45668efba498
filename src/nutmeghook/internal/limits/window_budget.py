"""Retry budgets over a sliding window, as a share of its requests."""

import collections
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import admission

# With fewer requests the rate is too inaccurate to plan by.
_MIN_REQUESTS_FOR_RATE = 5


class WindowRetryBudget(admission.RetryBudget):
    """Permits further attempts up to a share of the window's requests.

    Instances need not coordinate: if none exceeds its share of its own
    requests, the fleet does not either.

    Args:
        ratio: Further attempts per request.
        window: Requests and attempts are counted over it.
        burst: Attempts permitted in addition to the ratio, so that a single
            request of a quiet instance may be retried.
    """

    __slots__ = (
        "_burst",
        "_clock",
        "_ratio",
        "_requests",
        "_reserved",
        "_spent",
        "_window",
    )

    def __init__(
        self,
        *,
        ratio: float,
        window: datetime.timedelta,
        burst: int,
        clock: clock_module.Clock,
    ):
        if ratio < 0 or burst < 0:
            raise ValueError(
                f"ratio is {ratio} and burst {burst}; give numbers from 0"
            )
        self._ratio = ratio
        self._window = window
        self._burst = burst
        self._clock = clock
        self._requests: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._spent: collections.deque[datetime.timedelta] = collections.deque()
        self._reserved = 0

    def change(self, *, ratio: float, window: datetime.timedelta) -> None:
        """Changes the bounds; the counts stay."""
        self._ratio = ratio
        self._window = window

    def note_request(self) -> None:
        """Counts a first attempt."""
        self._requests.append(self._clock.monotonic())

    def requests_per_s(self) -> float:
        """Returns the rate of first attempts; 0 if there are too few.

        The rate is over the time since the oldest of them, which is less than
        the window after a start.
        """
        self._drop_expired()
        if len(self._requests) < _MIN_REQUESTS_FOR_RATE:
            return 0.0
        span = self._clock.monotonic() - self._requests[0]
        return len(self._requests) / max(span.total_seconds(), 1.0)

    def _drop_expired(self) -> None:
        oldest = self._clock.monotonic() - self._window
        for times in (self._requests, self._spent):
            while times and times[0] <= oldest:
                times.popleft()

    def remaining(self) -> float:
        """Returns how many further attempts may be made now."""
        self._drop_expired()
        allowed = self._ratio * len(self._requests) + self._burst
        return allowed - len(self._spent) - self._reserved

    def try_spend(self) -> bool:
        """Spends one further attempt; False if none is left."""
        if self.remaining() < 1:
            return False
        self._spent.append(self._clock.monotonic())
        return True

    def try_reserve(self) -> bool:
        """Reserves an attempt that may be made later, or never.

        A reservation counts until it is spent or released; once spent, it
        counts like any attempt from that time on. If it were counted at the
        time it was made, an attempt sent a window later would not count, and
        a release would uncount another request's attempt: a window could get
        twice as many attempts as permitted.
        """
        if self.remaining() < 1:
            return False
        self._reserved += 1
        return True

    def spend_reserved(self) -> None:
        """Spends a reservation, without checking the budget again."""
        self._reserved -= 1
        self._spent.append(self._clock.monotonic())

    def release_reserved(self) -> None:
        """Releases a reservation that is not needed."""
        self._reserved -= 1


class WindowRetryBudgets(admission.RetryBudgets):
    """One window for each service."""

    __slots__ = ("_budgets", "_burst", "_clock", "_ratio", "_window")

    def __init__(
        self,
        *,
        ratio: float,
        window: datetime.timedelta,
        burst: int,
        clock: clock_module.Clock,
    ):
        self._ratio = ratio
        self._window = window
        self._burst = burst
        self._clock = clock
        self._budgets: dict[str, WindowRetryBudget] = {}

    def change(self, *, ratio: float, window: datetime.timedelta) -> None:
        """Changes the bounds of all services."""
        self._ratio = ratio
        self._window = window
        for budget in self._budgets.values():
            budget.change(ratio=ratio, window=window)

    def budget_for(self, dependency: str) -> WindowRetryBudget:
        """Returns the service's budget; names come from the configuration."""
        budget = self._budgets.get(dependency)
        if budget is None:
            budget = WindowRetryBudget(
                ratio=self._ratio,
                window=self._window,
                burst=self._burst,
                clock=self._clock,
            )
            self._budgets[dependency] = budget
        return budget
