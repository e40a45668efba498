"""The holder's side of one partition: decides, commits and answers requests.

Requests queue for the next commit and are decided in order. A request is
answered only when the state that its answer depends on is durable: if the
holder is killed between commit and reply, its successor reads the same state
back, and a repeated request gets the same answer there.
"""

import asyncio
import collections
from collections.abc import Callable
import datetime
import random

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import keeper as keeper_module
from nutmeghook.internal.ledger import archive as archive_module
from nutmeghook.internal.ledger import budget as budget_module
from nutmeghook.internal.ledger import index as index_module
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import log as log_module
from nutmeghook.internal.ledger import records
from nutmeghook.internal.ledger import settings as settings_module
from nutmeghook.internal.ledger import store_health

_TAKE_OVER_RETRY_PAUSE = datetime.timedelta(milliseconds=300)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Batches replayed before other tasks get a turn during a take-over.
_REPLAY_BATCHES = 50
_MAX_OBJECTS_PER_PASS = 8

_STORE_OUT = records.Refused(reason=records.RefusalReason.STORE_OUT)
_FULL = records.Refused(reason=records.RefusalReason.FULL)


class _PendingRequest:
    """A queued request and the future of its result."""

    __slots__ = ("decision", "reply", "request")

    def __init__(self, request: records.Request):
        self.request = request
        self.decision: index_module.Decision | None = None
        self.reply: asyncio.Future[index_module.Decision] = (
            asyncio.get_running_loop().create_future()
        )

    def answer_bytes(self) -> int:
        """Returns the size of the answer to keep; 0 if there is none."""
        if not isinstance(self.request, records.FinishRecord):
            return 0
        answer = self.request.answer
        return len(answer.body) if answer and answer.body else 0

    def answer(self, result: records.Result) -> None:
        """Answers with a result that depends on no record."""
        self.resolve(index_module.Decision(result=result))

    def resolve(self, decision: index_module.Decision) -> None:
        """Answers with a decision; the state it depends on is durable."""
        if not self.reply.done():
            self.reply.set_result(decision)


class PartitionWriter:
    """Serves one partition while this instance holds its lease."""

    __slots__ = (
        "_archive",
        "_budget",
        "_clock",
        "_health",
        "_index",
        "_is_alive",
        "_lease",
        "_log",
        "_partition",
        "_queue",
        "_random",
        "_settings",
        "_stopping",
        "_table",
        "_token",
        "_wake",
        "commits",
    )

    def __init__(
        self,
        *,
        partition: int,
        lease: keeper_module.LeaseKeeper,
        table: table_module.TableService,
        health: store_health.StoreHealth,
        archive: archive_module.BillArchive,
        is_alive: Callable[[str], bool],
        clock: clock_module.Clock,
        rng: random.Random,
        settings: settings_module.LedgerSettings,
    ):
        self._partition = partition
        self._lease = lease
        self._table = table
        self._health = health
        self._archive = archive
        self._is_alive = is_alive
        self._clock = clock
        self._random = rng
        self._settings = settings
        self._budget = budget_module.WriteBudget(
            clock=clock,
            per_s=settings.writes_per_s / settings.partitions,
            burst=settings.burst_writes,
        )
        self._queue: collections.deque[_PendingRequest] = collections.deque()
        self._log: log_module.PartitionLog | None = None
        self._index: index_module.PartitionIndex | None = None
        self._token: int | None = None
        self._stopping = False
        self._wake = asyncio.Event()
        self.commits = 0
        lease.on_change(self._wake.set)

    @property
    def lease(self) -> keeper_module.LeaseKeeper:
        """The partition's lease."""
        return self._lease

    @property
    def is_serving(self) -> bool:
        """Whether the log has been read and requests are decided here."""
        return self._index is not None and not self._stopping

    async def append(
        self, requests: list[records.Request]
    ) -> list[records.Result]:
        """Decides requests and commits their records."""
        pending = [self._admit(request) for request in requests]
        return [await self._result(item) for item in pending]

    async def run(self) -> None:
        """Serves the partition whenever the lease is held, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            try:
                await self._serve()
            except failures.PlatformError:
                await self._clock.sleep(
                    _TAKE_OVER_RETRY_PAUSE * (1 + self._random.random())
                )
                self._wake.set()

    async def archive_old_rows(self) -> None:
        """Archives old bills, so that their rows can be reused."""
        if self._index is None:
            return
        now_ms = self._now_ms()
        self._index.expire(now_ms=now_ms)
        before_ms = now_ms - self._settings.window // _MILLISECOND
        for _ in range(_MAX_OBJECTS_PER_PASS):
            if not await self._archive_rows(before_ms):
                return

    async def _archive_rows(self, before_ms: int) -> bool:
        """Archives one object of bills; returns whether it did."""
        log = self._log
        if log is None or self._health.is_out:
            return False
        rows = log.rows_before(
            before_ms=before_ms, limit=self._settings.fold_records
        )
        if not rows:
            return False
        archived = await self._archive.archive(self._partition, rows)
        if self._log is log:
            log.free(archived)
        return archived > 0

    async def stop(self, *, timeout: datetime.timedelta) -> None:
        """Answers queued requests, then releases the lease."""
        give_up_at = self._clock.monotonic() + timeout
        while self._queue and self._clock.monotonic() < give_up_at:
            await self._clock.sleep(timeout / 20)
        self._stopping = True
        self._refuse_queue(self._not_holder())
        await self._lease.release()

    def _admit(self, request: records.Request) -> _PendingRequest:
        """Answers a request that needs no commit; queues any other."""
        item = _PendingRequest(request)
        if not self.is_serving:
            if self._lease.last_token() is None:
                self._lease.wake()
            item.answer(self._not_holder())
            return item
        decision = self._decide_now(request)
        if decision is not None:
            item.resolve(decision)
        elif self._health.is_out:
            item.answer(_STORE_OUT)
        elif len(self._queue) >= self._settings.max_pending:
            item.answer(_FULL)
        else:
            self._queue.append(item)
            self._wake.set()
        return item

    def _decide_now(
        self, request: records.Request
    ) -> index_module.Decision | None:
        if isinstance(request, records.FinishRecord):
            # Nearly always new, so it is decided only with its commit.
            return None
        if self._index.depends_on_staged(request):
            return None
        decision = self._index.decide(request, now_ms=self._now_ms())
        if decision.record is not None:
            return None
        # Most results may be stale if another instance has taken the
        # partition over. Final ones, such as a pin or a finished request,
        # can't be, so they are answered from memory even during an outage of
        # the table service.
        if decision.is_final or self._lease.fencing_token() is not None:
            return decision
        return None

    async def _result(self, item: _PendingRequest) -> records.Result:
        decision = await item.reply
        if not decision.answer_row:
            return decision.result
        try:
            answer = await self._read_answer(decision.answer_row, item.request)
        except failures.PlatformError:
            return _STORE_OUT
        return records.ClaimReply(
            state=ledger.ClaimState.ANSWERED, answer=answer
        )

    async def _read_answer(
        self, row_key: str, claim: records.ClaimRecord
    ) -> ledger.KeptAnswer | None:
        """Reads a kept answer from its row; the index holds none."""
        row = await self._table.read(row_key)
        if row is None:
            return None
        for record in records.decode_batch(row.value).records:
            if (
                isinstance(record, records.FinishRecord)
                and record.key == claim.key
                and record.team == claim.team
            ):
                return record.answer
        return None

    async def _serve(self) -> None:
        if self._lease.last_token() != self._token:
            self._discard_state()
        if self._lease.last_token() is None:
            return
        if self._index is None:
            await self._take_over(self._lease.last_token())
        while self._queue and self._token == self._lease.last_token():
            await self._commit_next()

    def _discard_state(self) -> None:
        """Discards the partition's state; another instance holds it now."""
        self._index = None
        self._log = None
        self._token = None
        self._refuse_queue(self._not_holder())

    async def _take_over(self, token: int) -> None:
        """Reads the log; requests are answered only once that is done."""
        log = log_module.PartitionLog(
            partition=self._partition,
            token=token,
            lease=self._lease,
            table=self._table,
            health=self._health,
            budget=self._budget,
            clock=self._clock,
            rng=self._random,
        )
        index = index_module.PartitionIndex(
            is_alive=self._is_alive,
            max_entries=self._settings.max_entries,
            window_ms=self._settings.window // _MILLISECOND,
            minted_window_ms=self._settings.minted_window // _MILLISECOND,
        )
        for number, (row_key, batch) in enumerate(await log.read_all()):
            if number % _REPLAY_BATCHES == 0:
                await asyncio.sleep(0)
            for record in batch.records:
                index.replay(
                    record, row_key=row_key, written_ms=batch.written_ms
                )
        index.expire(now_ms=self._now_ms())
        if self._lease.last_token() == token:
            self._log = log
            self._index = index
            self._token = token

    async def _commit_next(self) -> None:
        """Decides queued requests, commits them as one row, and answers."""
        # Requests that arrive during this wait join the commit.
        await self._log.wait_to_commit()
        batch = self._take_batch()
        row = self._log.next_row()
        now_ms = self._now_ms()
        stored: list[records.Record] = []
        for item in batch:
            item.decision = self._index.decide(item.request, now_ms=now_ms)
            if item.decision.record is not None:
                stored.append(item.decision.record)
                self._index.stage(
                    item.decision.record, row_key=row.key, written_ms=now_ms
                )
        try:
            # Without a valid lease, even an empty batch is committed: it
            # proves that this is still the holder, on which the results
            # depend.
            if stored or self._lease.fencing_token() is None:
                await self._log.commit(tuple(stored), written_ms=now_ms)
                self.commits += 1
        except log_module.LostPartitionError:
            self._index.discard_staged()
            _answer_all(batch, self._not_holder())
            self._wake.set()
        except log_module.StoreOutError:
            self._index.discard_staged()
            _answer_all(batch, _STORE_OUT)
            self._refuse_queue(_STORE_OUT)
        else:
            self._index.merge_staged()
            for item in batch:
                item.resolve(item.decision)

    def _take_batch(self) -> list[_PendingRequest]:
        batch: list[_PendingRequest] = []
        size_bytes = 0
        while (
            self._queue
            and len(batch) < self._settings.max_batch
            and size_bytes < self._settings.max_batch_bytes
        ):
            item = self._queue.popleft()
            batch.append(item)
            size_bytes += item.answer_bytes()
        return batch

    def _refuse_queue(self, result: records.Result) -> None:
        _answer_all(self._queue, result)
        self._queue.clear()

    def _not_holder(self) -> records.NotHolder:
        row = self._lease.known_holder()
        if row is None or row.released or row.holder == self._lease.incarnation:
            return records.NotHolder()
        return records.NotHolder(inner_address=row.inner_address)

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _answer_all(
    items: collections.abc.Iterable[_PendingRequest], result: records.Result
) -> None:
    for item in items:
        item.answer(result)
