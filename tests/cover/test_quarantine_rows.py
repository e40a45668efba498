"""Quarantines that outlive all instances, by rows in the store."""

import asyncio
import contextlib
import datetime
import random
import unittest

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.suspects import rows as rows_module
from nutmeghook.standins import memory_table

REQUEST = b"r" * 16
SECOND = datetime.timedelta(seconds=1)


class QuarantineRowsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.table = memory_table.MemoryTable(clock=self.clock)

    @contextlib.asynccontextmanager
    async def instance(self):
        """Runs an instance's rows; gives its book."""
        registry = registry_module.SuspectRegistry(clock=self.clock)
        rows = rows_module.QuarantineRows(
            registry=registry,
            table=self.table,
            clock=self.clock,
            random_source=random.Random(1),
        )
        running = asyncio.create_task(rows.run())
        await self.clock.advance(SECOND)
        try:
            yield registry
            await self.clock.advance(SECOND)
        finally:
            running.cancel()
            await asyncio.wait({running})

    async def quarantine(self) -> None:
        """Has an instance put the request into quarantine, and end."""
        async with self.instance() as registry:
            for replica in range(3):
                registry.note_crash(REQUEST, replica_hash=replica, begun=True)

    async def test_it_is_known_after_all_instances_were_lost(self):
        await self.quarantine()
        async with self.instance() as registry:
            self.assertTrue(registry.is_quarantined(REQUEST))

    async def test_it_is_written_though_nobody_saw_all_of_it(self):
        """Three instances see one replica's end each, in the same moment, and
        know of the others by their peers only. None of them had put the
        request into quarantine itself, and no row was written.
        """
        async with contextlib.AsyncExitStack() as fleet:
            registries = [
                await fleet.enter_async_context(self.instance())
                for _ in range(3)
            ]
            for replica, registry in enumerate(registries):
                registry.note_crash(REQUEST, replica_hash=replica, begun=True)
            for registry in registries:
                for told in registry.take_updates(1):
                    for other in registries:
                        other.merge(told)
        async with self.instance() as registry:
            self.assertTrue(registry.is_quarantined(REQUEST))

    async def test_its_trial_is_known_as_well(self):
        """All instances are lost again and again. Each time the fleet would
        send the request on trial once more, and a replica would end.
        """
        await self.quarantine()
        await self.clock.advance(registry_module.PROBE_DELAY)
        async with self.instance() as registry:
            self.assertTrue(registry.try_probe(REQUEST))
        async with self.instance() as registry:
            self.assertFalse(registry.try_probe(REQUEST))

    async def test_one_that_was_answered_stays_free(self):
        await self.quarantine()
        async with self.instance() as registry:
            registry.note_answered(REQUEST)
        async with self.instance() as registry:
            self.assertFalse(registry.is_suspect(REQUEST))

    async def test_it_ends_and_leaves_no_row(self):
        await self.quarantine()
        await self.clock.advance(registry_module.SUSPICION_LIFETIME)
        async with self.instance() as registry:
            self.assertFalse(registry.is_suspect(REQUEST))
        rows = await self.table.scan(prefix=rows_module.TABLE)
        self.assertEqual(rows, [])

    async def test_a_store_that_is_away_gets_it_on_its_return(self):
        commit = self.table.commit

        async def away(_):
            raise failures.NotDoneError("away")

        async with self.instance() as registry:
            self.table.commit = away
            for replica in range(3):
                registry.note_crash(REQUEST, replica_hash=replica, begun=True)
            await self.clock.advance(20 * SECOND)
            self.table.commit = commit
            await self.clock.advance(20 * SECOND)
        async with self.instance() as registry:
            self.assertTrue(registry.is_quarantined(REQUEST))


if __name__ == "__main__":
    unittest.main()
