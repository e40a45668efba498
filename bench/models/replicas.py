"""Model engines as queues with a batch of slots."""

import collections
from collections.abc import Callable
import dataclasses

from bench.models import simulation

# Requests join an engine's batch between two steps of this length.
STEP_S = 0.034


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """One generation.

    Attributes:
        work_s: Time for which it occupies a slot of the batch.
        done: Called when it ends.
    """

    arrived_s: float
    work_s: float
    done: Callable[[], None] | None = None
    waited_s: float = 0.0


class Replica:
    """An engine with a batch of fixed size; first come, first served.

    Attributes:
        slowdown: Factor on the work of jobs that start from now on.
    """

    __slots__ = ("_queue", "_simulation", "capacity", "running", "slowdown")

    def __init__(self, *, simulation: simulation.Simulation, capacity: int):
        self._simulation = simulation
        self._queue: collections.deque[Job] = collections.deque()
        self.capacity = capacity
        self.running = 0
        self.slowdown = 1.0

    @property
    def waiting(self) -> int:
        """Jobs that wait for a slot."""
        return len(self._queue)

    @property
    def load(self) -> int:
        """Running and waiting jobs."""
        return self.running + len(self._queue)

    def submit(self, job: Job) -> None:
        """Queues a job, or starts it if a slot is free."""
        self._queue.append(job)
        self._fill_batch()

    def _fill_batch(self) -> None:
        while self._queue and self.running < self.capacity:
            self._start(self._queue.popleft())

    def _start(self, job: Job) -> None:
        now_s = self._simulation.now_s
        self.running += 1
        to_next_step_s = STEP_S - now_s % STEP_S
        job.waited_s = now_s + to_next_step_s - job.arrived_s
        end_s = now_s + to_next_step_s + job.work_s * self.slowdown
        self._simulation.call_at(end_s, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        self.running -= 1
        self._fill_batch()
        if job.done is not None:
            job.done()
