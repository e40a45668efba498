"""Learns from ratings on one instance and publishes plans for all.

The lease holder adds new ratings to the tables of the buckets that they belong
to. A bucket's tables and plans are written in one transaction, plans only if
they changed noticeably; the head is written after all buckets.
"""

import asyncio
import datetime
from typing import TypeVar

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import lease as lease_module
from nutmeghook.internal.routing import cascade_ingestion
from nutmeghook.internal.routing import cascade_learner
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_rows
from nutmeghook.internal.routing import cascade_tables

PUBLISH_EVERY = datetime.timedelta(seconds=15)
_MIN_SLEEP = datetime.timedelta(seconds=1)
# Buckets that are replanned in each step even without new ratings: templates
# come and go, and plans without ratings grow cautious. All are within four
# minutes.
_BUCKETS_IN_TURN = 16
# A template with fewer ratings is replanned whenever some arrive, the others
# only in turn, since a few more hardly change their plans. A plan takes about
# 2 ms: 3,000 of them in each step would take a third of a core.
_RATINGS_WHILE_NEW = 1_000
# Without this limit, a step that writes all buckets would use up at once what
# the table service allows a second, and the ledger's commits would be refused.
COMMITS_PER_S = 25
# A concurrent renewal of the lease makes a commit fail. Without retries that
# would end most steps, since a step makes hundreds of commits.
_COMMIT_ATTEMPTS = 3
_COMMIT_PAUSE = datetime.timedelta(milliseconds=100)
_PAGES_PER_STEP = 10

_RowT = TypeVar("_RowT", bound=msgspec.Struct)


class _ConflictError(Exception):
    """Another instance wrote meanwhile, or the lease is lost: the step ends."""


class CascadePublisher:
    """Learns while its instance holds the lease."""

    __slots__ = (
        "_clock",
        "_commits",
        "_lease",
        "_next_bucket",
        "_ratings",
        "_table",
        "_view",
    )

    def __init__(
        self,
        *,
        view: view_module.ConfigView,
        lease: lease_module.Lease,
        table: table_module.TableService,
        ratings: ratings_module.RatingService,
        clock: clock_module.Clock,
    ):
        self._view = view
        self._lease = lease
        self._table = table
        self._ratings = ratings
        self._clock = clock
        self._next_bucket = 0
        self._commits = 0

    async def run(self) -> None:
        """Runs a step at each interval until cancelled."""
        while True:
            begun = self._clock.monotonic()
            await self.step()
            # A step that writes all buckets takes most of the interval. With
            # a whole one after it, fewer ratings would be read than arrive.
            spent = self._clock.monotonic() - begun
            await self._clock.sleep(max(_MIN_SLEEP, PUBLISH_EVERY - spent))

    async def step(self) -> None:
        """Learns from new ratings and publishes, if the lease is held."""
        if self._lease.fencing_token() is None:
            return
        try:
            await self._step()
        except (failures.PlatformError, _ConflictError):
            # No state is kept in memory: the next step starts from the rows,
            # whether this one's write took effect or not.
            return

    async def _step(self) -> None:
        self._commits = 0
        row = await self._table.read(cascade_rows.HEAD_KEY)
        head = _decoded(row, cascade_rows.HeadRow)
        ratings = await self._new_ratings(head.cursor)
        cursor = ratings[-1].cursor if ratings else head.cursor
        ratings_by_bucket = cascade_ingestion.group_by_bucket(ratings)
        learning = cascade_ingestion.learning_templates(self._view.snapshot)
        in_turn = self._buckets_in_turn()
        revisions = list(head.revisions)
        for bucket in sorted(in_turn.union(ratings_by_bucket)):
            revisions[bucket] = await self._update_bucket(
                bucket,
                templates=learning.get(bucket, {}),
                ratings=ratings_by_bucket.get(bucket, []),
                cursor=cursor,
                in_turn=bucket in in_turn,
            )
        new_head = cascade_rows.HeadRow(
            cursor=cursor, revisions=tuple(revisions)
        )
        if new_head != head:
            await self._write(
                {cascade_rows.HEAD_KEY: new_head},
                read={cascade_rows.HEAD_KEY: row},
            )

    def _buckets_in_turn(self) -> set[int]:
        first = self._next_bucket
        self._next_bucket = (first + _BUCKETS_IN_TURN) % cascade_rows.BUCKETS
        return set(range(first, first + _BUCKETS_IN_TURN))

    async def _update_bucket(
        self,
        bucket: int,
        *,
        templates: dict[str, documents.Template],
        ratings: list[ratings_module.Rating],
        cursor: int,
        in_turn: bool,
    ) -> int:
        """Adds a bucket's ratings, replans, and writes what changed.

        A step that failed halfway leaves some buckets ahead of the head. They
        get the same ratings again and skip them by their own cursor, so that
        no rating counts twice.

        Returns:
            The revision of the bucket's plans.
        """
        tables_key = cascade_rows.tables_key(bucket)
        plans_key = cascade_rows.plans_key(bucket)
        tables_row = await self._table.read(tables_key)
        if tables_row is None and not templates:
            return 0
        known = _decoded(tables_row, cascade_rows.TablesRow)
        new = [rating for rating in ratings if rating.cursor > known.cursor]
        now_s = self._clock.now().timestamp()
        tables = cascade_ingestion.apply_ratings(
            templates, known.tables, new, now_s
        )
        plans_row = await self._table.read(plans_key)
        published = _decoded(plans_row, cascade_rows.PlansRow)
        plans = await self._plan(
            templates, tables, published, now_s=now_s, in_turn=in_turn
        )
        puts: dict[str, msgspec.Struct] = {}
        if new or tables.keys() != known.tables.keys():
            puts[tables_key] = cascade_rows.TablesRow(
                cursor=max(cursor, known.cursor), tables=tables
            )
        if plans != published.plans:
            published = cascade_rows.PlansRow(
                revision=published.revision + 1, plans=plans
            )
            puts[plans_key] = published
        if puts:
            read = {tables_key: tables_row, plans_key: plans_row}
            await self._write(puts, read=read)
        return published.revision

    async def _plan(
        self,
        templates: dict[str, documents.Template],
        tables: dict[str, cascade_tables.TemplateTable],
        published: cascade_rows.PlansRow,
        *,
        now_s: float,
        in_turn: bool,
    ) -> dict[str, cascade_plans.TemplatePlan]:
        """Returns the plans; one that hardly changed stays as published."""
        plans: dict[str, cascade_plans.TemplatePlan] = {}
        fleet = self._view.snapshot.fleet
        for key, table in tables.items():
            before = published.plans.get(key)
            is_new = table.ratings < _RATINGS_WHILE_NEW
            if before is not None and not (in_turn or is_new):
                plans[key] = before
                continue
            plan = cascade_learner.plan_for(
                templates[key], table, fleet=fleet, now_s=now_s
            )
            if before is not None and not cascade_plans.differ(before, plan):
                plan = before
            plans[key] = plan
            # Thousands of plans take seconds, which would delay callers'
            # tokens: the event loop runs after each plan, about 2 ms.
            await asyncio.sleep(0)
        return plans

    async def _new_ratings(self, cursor: int) -> list[ratings_module.Rating]:
        """Reads new ratings; none if the service is unavailable.

        Plans are still written: without ratings they grow cautious.
        """
        return await ratings_module.read_new(
            self._ratings, cursor, max_pages=_PAGES_PER_STEP
        )

    async def _write(
        self,
        values: dict[str, msgspec.Struct],
        *,
        read: dict[str, table_module.Row | None],
    ) -> None:
        """Writes rows if the lease is held and all rows are as they were read.

        Raises:
            _ConflictError: They are not; nothing was written.
        """
        unchanged = tuple(
            table_module.Condition(
                key=key,
                version=row.version if row else table_module.ABSENT_VERSION,
            )
            for key, row in read.items()
        )
        puts = tuple(
            table_module.Put(key=key, value=msgspec.msgpack.encode(value))
            for key, value in values.items()
        )
        for _ in range(_COMMIT_ATTEMPTS):
            if await self._commit(unchanged, puts):
                await self._note_commit()
                return
            await self._clock.sleep(_COMMIT_PAUSE)
        raise _ConflictError

    async def _commit(
        self,
        unchanged: tuple[table_module.Condition, ...],
        puts: tuple[table_module.Put, ...],
    ) -> bool:
        """Returns whether it took effect; False if only the lease was renewed.

        Raises:
            _ConflictError: Another row changed, or the lease is lost.
        """
        if self._lease.fencing_token() is None:
            raise _ConflictError
        of_lease = table_module.Condition(
            key=self._lease.row_key, version=self._lease.row_version()
        )
        result = await self._table.commit(
            table_module.Transaction(
                conditions=(of_lease, *unchanged), puts=puts
            )
        )
        changed = [row.key for row in result.current]
        if not result.committed and changed != [self._lease.row_key]:
            raise _ConflictError
        return result.committed

    async def _note_commit(self) -> None:
        self._commits += 1
        if self._commits % COMMITS_PER_S == 0:
            await self._clock.sleep(datetime.timedelta(seconds=1))


def _decoded(row: table_module.Row | None, row_type: type[_RowT]) -> _RowT:
    """Returns a row's contents, or an empty row if there is none."""
    if row is None:
        return row_type()
    return msgspec.msgpack.decode(row.value, type=row_type)
