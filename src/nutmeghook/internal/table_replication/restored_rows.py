"""Writes the product's rows again after the store was restored from a copy.

The operator and the replicas write again what they had written since the copy.
Nobody but the instances does so for the rows of the instances.
"""

import abc
import asyncio
import datetime
import random

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import follower

_CHECK_PERIOD = datetime.timedelta(milliseconds=500)
_RETRY_DELAY = datetime.timedelta(seconds=1)


class RestorableRows(abc.ABC):
    """Rows that an instance has written, or knows that another one has."""

    __slots__ = ()

    @abc.abstractmethod
    async def write_again(self) -> None:
        """Writes what the store lacks; a repeated call does no harm.

        Raises:
            failures.PlatformError: The store failed.
        """


class RestoreWatcher:
    """Has rows written again in each new epoch of the store.

    Args:
        store_monitor: Knows the epoch.
        rows: The rows by name, for the log, and within which time after a
            restore an instance begins. All instances notice it together, so
            each begins at a random moment.
        clock: Measures time.
        random_source: Draws the moments.
    """

    __slots__ = ("_clock", "_random", "_rows", "_store_monitor")

    def __init__(
        self,
        *,
        store_monitor: follower.StoreMonitor,
        rows: dict[str, tuple[RestorableRows, datetime.timedelta]],
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._store_monitor = store_monitor
        self._rows = rows
        self._clock = clock
        self._random = random_source

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for name, (rows, spread) in self._rows.items():
                tasks.create_task(self._watch(name, rows, spread))

    async def _watch(
        self, name: str, rows: RestorableRows, spread: datetime.timedelta
    ) -> None:
        written_epoch = None
        while True:
            await self._clock.sleep(_CHECK_PERIOD)
            epoch = self._store_monitor.epoch
            if written_epoch is None:
                written_epoch = epoch
            if epoch == written_epoch:
                continue
            await self._clock.sleep(spread * self._random.random())
            if await self._try(name, rows):
                written_epoch = epoch

    async def _try(self, name: str, rows: RestorableRows) -> bool:
        try:
            await rows.write_again()
        except failures.PlatformError as error:
            logs.note("store:not_written_again", rows=name, error=str(error))
            await self._clock.sleep(_RETRY_DELAY)
            return False
        logs.note("store:written_again", rows=name)
        return True
