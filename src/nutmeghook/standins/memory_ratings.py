"""In-memory rating service that can be delayed, stopped or biased."""

import collections
from collections.abc import Callable
import datetime

from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import faults as faults_module


class MemoryRatings(ratings.RatingService):
    """Rates each task by a function, `delay` after it was submitted.

    Attributes:
        delay: Time from a task to its rating.
        stopped: Tasks are accepted, but none is rated.
        bias: Added to each quality; the sum is clamped to 0 to 1.
        quality: Returns the quality of a task's answer; may be replaced.
    """

    __slots__ = (
        "_clock",
        "_ratings",
        "_submitted",
        "_waiting",
        "bias",
        "delay",
        "faults",
        "quality",
        "stopped",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        quality: Callable[[ratings.RatingTask], float],
        faults: faults_module.Faults | None = None,
        delay: datetime.timedelta = datetime.timedelta(),
    ):
        self.faults = faults or faults_module.Faults(clock=clock)
        self.delay = delay
        self.stopped = False
        self.bias = 0.0
        self._clock = clock
        self.quality = quality
        self._submitted: set[tuple[str, int]] = set()
        self._waiting: collections.deque[
            tuple[datetime.timedelta, ratings.RatingTask]
        ] = collections.deque()
        self._ratings: list[ratings.Rating] = []

    async def submit(self, tasks: list[ratings.RatingTask]) -> None:
        """Submits answers; each request and stage is rated only once."""
        await self.faults.write(lambda: self._submit(tasks))

    async def ratings_after(
        self, cursor: int, *, limit: int = 1000
    ) -> list[ratings.Rating]:
        """Returns the ratings after a cursor, in order."""
        await self.faults.before_read()
        self._rate_due_tasks()
        start = max(0, cursor)  # The first rating's cursor is 1.
        return self._ratings[start : start + limit]

    def _submit(self, tasks: list[ratings.RatingTask]) -> None:
        for task in tasks:
            identity = (task.request_id, task.stage)
            if identity not in self._submitted:
                self._submitted.add(identity)
                self._waiting.append((self._clock.monotonic(), task))

    def _rate_due_tasks(self) -> None:
        due_before = self._clock.monotonic() - self.delay
        while (
            self._waiting
            and not self.stopped
            and self._waiting[0][0] <= due_before
        ):
            self._rate(self._waiting.popleft()[1])

    def _rate(self, task: ratings.RatingTask) -> None:
        quality = self.quality(task) + self.bias
        self._ratings.append(
            ratings.Rating(
                cursor=len(self._ratings) + 1,
                request_id=task.request_id,
                team=task.team,
                template=task.template,
                model_version=task.model_version,
                stage=task.stage,
                quality=min(1.0, max(0.0, quality)),
            )
        )
