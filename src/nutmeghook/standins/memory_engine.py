"""In-memory model engine with batching, a queue, a prefix cache and faults."""

from collections.abc import AsyncIterator
import datetime
import random

import msgspec
import xxhash

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import answers
from nutmeghook.standins import engine_batch
from nutmeghook.standins import engine_cache
from nutmeghook.standins import engine_orders
from nutmeghook.standins import engine_reports
from nutmeghook.standins import engine_runs
from nutmeghook.standins import engine_settings
from nutmeghook.standins import faults as faults_module

_MILLISECOND = datetime.timedelta(milliseconds=1)


class CacheContent(msgspec.Struct, frozen=True, kw_only=True):
    """An exported KV cache, of which only the size is modelled."""

    tokens: int


class MemoryEngine(engine.Engine):
    """One engine.

    An attempt runs at most once: a repeated call reads the tokens that the
    attempt already has. For `keep_attempt_ms` it continues without a reader,
    so that an interrupted stream can be resumed.

    Attributes:
        faults: `down` and `delay` apply to all calls, the faults of writes to
            orders and cache imports.
    """

    __slots__ = (
        "_attempts",
        "_batch",
        "_cache",
        "_clock",
        "_orders",
        "_reports",
        "faults",
        "settings",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        loaded: tuple[engine.ModelVersion, ...] = (),
        settings: engine_settings.EngineSettings | None = None,
        faults: faults_module.Faults | None = None,
        random_source: random.Random | None = None,
        redeem: engine_orders.TicketRedeemer | None = None,
    ):
        self._clock = clock
        self.settings = settings or engine_settings.EngineSettings()
        self.faults = faults or faults_module.Faults(clock=clock)
        self._attempts: dict[str, engine_runs.Run] = {}
        self._orders = engine_orders.OrderHandler(
            clock=clock, settings=self.settings, loaded=loaded, redeem=redeem
        )
        self._cache = engine_cache.PrefixCache(
            clock=clock,
            settings=self.settings,
            random_source=random_source or random.Random(0),
        )
        self._batch = engine_batch.Batch(
            clock=clock,
            settings=self.settings,
            cache=self._cache,
            on_change=self.record_load,
        )
        self._reports = engine_reports.DelayedReports(
            clock=clock, settings=self.settings, measure=self._load_now
        )

    @property
    def runs(self) -> list[engine_runs.RunRecord]:
        """The generations that were ever started, oldest first."""
        return self._batch.log

    @property
    def orders(self) -> list[engine_orders.OrderRecord]:
        """The orders that were ever received, oldest first."""
        return self._orders.log

    def crash(self) -> None:
        """Loses generations and caches; loaded versions stay loaded."""
        self._batch.lose_all()
        self._cache.clear()
        self._attempts.clear()

    def record_load(self) -> None:
        """Records a change of settings or load for later reports."""
        self._reports.record()

    async def generate(
        self, generation: engine.Generation
    ) -> AsyncIterator[engine.Chunk]:
        """Runs the generation and yields its chunks as they are generated."""
        await self.faults.before_read()
        self._forget_old_attempts()
        run = self._attempts.get(generation.attempt_id)
        if run is None:
            run = self._new_run(generation)
        run.readers += 1
        try:
            async for chunk in self._read(run, generation.resume_at_token):
                yield chunk
        finally:
            run.readers -= 1
            run.unread_since = self._clock.monotonic()

    async def cancel(self, attempt_id: str) -> None:
        """Stops an attempt, if it still runs."""
        self.faults.refuse_if_down()
        run = self._attempts.get(attempt_id)
        if run is not None:
            self._batch.cancel(run)

    async def load_report(self) -> engine.LoadReport:
        """Returns the load report of `report_lag_ms` ago."""
        await self.faults.before_read()
        return self._reports.visible()

    async def order(self, order: engine.Order) -> engine.OrderState:
        """Executes an order, or returns the state of one with the same id."""
        return await self.faults.write(lambda: self._handle_order(order))

    async def cache_events(
        self, after_sequence: int
    ) -> list[engine.CacheEvent]:
        """Returns the kept events after a sequence number."""
        await self.faults.before_read()
        return self._cache.events(after_sequence)

    async def export_cache(self, prefix_hash: str) -> bytes | None:
        """Returns the KV cache of a prefix, if the engine has it."""
        await self.faults.before_read()
        tokens = self._cache.cached_tokens(prefix_hash)
        if not tokens:
            return None
        return msgspec.json.encode(CacheContent(tokens=tokens))

    async def import_cache(self, prefix_hash: str, content: bytes) -> None:
        """Stores the KV cache of a prefix in the engine."""
        try:
            decoded = msgspec.json.decode(content, type=CacheContent)
        except msgspec.DecodeError as error:
            raise failures.NotDoneError(f"content: {error}") from error
        await self.faults.write(
            lambda: self._cache.store(prefix_hash, decoded.tokens)
        )

    def _new_run(self, generation: engine.Generation) -> engine_runs.Run:
        self._check_acceptable(generation)
        now = self._clock.monotonic()
        run = engine_runs.Run(
            generation=generation,
            answer_tokens=self._answer_tokens(generation),
            deadline=now + generation.deadline_ms * _MILLISECOND,
            now=now,
        )
        self._batch.submit(run)
        self._attempts[generation.attempt_id] = run
        return run

    def _check_acceptable(self, generation: engine.Generation) -> None:
        if generation.resume_at_token:
            raise failures.NotDoneError(
                f"attempt {generation.attempt_id} is not kept here"
            )
        if self.settings.refuses_work:
            raise failures.NotDoneError(
                "no new work is taken", leaving=self.settings.leaving
            )
        if generation.model_version not in self._orders.loaded():
            raise failures.NotDoneError(
                f"{generation.model_version} is not loaded"
            )

    def _answer_tokens(self, generation: engine.Generation) -> int:
        mean = self.settings.mean_answer_tokens
        digest = xxhash.xxh64_intdigest(answers.prompt_of(generation).encode())
        wanted = max(1, mean // 2 + digest % (mean + 1))
        return max(1, min(generation.max_tokens, wanted))

    async def _read(
        self, run: engine_runs.Run, start: int
    ) -> AsyncIterator[engine.Chunk]:
        cut_at = self._next_cut(start)
        crossed = self._next_crossed()
        index = start
        while True:
            end = len(run.texts)
            if index < end or run.finish is not None:
                last = run.finish is not None
                yield self._chunk(run, min(index, end), end)
                if last:
                    return
                index = end
            elif run.ended:
                raise _ended_without_finish(run)
            else:
                await run.changed()
            if cut_at is not None and index >= cut_at:
                raise failures.OutcomeUnknownError("the stream was cut")
            if crossed and index > start:
                crossed = False
                yield _foreign_chunk(run, index)

    def _chunk(
        self, run: engine_runs.Run, start: int, end: int
    ) -> engine.Chunk:
        generation = run.generation
        text = "".join(run.texts[start:end])
        record = run.record
        if run.finish is None or record is None:
            return engine.Chunk(
                attempt_id=generation.attempt_id,
                token_index=start,
                tokens=end - start,
                text=text,
            )
        along = self.settings.sends_load_along
        return engine.Chunk(
            attempt_id=generation.attempt_id,
            token_index=start,
            tokens=end - start,
            text=text,
            finish=run.finish,
            prompt_tokens=record.prompt_tokens,
            cached_tokens=record.cached_tokens,
            load=self._reports.visible() if along else None,
        )

    def _next_cut(self, start: int) -> int | None:
        if self.settings.cut_next_streams <= 0:
            return None
        self.settings.cut_next_streams -= 1
        return start + self.settings.cut_after_tokens

    def _next_crossed(self) -> bool:
        if self.settings.crossed_next_streams <= 0:
            return False
        self.settings.crossed_next_streams -= 1
        return True

    def _forget_old_attempts(self) -> None:
        keep = self.settings.keep_attempt_ms * _MILLISECOND
        forgotten_before = self._clock.monotonic() - keep
        for attempt_id, run in list(self._attempts.items()):
            if run.readers or not run.ended:
                continue
            if run.unread_since < forgotten_before:
                del self._attempts[attempt_id]

    def _handle_order(self, order: engine.Order) -> engine.OrderState:
        state = self._orders.handle(order)
        self.record_load()
        return state

    def _load_now(self) -> engine.LoadReport:
        return engine.LoadReport(
            loaded=self._orders.loaded(),
            running=len(self._batch.running),
            waiting=self._batch.waiting,
            capacity=self.settings.capacity,
            age_ms=self.settings.report_lag_ms,
            leaving=self.settings.leaving,
        )


class MemoryEngines(engine.EngineConnector):
    """Engines in memory, by address."""

    __slots__ = ("engines",)

    def __init__(self, *, engines: dict[str, engine.Engine]):
        self.engines = engines

    def connect(self, address: str) -> engine.Engine:
        """Returns the engine at an address."""
        return self.engines[address]


def _ended_without_finish(run: engine_runs.Run) -> failures.PlatformError:
    if run.state is engine_runs.RunState.DROPPED:
        return failures.NotDoneError("it was dropped from the queue")
    return failures.OutcomeUnknownError("the engine lost the generation")


def _foreign_chunk(run: engine_runs.Run, index: int) -> engine.Chunk:
    return engine.Chunk(
        attempt_id=f"another-{run.generation.attempt_id}",
        token_index=index,
        tokens=1,
        text="crossed/other@0/0 ",
    )
