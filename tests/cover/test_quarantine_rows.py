"""Quarantines persisted as rows in the store."""

import asyncio
import contextlib
import datetime
import random
import unittest

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.suspects import probes
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
        """Runs an instance's rows; yields its registry."""
        registry = registry_module.SuspectRegistry(clock=self.clock)
        rows = rows_module.QuarantineRows(
            registry=registry,
            table=self.table,
            clock=self.clock,
            random_source=random.Random(1),
        )
        self.rows = rows
        running = asyncio.create_task(rows.run())
        await self.clock.advance(SECOND)
        try:
            yield registry
            await self.clock.advance(SECOND)
        finally:
            running.cancel()
            await asyncio.wait({running})

    async def quarantine(self) -> None:
        """Runs an instance that quarantines the request and ends."""
        async with self.instance() as registry:
            for replica in range(3):
                registry.note_crash(REQUEST, replica_hash=replica, begun=True)

    async def test_a_quarantine_survives_the_loss_of_all_instances(self):
        await self.quarantine()
        async with self.instance() as registry:
            self.assertTrue(registry.is_quarantined(REQUEST))

    async def test_a_part_stays_quarantined_after_the_loss_of_all(self):
        """All instances lose power, and their callers send on."""
        async with self.instance() as registry:
            for number in range(3):
                registry.note_crash(
                    b"%016d" % number,
                    replica_hash=number,
                    begun=True,
                    parts=(REQUEST,),
                )
        async with self.instance() as registry:
            self.assertTrue(registry.is_quarantined(b"o" * 16, (REQUEST,)))

    async def test_a_quarantine_that_the_store_lost_is_written_again(self):
        async with self.instance() as registry:
            for replica in range(3):
                registry.note_crash(REQUEST, replica_hash=replica, begun=True)
            await self.clock.advance(SECOND)
            (row,) = await self.table.scan(prefix=f"{rows_module.TABLE}/")
            await self.table.commit(table.Transaction(deletes=(row.key,)))
            await self.rows.write_again()
            await self.clock.advance(SECOND)
            self.assertEqual(
                len(await self.table.scan(prefix=f"{rows_module.TABLE}/")), 1
            )

    async def test_a_quarantine_learnt_by_gossip_is_written(self):
        """Three instances notice one crash each at the same time and learn of
        the others by gossip only. If only the crashes noticed by itself make an
        instance write, no row is written.
        """
        async with contextlib.AsyncExitStack() as fleet:
            registries = [
                await fleet.enter_async_context(self.instance())
                for _ in range(3)
            ]
            for replica, registry in enumerate(registries):
                registry.note_crash(REQUEST, replica_hash=replica, begun=True)
            for registry in registries:
                for received in registry.take_updates(1):
                    for other in registries:
                        other.merge(received)
        async with self.instance() as registry:
            self.assertTrue(registry.is_quarantined(REQUEST))

    async def test_a_probe_is_persisted(self):
        """All instances are lost again and again. Without the stored probe,
        each time one more probe would crash one more replica.
        """
        await self.quarantine()
        await self.clock.advance(probes.PROBE_DELAY)
        async with self.instance() as registry:
            self.assertTrue(registry.try_probe(REQUEST))
        async with self.instance() as registry:
            self.assertFalse(registry.try_probe(REQUEST))

    async def test_an_answered_request_stays_cleared(self):
        await self.quarantine()
        async with self.instance() as registry:
            registry.note_answered(REQUEST)
        async with self.instance() as registry:
            self.assertFalse(registry.is_suspect(REQUEST))

    async def test_an_expired_row_is_deleted(self):
        await self.quarantine()
        await self.clock.advance(probes.SUSPICION_LIFETIME)
        async with self.instance() as registry:
            self.assertFalse(registry.is_suspect(REQUEST))
        rows = await self.table.scan(prefix=rows_module.TABLE)
        self.assertEqual(rows, [])

    async def test_a_refused_write_is_repeated_before_all_may_be_lost(self):
        """All routers lost power 0.6 s after they had quarantined a part."""
        commit = self.table.commit
        refusals = 1

        async def refusing_once(transaction):
            nonlocal refusals
            if refusals:
                refusals -= 1
                raise failures.NotDoneError("busy")
            return await commit(transaction)

        self.table.commit = refusing_once
        async with self.instance() as registry:
            for replica in range(3):
                registry.note_crash(REQUEST, replica_hash=replica, begun=True)
            await self.clock.advance(0.6 * SECOND)
            rows = await self.table.scan(prefix=f"{rows_module.TABLE}/")
            self.assertEqual(len(rows), 1)

    async def test_quarantines_are_read_soon_after_an_outage_of_the_store(self):
        """An instance that started in an outage let quarantined requests crash
        replicas for up to six seconds after the store was back.
        """
        await self.quarantine()
        scan = self.table.scan

        async def unreachable(**_):
            raise failures.NotDoneError("away")

        for outage_s in range(6, 12):
            self.table.scan = unreachable
            async with self.instance() as registry:
                await self.clock.advance(outage_s * SECOND)
                self.table.scan = scan
                await self.clock.advance(0.75 * SECOND)
                self.assertTrue(registry.is_quarantined(REQUEST))

    async def test_a_quarantine_is_written_after_an_outage_of_the_store(self):
        commit = self.table.commit

        async def unreachable(_):
            raise failures.NotDoneError("away")

        async with self.instance() as registry:
            self.table.commit = unreachable
            for replica in range(3):
                registry.note_crash(REQUEST, replica_hash=replica, begun=True)
            await self.clock.advance(20 * SECOND)
            self.table.commit = commit
            await self.clock.advance(20 * SECOND)
        async with self.instance() as registry:
            self.assertTrue(registry.is_quarantined(REQUEST))


if __name__ == "__main__":
    unittest.main()
