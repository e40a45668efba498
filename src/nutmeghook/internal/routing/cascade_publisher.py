"""One instance learns from the ratings; all others read what it concludes.

The holder of a lease folds new ratings into the tables and writes tables and
plans in one transaction. An instance reads only the plans, some hundred bytes
for each template, so that 420 of them cost the store a few reads a second.
"""

import datetime
import random

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import lease as lease_module
from nutmeghook.internal.platform import failures
from nutmeghook.internal.platform import ratings as ratings_module
from nutmeghook.internal.platform import table as table_module
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_learned
from nutmeghook.internal.routing import cascade_learner
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_tables

TABLES_KEY = "cascades/tables"
PLANS_KEY = "cascades/plans"
PUBLISH_EVERY = datetime.timedelta(seconds=15)
READ_EVERY = datetime.timedelta(seconds=60)
_RATINGS_PER_PAGE = 1000
_PAGES_PER_STEP = 10


class TablesRow(msgspec.Struct, frozen=True, kw_only=True):
    """What was learned, by template key, up to a rating."""

    cursor: int = 0
    tables: dict[str, cascade_tables.TemplateTable] = msgspec.field(
        default_factory=dict
    )


class PlansRow(msgspec.Struct, frozen=True, kw_only=True):
    """What instances read: plans by template key."""

    plans: dict[str, cascade_plans.TemplatePlan]


class CascadePublisher:
    """Learns while its instance holds the lease."""

    __slots__ = ("_clock", "_lease", "_ratings", "_table", "_view")

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

    async def run(self) -> None:
        """Takes a step at each interval until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(PUBLISH_EVERY)

    async def step(self) -> None:
        """Learns from new ratings and publishes, if the lease is held."""
        if self._lease.fencing_token() is None:
            return
        try:
            await self._step()
        except failures.PlatformError:
            # Nothing is kept in memory: the next step starts from the row,
            # whether this one's write took effect or not.
            return

    async def _step(self) -> None:
        row = await self._table.read(TABLES_KEY)
        learned = TablesRow()
        if row is not None:
            learned = msgspec.msgpack.decode(row.value, type=TablesRow)
        snapshot = self._view.snapshot
        now_s = self._clock.now().timestamp()
        tables = _tables_for(snapshot, learned.tables)
        cursor = learned.cursor
        for rating in await self._new_ratings(cursor):
            cursor = rating.cursor
            _learn(tables, rating, now_s)
        plans = {
            key: cascade_learner.plan_for(
                snapshot.templates[key],
                table,
                fleet=snapshot.fleet,
                now_s=now_s,
            )
            for key, table in tables.items()
            if table.ratings
        }
        await self._write(
            row, TablesRow(cursor=cursor, tables=tables), PlansRow(plans=plans)
        )

    async def _new_ratings(self, cursor: int) -> list[ratings_module.Rating]:
        """Reads new ratings; none if the service is out.

        Plans are written all the same: without ratings they grow cautious.
        """
        found: list[ratings_module.Rating] = []
        for _ in range(_PAGES_PER_STEP):
            try:
                page = await self._ratings.ratings_after(
                    cursor, limit=_RATINGS_PER_PAGE
                )
            except failures.PlatformError:
                break
            found += page
            if len(page) < _RATINGS_PER_PAGE:
                break
            cursor = page[-1].cursor
        return found

    async def _write(
        self,
        row: table_module.Row | None,
        tables: TablesRow,
        plans: PlansRow,
    ) -> None:
        version = row.version if row else table_module.ABSENT_VERSION
        await self._table.commit(
            table_module.Transaction(
                conditions=(
                    table_module.Condition(
                        key=self._lease.row_key,
                        version=self._lease.row_version(),
                    ),
                    table_module.Condition(key=TABLES_KEY, version=version),
                ),
                puts=(
                    table_module.Put(
                        key=TABLES_KEY, value=msgspec.msgpack.encode(tables)
                    ),
                    table_module.Put(
                        key=PLANS_KEY, value=msgspec.msgpack.encode(plans)
                    ),
                ),
            )
        )


class PlansReader:
    """Brings published plans to an instance's policy."""

    __slots__ = ("_clock", "_policy", "_random", "_table")

    def __init__(
        self,
        *,
        policy: cascade_learned.LearnedCascade,
        table: table_module.TableService,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._policy = policy
        self._table = table
        self._clock = clock
        self._random = random_source

    async def run(self) -> None:
        """Reads at each interval until cancelled."""
        while True:
            await self.step()
            jitter = self._random.uniform(0.8, 1.2)
            await self._clock.sleep(READ_EVERY * jitter)

    async def step(self) -> None:
        """Reads the plans; a failure leaves the last ones in use."""
        try:
            row = await self._table.read(PLANS_KEY)
        except failures.PlatformError:
            return
        if row is not None:
            read = msgspec.msgpack.decode(row.value, type=PlansRow)
            self._policy.use_plans(read.plans)


def _tables_for(
    snapshot: documents.Snapshot,
    known: dict[str, cascade_tables.TemplateTable],
) -> dict[str, cascade_tables.TemplateTable]:
    """Returns a table for each template that learns.

    A template whose number of stages changed starts anew.
    """
    tables: dict[str, cascade_tables.TemplateTable] = {}
    for key, template in snapshot.templates.items():
        if template.start is not documents.StartPolicy.LEARNED:
            continue
        stages = len(template.stages)
        table = known.get(key)
        if table is None or len(table.kinds[0]) != stages:
            table = cascade_tables.empty_table(stages)
        tables[key] = table
    return tables


def _learn(
    tables: dict[str, cascade_tables.TemplateTable],
    rating: ratings_module.Rating,
    now_s: float,
) -> None:
    table = tables.get(documents.template_key(rating.team, rating.template))
    label = cascade_labels.read(rating.request_id)
    if table is not None and label is not None:
        table.add(
            stage_index=rating.stage,
            label=label,
            quality=rating.quality,
            now_s=now_s,
        )
