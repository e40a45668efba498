"""Continuous batching in a model engine stand-in."""

import asyncio
from collections.abc import Callable
import datetime
import heapq
import itertools

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import answers
from nutmeghook.standins import engine_cache
from nutmeghook.standins import engine_runs
from nutmeghook.standins import engine_settings

_MILLISECOND = datetime.timedelta(milliseconds=1)


class Batch:
    """A batch whose generations advance each step, and a priority queue.

    Attributes:
        running: The generations in the batch.
        log: All generations that were ever started, oldest first.
    """

    __slots__ = (
        "_arrivals",
        "_cache",
        "_clock",
        "_on_change",
        "_queue",
        "_settings",
        "_task",
        "log",
        "running",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        settings: engine_settings.EngineSettings,
        cache: engine_cache.PrefixCache,
        on_change: Callable[[], None],
    ):
        self._clock = clock
        self._settings = settings
        self._cache = cache
        self._on_change = on_change
        self._arrivals = itertools.count()
        self._queue: list[tuple[int, int, engine_runs.Run]] = []
        self._task: asyncio.Task[None] | None = None
        self.running: list[engine_runs.Run] = []
        self.log: list[engine_runs.RunRecord] = []

    @property
    def waiting(self) -> int:
        """Number of generations in the queue."""
        return sum(not run.ended for _, _, run in self._queue)

    def submit(self, run: engine_runs.Run) -> None:
        """Starts a generation, or queues it.

        Raises:
            failures.NotDoneError: The queue is full.
        """
        full = len(self.running) >= self._settings.capacity
        if full and self.waiting >= self._settings.queue_limit:
            raise failures.NotDoneError(
                f"{self.waiting} generations wait",
                retry_after=self._step_duration() * 10,
                overloaded=True,
            )
        priority = run.generation.priority
        heapq.heappush(self._queue, (-priority, next(self._arrivals), run))
        self._fill()
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run_steps())
        self._on_change()

    def cancel(self, run: engine_runs.Run) -> None:
        """Stops a generation; a queued one is dropped without running."""
        if run.state is engine_runs.RunState.WAITING:
            run.end(engine_runs.RunState.DROPPED)
        run.end(engine_runs.RunState.FINISHED, engine.FinishReason.CANCELLED)
        if run in self.running:
            self.running.remove(run)
        self._on_change()

    def lose_all(self) -> None:
        """Loses all generations, as a crash does."""
        for run in [*self.running, *(entry[2] for entry in self._queue)]:
            run.end(engine_runs.RunState.LOST)
        self.running.clear()
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()
        self._on_change()

    async def _run_steps(self) -> None:
        while self.running or self._queue:
            await self._clock.sleep(self._step_duration())
            self._step()
            self._fill()
            self._on_change()

    def _step_duration(self) -> datetime.timedelta:
        further = max(0, len(self.running) - 1)
        factor = 1 + self._settings.slowdown_per_generation * further
        step_ms = self._settings.step_ms * self._settings.slow_factor
        return step_ms * factor * _MILLISECOND

    def _step(self) -> None:
        now = self._clock.monotonic()
        for run in list(self.running):
            if self._is_abandoned(run, now):
                self.cancel(run)
                continue
            if run.ready_at <= now:
                self._generate(run)
        self.running = [run for run in self.running if not run.ended]
        for _, _, run in self._queue:
            if self._is_abandoned(run, now):
                run.end(engine_runs.RunState.DROPPED)

    def _is_abandoned(
        self, run: engine_runs.Run, now: datetime.timedelta
    ) -> bool:
        keep = self._settings.keep_attempt_ms * _MILLISECOND
        unread = run.readers == 0 and now - run.unread_since > keep
        return unread or now > run.deadline

    def _generate(self, run: engine_runs.Run) -> None:
        record = run.record
        for _ in range(self._settings.tokens_per_step):
            if not run.ended:
                run.add_token(bad=bool(record and record.bad))
        if run.ended and record is not None:
            self._cache.store(
                engine_cache.prefix_hash(run.generation),
                record.prompt_tokens + len(run.texts),
            )

    def _fill(self) -> None:
        now = self._clock.monotonic()
        while self._queue and len(self.running) < self._settings.capacity:
            run = heapq.heappop(self._queue)[2]
            if not run.ended:
                self._start(run, now)

    def _start(self, run: engine_runs.Run, now: datetime.timedelta) -> None:
        generation = run.generation
        name = engine_cache.prefix_hash(generation)
        prompt_tokens = len(answers.prompt_of(generation).split())
        cached = min(prompt_tokens, self._cache.cached_tokens(name))
        prompt_ms = (prompt_tokens - cached) * self._settings.prompt_token_ms
        run.ready_at = (
            now + prompt_ms * self._settings.slow_factor * _MILLISECOND
        )
        run.record = engine_runs.RunRecord(
            attempt_id=generation.attempt_id,
            model_version=str(generation.model_version),
            marker=run.marker,
            session=generation.session,
            started_ms=self._clock.now().timestamp() * 1000,
            bad=generation.model_version in self._settings.bad_versions,
            prompt_tokens=prompt_tokens,
            cached_tokens=cached,
        )
        run.state = engine_runs.RunState.RUNNING
        self._cache.store(name, prompt_tokens)
        self.log.append(run.record)
        self.running.append(run)
        run.wake_readers()
