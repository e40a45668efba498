"""The replicas' table is replicated through faults of the store."""

import datetime
import random
import unittest
from unittest import mock

import aiohttp

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.table_replication import follower
from nutmeghook.platform import store
from nutmeghook.platform import tables
from nutmeghook.standins import users_store
from tests import platform_rows
from tests import version_fixture


class FollowedTablesTest(unittest.IsolatedAsyncioTestCase):
    """One follower of the replicas' table and a stand-in store."""

    async def asyncSetUp(self):
        self.store = users_store.StandInStore()
        await self.store.start()
        self.session = aiohttp.ClientSession()
        self.clock = clock_module.FakeClock()
        self.directory = directory_module.ReplicaDirectory(clock=self.clock)
        self.store_monitor = follower.StoreMonitor(
            clock=self.clock,
            on_return=lambda: self.directory.hold_deletions(
                self.clock.monotonic() + directory_module.LAPSE_GRACE
            ),
        )
        self.follower = self.new_follower()
        for number in (1, 2):
            self.put(number)
        await self.follower.step()

    def new_follower(self) -> follower.TableFollower:
        """Returns a follower that has read nothing yet."""
        return follower.TableFollower(
            table=store.PlatformTable(
                client=store.StoreClient(
                    session=self.session, address=self.store.address
                ),
                name=tables.REPLICA_TABLE,
            ),
            listener=tables.ReplicaRows(
                directory=self.directory,
                unreadable=platform_rows.unreadable_values(),
            ),
            store_monitor=self.store_monitor,
            clock=self.clock,
            random_source=random.Random(1),
            wait=datetime.timedelta(),
        )

    async def asyncTearDown(self):
        await self.session.close()
        await self.store.stop()

    def put(self, number: int, state: str = "ready") -> None:
        """Writes a replica's entry."""
        self.store.put(
            "servers",
            f"id-{number}",
            platform_rows.replica_row(
                service=version_fixture.SERVICE,
                address=f"10.0.0.{number}:80",
                state=state,
            ),
        )

    def listed(self) -> list[str]:
        """Returns the ids of the known replicas."""
        return sorted(
            replica.entry.replica_id
            for replica in self.directory.of_service(version_fixture.SERVICE)
        )

    async def fail_once(self, fault: users_store.StoreFault) -> None:
        """Fails one read as a step does, without the delay after it."""
        self.store.fault = fault
        with self.assertRaises(failures.NotDoneError) as caught:
            await self.follower._read(datetime.timedelta())
        self.store_monitor.note_failure(caught.exception)
        self.store.fault = users_store.StoreFault.NONE

    async def test_an_instance_without_rows_reads_soon_after_an_outage(self):
        """Instances that lost power together with the store waited for over a
        second after it was back, and non-readers of a large fleet for five.
        """
        # It has read the table before, and may wait.
        delay = datetime.timedelta(seconds=4)
        self.assertGreater(await self.longest_wait(self.follower, delay), 3)
        starting = self.new_follower()
        self.assertLess(await self.longest_wait(starting, None), 0.63)
        self.assertLess(await self.longest_wait(starting, delay), 0.63)

    async def longest_wait(
        self,
        reader: follower.TableFollower,
        retry_delay: datetime.timedelta | None,
    ) -> float:
        """Fails a few reads; returns the longest wait after one, in s."""
        self.store.fault = users_store.StoreFault.REFUSING
        with mock.patch.object(self.clock, "sleep") as sleep:
            for _ in range(6):
                await reader.step(retry_delay=retry_delay)
        return max(
            call.args[0].total_seconds() for call in sleep.call_args_list
        )

    async def test_a_restore_of_the_store_is_logged(self):
        """Nothing in the logs said from which state of the store rows came."""
        copy = self.store.copy()
        self.put(3)
        await self.follower.step()
        with mock.patch.object(logs, "note") as note:
            self.store.restore(copy)
            await self.follower.step()
            await self.follower.step()
        (restored,) = (
            call.kwargs
            for call in note.call_args_list
            if call.args == ("store:restored",)
        )
        self.assertEqual(restored, {"epoch": 1, "before": 0})

    async def test_answers_without_a_usable_epoch_are_followed_on(self):
        """A proxy that drops or spoils the epoch stopped nothing for good."""
        for epoch in (3, None, "III", "-1", "9" * 5000, 3):
            self.store.epoch = epoch
            for _ in range(2):
                await self.follower.step()
            self.assertEqual(self.store_monitor.epoch, 3)
        self.put(3)
        await self.follower.step()
        self.assertEqual(self.listed(), ["id-1", "id-2", "id-3"])

    async def test_a_late_answer_of_a_former_epoch_changes_nothing(self):
        self.store.epoch = 2
        for _ in range(2):
            await self.follower.step()
        self.store.epoch = 1
        self.store.delete("servers", "id-1")
        with self.assertRaises(failures.OutcomeUnknownError):
            await self.follower._read(datetime.timedelta())
        self.assertEqual(self.listed(), ["id-1", "id-2"])

    async def test_a_condition_on_a_row_of_a_former_epoch_is_not_sent(self):
        """The row's version was that of another state of it, and the write
        replaced what its writer had not seen.
        """
        rows = store.StoreRows(client=self.follower._table._client)
        await rows.commit(
            table.Transaction(puts=(table.Put(key="own/key", value=b"1"),))
        )
        row = await rows.read("own/key")
        self.store.restore(self.store.copy())
        change = table.Transaction(
            conditions=(table.Condition(key=row.key, version=row.version),),
            puts=(table.Put(key=row.key, value=b"2"),),
        )
        with self.assertRaises(failures.OutcomeUnknownError):
            await rows.commit(change)
        with self.assertRaises(failures.NotDoneError):
            await rows.commit(change)

    async def test_a_deletion_without_an_outage_is_applied_at_once(self):
        self.store.delete("servers", "id-1")
        await self.follower.step()
        self.assertEqual(self.listed(), ["id-2"])

    async def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while(self):
        """After a store outage an entry is missing, though its replica lives
        and is listed again within two seconds. If it were dropped at once, the
        other replica would be overloaded.
        """
        await self.fail_once(users_store.StoreFault.REFUSING)
        self.store.delete("servers", "id-1")
        await self.follower.step()
        self.assertEqual(self.listed(), ["id-1", "id-2"])
        await self.clock.advance(datetime.timedelta(seconds=1))
        self.put(1)
        await self.follower.step()
        await self.clock.advance(datetime.timedelta(seconds=5))
        self.assertEqual(self.listed(), ["id-1", "id-2"])

    async def test_entries_missing_after_the_grace_are_deleted(self):
        await self.fail_once(users_store.StoreFault.BUSY)
        self.store.delete("servers", "id-1")
        await self.follower.step()
        await self.clock.advance(datetime.timedelta(milliseconds=2300))
        self.assertEqual(self.listed(), ["id-2"])

    async def test_after_a_lost_history_the_whole_table_is_read(self):
        """The store discards its history and a replica leaves in the gap. The
        feed answers 410; the whole table is read and the replica is gone.
        """
        self.store.delete("servers", "id-2")
        self.store.forget_history()
        await self.follower.step()
        await self.follower.step()
        self.assertEqual(self.listed(), ["id-1"])

    async def test_writes_to_other_tables_do_not_move_the_revision(self):
        """Other tables are written all the time, and the store has one counter
        for all writes. If that counter were sent as this table's revision,
        every peer would ask for changes that do not exist.
        """
        before = self.follower.revision
        self.store.put("instances", "one", b"{}")
        await self.follower.step()
        self.assertEqual(self.follower.revision, before)
        self.put(3)
        await self.follower.step()
        self.assertGreater(self.follower.revision, before)
        self.assertEqual(self.listed(), ["id-1", "id-2", "id-3"])

    async def test_a_whole_read_sets_the_revision_to_the_store_s_counter(self):
        """A replica is deleted while no feed is open, and the table is read
        whole. The newest remaining row's version must not become the revision:
        it would confirm the state of a peer that still has the replica.
        """
        before = self.follower.revision
        self.store.delete("servers", "id-2")
        self.store.forget_history()
        await self.follower.step()
        self.assertEqual(self.follower.revision, before)
        await self.follower.step()
        self.assertGreater(self.follower.revision, before)
        self.assertEqual(self.listed(), ["id-1"])

    async def test_a_malformed_entry_does_not_affect_others(self):
        self.store.put("servers", "id-3", b"{")
        self.put(4)
        await self.follower.step()
        self.assertEqual(self.listed(), ["id-1", "id-2", "id-4"])

    async def test_a_replica_that_leaves_gets_no_new_work(self):
        self.put(1, state="draining")
        await self.follower.step()
        leaving = [
            replica.entry.leaving
            for replica in self.directory.of_service(version_fixture.SERVICE)
        ]
        self.assertEqual(sorted(leaving), [False, True])


if __name__ == "__main__":
    unittest.main()
