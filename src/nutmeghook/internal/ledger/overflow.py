"""Stores bills in the object store while the table service is out.

Each instance puts its bills there in batches, as objects under its own
incarnation. When the table service is back they are appended to the log and
only then deleted. A bill in both stores is counted once, by its request's
identity.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import datetime
import random

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import objects as objects_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.ledger import budget as budget_module
from nutmeghook.internal.ledger import records
from nutmeghook.internal.ledger import store_health
from nutmeghook.internal.observe import events as events_module

KEY_PREFIX = "bills-overflow/"
_BATCH_RECORDS = 500
_RETRY_PAUSE = datetime.timedelta(milliseconds=200)
_RECOVERY_INTERVAL = datetime.timedelta(seconds=1)
_SWEEP_INTERVAL = datetime.timedelta(seconds=10)
_SWEEP_KEYS = 100


class BillOverflow:
    """One instance's bills in the object store.

    Args:
        append: Appends a bill to the log; True once it is durable there.
        put_rate: Returns this instance's share of the write budget, in puts a
            second.
        is_alive: Tells whether an incarnation is a member.
        should_sweep: Tells whether this instance recovers the bills of
            incarnations that are gone.
    """

    __slots__ = (
        "_append",
        "_budget",
        "_clock",
        "_events",
        "_incarnation",
        "_is_alive",
        "_objects",
        "_pending",
        "_put_rate",
        "_random",
        "_recovering",
        "_sequence",
        "_should_sweep",
        "_stored",
        "_table_health",
        "_wake",
    )

    def __init__(
        self,
        *,
        incarnation: str,
        objects: objects_module.ObjectStore,
        table_health: store_health.StoreHealth,
        append: Callable[[records.FinishRecord], Awaitable[bool]],
        put_rate: Callable[[], float],
        is_alive: Callable[[str], bool],
        should_sweep: Callable[[], bool],
        clock: clock_module.Clock,
        rng: random.Random,
        events: events_module.EventRing,
    ):
        self._incarnation = incarnation
        self._objects = objects
        self._table_health = table_health
        self._append = append
        self._put_rate = put_rate
        self._is_alive = is_alive
        self._should_sweep = should_sweep
        self._clock = clock
        self._random = rng
        self._events = events
        self._budget = budget_module.WriteBudget(
            clock=clock, per_s=put_rate(), burst=1
        )
        self._sequence = 0
        # Only keys are kept, so that a long outage takes little memory.
        self._stored: collections.deque[str] = collections.deque()
        self._pending: collections.deque[
            tuple[records.FinishRecord, asyncio.Future[bool]]
        ] = collections.deque()
        self._wake = asyncio.Event()
        # A drain may come while the periodic recovery moves an object.
        self._recovering = asyncio.Lock()

    @property
    def stored_objects(self) -> int:
        """How many of this instance's objects are not in the log yet."""
        return len(self._stored)

    async def put(self, record: records.FinishRecord) -> bool:
        """Makes a bill durable in the object store.

        Returns:
            False if it is certainly not stored.
        """
        reply: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending.append((record, reply))
        self._wake.set()
        return await reply

    async def run(self) -> None:
        """Puts, recovers and sweeps until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._put_forever())
            group.create_task(self._recover_forever())
            group.create_task(self._sweep_forever())

    async def recover(self) -> None:
        """Appends this instance's stored bills to the log."""
        async with self._recovering:
            while self._stored and not self._table_health.is_out:
                try:
                    recovered = await self._recover_one(self._stored[0])
                except failures.PlatformError:
                    return
                if not recovered:
                    return
                self._stored.popleft()

    async def sweep(self) -> None:
        """Appends the stored bills of instances that are gone."""
        after = KEY_PREFIX
        while True:
            keys = await self._objects.list_keys(
                prefix=KEY_PREFIX, after=after, limit=_SWEEP_KEYS
            )
            for key in keys:
                owner = key.removeprefix(KEY_PREFIX).partition("/")[0]
                # Sweeping a live instance's objects is harmless: both append
                # the same bills.
                if not self._is_alive(owner) and not await self._recover_one(
                    key
                ):
                    return
            if len(keys) < _SWEEP_KEYS:
                return
            after = keys[-1]

    async def _put_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                self._budget.set_rate(self._put_rate())
                await self._budget.acquire()
                await self._put_batch()

    async def _put_batch(self) -> None:
        count = min(len(self._pending), _BATCH_RECORDS)
        batch = [self._pending.popleft() for _ in range(count)]
        bills = tuple(record for record, _ in batch)
        self._sequence += 1
        key = f"{KEY_PREFIX}{self._incarnation}/{self._sequence:08d}"
        durable = await self._put_until_certain(
            key,
            records.encoder.encode(
                records.BillBatch(partition=0, records=bills)
            ),
        )
        if durable:
            self._stored.append(key)
            self._events.record(
                events_module.EventKind.BILL_OVERFLOWED,
                key,
                bills=str(count),
            )
        for _, reply in batch:
            if not reply.done():
                reply.set_result(durable)

    async def _put_until_certain(self, key: str, content: bytes) -> bool:
        in_doubt = False
        while True:
            try:
                # False means that an earlier put, whose reply was lost, has
                # stored it: no other instance uses this incarnation's keys.
                await self._objects.put_if_absent(key, content)
                return True
            except failures.NotDoneError:
                if not in_doubt:
                    return False
            except failures.OutcomeUnknownError:
                in_doubt = True
            await self._clock.sleep(_RETRY_PAUSE * (1 + self._random.random()))
            await self._budget.acquire()

    async def _recover_one(self, key: str) -> bool:
        """Moves one object's bills to the log; False if the log refuses."""
        content = await self._objects.get(key)
        # A missing object has already been moved, by a sweep.
        if content is not None:
            bills = records.decode_bills(content).records
            appended = await asyncio.gather(
                *(self._append(bill) for bill in bills)
            )
            if not all(appended):
                return False
            await self._objects.delete(key)
        return True

    async def _recover_forever(self) -> None:
        while True:
            await self._clock.sleep(
                _RECOVERY_INTERVAL * (1 + self._random.random())
            )
            await self.recover()

    async def _sweep_forever(self) -> None:
        while True:
            await self._clock.sleep(_SWEEP_INTERVAL)
            if self._should_sweep() and not self._table_health.is_out:
                with contextlib.suppress(failures.PlatformError):
                    await self.sweep()
