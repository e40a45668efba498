"""Reads published plans into an instance's policy."""

import datetime
import random

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routing import cascade_learned
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_rows

READ_EVERY = datetime.timedelta(seconds=60)
# Bytes on the wire after which the rest waits for the next read. It bounds
# the traffic to about 200 B/s, however many plans change.
MAX_READ_BYTES = 12_000
# A request and an answer with their headers; values are sent in base64.
_CALL_BYTES = 400
_WIRE_BYTES_PER_BYTE = 4 / 3


class PlansReader:
    """Reads the head at each interval, and buckets that changed."""

    __slots__ = (
        "_clock",
        "_plans",
        "_policy",
        "_random",
        "_revisions",
        "_started",
        "_table",
    )

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
        self._started = False
        self._revisions: dict[int, int] = {}
        self._plans: dict[int, dict[str, cascade_plans.TemplatePlan]] = {}

    async def run(self) -> None:
        """Reads at each interval until cancelled."""
        while True:
            await self.step()
            jitter = self._random.uniform(0.8, 1.2)
            await self._clock.sleep(READ_EVERY * jitter)

    async def step(self) -> None:
        """Reads what changed; a failure leaves the last plans in use."""
        try:
            if self._started:
                await self._read_changed()
            else:
                await self._read_all()
                self._started = True
        except failures.PlatformError:
            return

    async def _read_all(self) -> None:
        # One scan at the start: otherwise hundreds of instances that start
        # together would each read a row per bucket at once.
        rows = await self._table.scan(
            prefix=cascade_rows.PLANS_PREFIX, limit=cascade_rows.BUCKETS
        )
        if not rows:
            return
        for row in rows:
            bucket = int(row.key.removeprefix(cascade_rows.PLANS_PREFIX))
            self._store_bucket(bucket, row)
        self._apply_plans()

    async def _read_changed(self) -> None:
        row = await self._table.read(cascade_rows.HEAD_KEY)
        if row is None:
            return
        head = msgspec.msgpack.decode(row.value, type=cascade_rows.HeadRow)
        changed = [
            bucket
            for bucket, revision in enumerate(head.revisions)
            if revision > self._revisions.get(bucket, 0)
        ]
        # Random order, so that the byte limit starves no bucket.
        self._random.shuffle(changed)
        read_bytes = 0.0
        for bucket in changed:
            if read_bytes >= MAX_READ_BYTES:
                break
            plans_row = await self._table.read(cascade_rows.plans_key(bucket))
            if plans_row is not None:
                read_bytes += _wire_bytes(plans_row)
                self._store_bucket(bucket, plans_row)
        self._apply_plans()

    def _store_bucket(self, bucket: int, row: table_module.Row) -> None:
        read = msgspec.msgpack.decode(row.value, type=cascade_rows.PlansRow)
        self._revisions[bucket] = read.revision
        self._plans[bucket] = read.plans

    def _apply_plans(self) -> None:
        self._policy.use_plans(
            {
                key: plan
                for plans in self._plans.values()
                for key, plan in plans.items()
            }
        )


def _wire_bytes(row: table_module.Row) -> float:
    return _CALL_BYTES + len(row.value) * _WIRE_BYTES_PER_BYTE
