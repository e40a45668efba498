"""A queue of timed callbacks that drives a virtual clock."""

from collections.abc import Callable
import datetime
import heapq
import itertools

from nutmeghook.internal.foundation import clock


class Simulation(clock.Clock):
    """Runs callbacks in the order of their times, without waiting.

    It is also the clock of the simulated parts. `now_s` is the same time in
    seconds as a float.
    """

    __slots__ = ("_order", "_queue", "now_s")

    def __init__(self):
        self.now_s = 0.0
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, moment_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a time, or now if that is past."""
        heapq.heappush(
            self._queue,
            (max(moment_s, self.now_s), next(self._order), callback),
        )

    def call_every(
        self, period_s: float, callback: Callable[[], None], *, first_s: float
    ) -> None:
        """Schedules a callback periodically."""

        def run() -> None:
            callback()
            self.call_at(self.now_s + period_s, run)

        self.call_at(first_s, run)

    def run_until(self, end_s: float) -> None:
        """Runs all callbacks up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_s = end_s

    def now(self) -> datetime.datetime:
        """Returns the virtual time as a wall time."""
        start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        return start + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Returns the virtual time."""
        return datetime.timedelta(seconds=self.now_s)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Not supported: models use `call_at`."""
        raise NotImplementedError("simulations use call_at instead of sleeping")
