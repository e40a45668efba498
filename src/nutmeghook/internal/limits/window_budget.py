"""A retry budget over a sliding window, as a share of its requests."""

import collections
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import admission

# With fewer requests their rate is too rough to plan by.
_LEAST_RATED = 5


class WindowRetryBudget(admission.RetryBudget):
    """Allows further attempts up to a share of the window's requests.

    No message between instances is needed: where no instance goes beyond its
    share of its own requests, the fleet doesn't either.

    Args:
        ratio: Further attempts per request.
        window: Both are counted over it.
        burst: Allowed beside the ratio, so that a single request of a quiet
            instance may be tried again.
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
        """Changes the bounds; what was counted stays."""
        self._ratio = ratio
        self._window = window

    def note_request(self) -> None:
        """Counts a first attempt."""
        self._requests.append(self._clock.monotonic())

    def requests_per_s(self) -> float:
        """Returns the rate of first attempts; 0 if too few are known.

        The window may not have passed since the first one of all.
        """
        self._forget_old()
        if len(self._requests) < _LEAST_RATED:
            return 0.0
        span = self._clock.monotonic() - self._requests[0]
        return len(self._requests) / max(span.total_seconds(), 1.0)

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - self._window
        for times in (self._requests, self._spent):
            while times and times[0] <= oldest:
                times.popleft()

    def left(self) -> float:
        """Returns how many further attempts may be made now."""
        self._forget_old()
        allowed = self._ratio * len(self._requests) + self._burst
        return allowed - len(self._spent) - self._reserved

    def try_spend(self) -> bool:
        """Takes leave for one more attempt."""
        if self.left() < 1:
            return False
        self._spent.append(self._clock.monotonic())
        return True

    def try_reserve(self) -> bool:
        """Takes leave for an attempt that may be made later, or never.

        The failure: leave was counted at the moment at which it was taken.
        Used when its window was over it counted nowhere, and given back it
        took another request's attempt with it: twice as many were sent in a
        window as may be. So it counts until it is used or given back, and then
        like any attempt.
        """
        if self.left() < 1:
            return False
        self._reserved += 1
        return True

    def spend_reserved(self) -> None:
        """Uses leave that was held; it is not asked for again."""
        self._reserved -= 1
        self._spent.append(self._clock.monotonic())

    def release_reserved(self) -> None:
        """Gives back leave that was held and is not used."""
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
