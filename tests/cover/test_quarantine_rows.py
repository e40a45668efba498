"""Quarantines that outlive all instances, by rows in the store."""

import asyncio
import contextlib
import datetime
import random
import unittest

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.suspects import book as book_module
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
        book = book_module.SuspectBook(clock=self.clock)
        rows = rows_module.QuarantineRows(
            book=book,
            table=self.table,
            clock=self.clock,
            random_source=random.Random(1),
        )
        running = asyncio.create_task(rows.run())
        await self.clock.advance(SECOND)
        try:
            yield book
            await self.clock.advance(SECOND)
        finally:
            running.cancel()
            await asyncio.wait({running})

    async def quarantine(self) -> None:
        """Has an instance put the request into quarantine, and end."""
        async with self.instance() as book:
            for replica in range(3):
                book.note_end(REQUEST, replica_hash=replica, begun=True)

    async def test_it_is_known_after_all_instances_were_lost(self):
        await self.quarantine()
        async with self.instance() as book:
            self.assertTrue(book.is_quarantined(REQUEST))

    async def test_it_is_written_though_nobody_saw_all_of_it(self):
        """Three instances see one replica's end each, in the same moment, and
        know of the others by their peers only. None of them had put the
        request into quarantine itself, and no row was written.
        """
        async with contextlib.AsyncExitStack() as fleet:
            books = [
                await fleet.enter_async_context(self.instance())
                for _ in range(3)
            ]
            for replica, book in enumerate(books):
                book.note_end(REQUEST, replica_hash=replica, begun=True)
            for book in books:
                for told in book.take_news(1):
                    for other in books:
                        other.merge(told)
        async with self.instance() as book:
            self.assertTrue(book.is_quarantined(REQUEST))

    async def test_its_trial_is_known_as_well(self):
        """All instances are lost again and again. Each time the fleet would
        send the request on trial once more, and a replica would end.
        """
        await self.quarantine()
        await self.clock.advance(book_module.TRIAL_AFTER)
        async with self.instance() as book:
            self.assertTrue(book.try_trial(REQUEST))
        async with self.instance() as book:
            self.assertFalse(book.try_trial(REQUEST))

    async def test_one_that_was_answered_stays_free(self):
        await self.quarantine()
        async with self.instance() as book:
            book.note_answered(REQUEST)
        async with self.instance() as book:
            self.assertFalse(book.is_suspect(REQUEST))

    async def test_it_ends_and_leaves_no_row(self):
        await self.quarantine()
        await self.clock.advance(book_module.KEPT_FOR)
        async with self.instance() as book:
            self.assertFalse(book.is_suspect(REQUEST))
        rows = await self.table.scan(prefix=rows_module.TABLE)
        self.assertEqual(rows, [])

    async def test_a_store_that_is_away_gets_it_on_its_return(self):
        commit = self.table.commit

        async def away(_):
            raise failures.NotDoneError("away")

        async with self.instance() as book:
            self.table.commit = away
            for replica in range(3):
                book.note_end(REQUEST, replica_hash=replica, begun=True)
            await self.clock.advance(20 * SECOND)
            self.table.commit = commit
            await self.clock.advance(20 * SECOND)
        async with self.instance() as book:
            self.assertTrue(book.is_quarantined(REQUEST))


if __name__ == "__main__":
    unittest.main()
