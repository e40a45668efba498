"""Submits sampled answers for rating, outside the request path."""

import asyncio
import datetime

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.foundation import clock as clock_module

BATCH_TASKS = 50
SUBMIT_TIMEOUT = datetime.timedelta(seconds=5)
PAUSE_AFTER_FAILURE = datetime.timedelta(seconds=1)


class RatingQueue:
    """A bounded queue in front of the rating service.

    An outage of the service must not affect callers: answers that find the
    queue full are dropped and counted. A roll-out that misses ratings stops
    growing.
    """

    __slots__ = ("_clock", "_meter", "_queue", "_service")

    def __init__(
        self,
        *,
        service: ratings_module.RatingService,
        clock: clock_module.Clock,
        meter: meter_module.Meter,
        capacity_tasks: int = 1000,
    ):
        if capacity_tasks < 1:
            raise ValueError(
                f"capacity_tasks is {capacity_tasks}; give 1 or more"
            )
        self._service = service
        self._clock = clock
        self._meter = meter
        self._queue: asyncio.Queue[ratings_module.RatingTask] = asyncio.Queue(
            capacity_tasks
        )

    def offer(self, task: ratings_module.RatingTask) -> None:
        """Queues an answer, or drops it if the queue is full."""
        try:
            self._queue.put_nowait(task)
        except asyncio.QueueFull:
            self._meter.rating_dropped()

    async def run(self) -> None:
        """Submits what is queued, until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while len(batch) < BATCH_TASKS and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            await self._submit(batch)

    async def _submit(self, batch: list[ratings_module.RatingTask]) -> None:
        """Submits a batch; a failed submission is retried once.

        The service rates each request and stage once, so a batch that is
        submitted twice does no harm.
        """
        for _ in range(2):
            try:
                await self._clock.wait_for(
                    self._service.submit(batch), SUBMIT_TIMEOUT
                )
                return
            except (failures.PlatformError, TimeoutError):
                await self._clock.sleep(PAUSE_AFTER_FAILURE)
        for _ in batch:
            self._meter.rating_dropped()
