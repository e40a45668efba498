"""One partition's log: reused rows in the table service.

A row holds one commit's records. Once its records are older than the window
and its bills are in the object store, a later commit overwrites it. Deleting
rows instead would double the writes, and the table service's write rate is
limited.
"""

import collections
import dataclasses
import datetime
import random

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import keeper as keeper_module
from nutmeghook.internal.ledger import budget as budget_module
from nutmeghook.internal.ledger import records
from nutmeghook.internal.ledger import store_health

KEY_PREFIX = "ledger/"
_PAGE_ROWS = 200
_RETRY_PAUSE = datetime.timedelta(milliseconds=100)


class LostPartitionError(Exception):
    """Another instance holds the partition; the commit certainly failed."""


class StoreOutError(Exception):
    """The table service is out; the commit certainly failed."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class LogRow:
    """A row of the log as the holder remembers it.

    Attributes:
        version: Row version that the next overwrite is conditional on.
        written_ms: Wall time of its batch; 0 for a row not yet written.
        position: Token and sequence of its batch, which give the order.
    """

    key: str
    version: int = table_module.ABSENT_VERSION
    written_ms: int = 0
    position: tuple[int, int] = (0, 0)


def partition_prefix(partition: int) -> str:
    """Returns the key prefix of a partition's rows."""
    return f"{KEY_PREFIX}{partition:03d}/"


class PartitionLog:
    """The holder's side of a partition's log; one commit at a time."""

    __slots__ = (
        "_budget",
        "_clock",
        "_free",
        "_health",
        "_lease",
        "_live",
        "_partition",
        "_random",
        "_row_count",
        "_sequence",
        "_table",
        "_token",
    )

    def __init__(
        self,
        *,
        partition: int,
        token: int,
        lease: keeper_module.LeaseKeeper,
        table: table_module.TableService,
        health: store_health.StoreHealth,
        budget: budget_module.WriteBudget,
        clock: clock_module.Clock,
        rng: random.Random,
    ):
        self._partition = partition
        self._token = token
        self._lease = lease
        self._table = table
        self._health = health
        self._budget = budget
        self._clock = clock
        self._random = rng
        self._sequence = 0
        self._row_count = 0
        self._live: collections.deque[LogRow] = collections.deque()
        self._free: list[LogRow] = []

    def __len__(self) -> int:
        """Returns how many rows hold records that are still kept."""
        return len(self._live)

    async def read_all(self) -> list[tuple[str, records.Batch]]:
        """Reads the whole log, oldest batch first, without answers.

        Once this instance has the lease, no commit of an earlier holder can
        succeed, so the log read here is complete.
        """
        found: list[tuple[LogRow, records.Batch]] = []
        after = ""
        prefix = partition_prefix(self._partition)
        while True:
            page = await self._table.scan(
                prefix=prefix, after=after, limit=_PAGE_ROWS
            )
            found.extend(_decoded(row) for row in page)
            if len(page) < _PAGE_ROWS:
                break
            after = page[-1].key
        found.sort(key=lambda pair: pair[0].position)
        self._live.extend(row for row, _ in found)
        self._row_count = len(found)
        return [(row.key, batch) for row, batch in found]

    def next_row(self) -> LogRow:
        """Returns the row that the next commit writes."""
        if not self._free:
            key = f"{partition_prefix(self._partition)}{self._row_count:08d}"
            self._row_count += 1
            self._free.append(LogRow(key=key))
        return self._free[-1]

    async def wait_to_commit(self) -> None:
        """Waits until the budget allows the next commit."""
        await self._budget.acquire()

    async def commit(
        self, batch_records: tuple[records.Record, ...], *, written_ms: int
    ) -> None:
        """Makes a batch durable in `next_row`.

        Returns only when the batch is durable for certain, and raises only
        when it is certain that it is not and never will be.

        Raises:
            LostPartitionError: Another instance holds the lease.
            StoreOutError: The table service refused, and is out.
        """
        row = self.next_row()
        self._sequence += 1
        batch = records.Batch(
            token=self._token,
            sequence=self._sequence,
            written_ms=written_ms,
            records=batch_records,
        )
        version = await self._commit_until_certain(row, batch)
        self._free.pop()
        self._live.append(
            LogRow(
                key=row.key,
                version=version,
                written_ms=written_ms,
                position=(self._token, self._sequence),
            )
        )

    def oldest(self, *, before_ms: int) -> LogRow | None:
        """Returns the oldest live row if it was written before a time."""
        if self._live and self._live[0].written_ms < before_ms:
            return self._live[0]
        return None

    def rows_before(self, *, before_ms: int, limit: int) -> list[LogRow]:
        """Returns the oldest live rows that were written before a time."""
        rows = []
        for row in self._live:
            if row.written_ms >= before_ms or len(rows) == limit:
                break
            rows.append(row)
        return rows

    def free(self, count: int) -> None:
        """Allows the oldest rows to be overwritten."""
        for _ in range(count):
            self._free.insert(0, self._live.popleft())

    async def _commit_until_certain(
        self, row: LogRow, batch: records.Batch
    ) -> int:
        value = records.encoder.encode(batch)
        in_doubt = False
        while True:
            try:
                result = await self._table.commit(self._transaction(row, value))
            except failures.NotDoneError as error:
                if not in_doubt and self._health.is_out:
                    raise StoreOutError from error
                await self._pause(error.retry_after)
                continue
            except failures.OutcomeUnknownError:
                # It may still take effect. Repeating the write under the
                # same conditions is safe: only one of the two can succeed,
                # and a failed condition shows whether the first one did.
                in_doubt = True
                await self._pause(None)
                continue
            if result.committed:
                return result.versions[0]
            version = self._version_if_committed(row, batch, result)
            if version is not None:
                return version

    def _transaction(
        self, row: LogRow, value: bytes
    ) -> table_module.Transaction:
        return table_module.Transaction(
            conditions=(
                table_module.Condition(
                    key=self._lease.row_key, version=self._lease.row_version()
                ),
                table_module.Condition(key=row.key, version=row.version),
            ),
            puts=(table_module.Put(key=row.key, value=value),),
        )

    def _version_if_committed(
        self,
        row: LogRow,
        batch: records.Batch,
        result: table_module.CommitResult,
    ) -> int | None:
        """Returns the row's version if an earlier try of the commit wrote it.

        Raises:
            LostPartitionError: None did, and none can any more.
        """
        current = {found.key: found for found in result.current}
        written = current.get(row.key)
        if written is not None:
            present = records.decode_batch(written.value)
            if (present.token, present.sequence) == (
                batch.token,
                batch.sequence,
            ):
                return written.version
            raise LostPartitionError
        # Only the lease's row differs: either this instance has renewed it,
        # or it has lost the lease.
        still_held = self._lease.apply_row(current.get(self._lease.row_key))
        if not still_held or self._lease.last_token() != self._token:
            raise LostPartitionError
        return None

    async def _pause(self, retry_after: datetime.timedelta | None) -> None:
        pause = retry_after or _RETRY_PAUSE
        await self._clock.sleep(pause * (1 + self._random.random()))
        await self._budget.acquire()


def _decoded(row: table_module.Row) -> tuple[LogRow, records.Batch]:
    batch = records.decode_batch(row.value)
    log_row = LogRow(
        key=row.key,
        version=row.version,
        written_ms=batch.written_ms,
        position=(batch.token, batch.sequence),
    )
    return log_row, _without_answers(batch)


def _without_answers(batch: records.Batch) -> records.Batch:
    """Drops kept answers, which would fill the memory in a take-over."""
    without_answers = tuple(
        msgspec.structs.replace(record, answer=None)
        if isinstance(record, records.FinishRecord)
        else record
        for record in batch.records
    )
    return msgspec.structs.replace(batch, records=without_answers)
