"""Instances whose store is restored from an older copy.

The store gives out the versions again that it has lost. Writers write again
what they had written since the copy; nothing else says that it is gone.
"""

import asyncio
import random
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import restored_rows
from nutmeghook.internal.table_replication import table_copy
from nutmeghook.internal.version_plans import plan as plan_module
from tests import restored_store_case
from tests import version_fixture

OPERATOR = restored_store_case.OPERATOR
REPLICAS = restored_store_case.REPLICAS
ROUTES = restored_store_case.ROUTES
SECOND = restored_store_case.SECOND


class ConfigurationTest(restored_store_case.RestoredStoreCase):
    async def test_a_change_after_a_restore_is_in_force(self):
        """All that the store wrote since it was restored lies below what was
        read before, and was dropped as older.
        """
        reader = self.instance("a")
        copy = self.store.copy()
        self.put_heartbeats(50)
        self.put_configuration(ROUTES + 1)
        await reader.read()
        self.store.restore(copy)
        await reader.read()
        self.assertEqual(reader.version, ROUTES + 1)
        self.put_configuration(ROUTES + 1)
        await reader.read()
        self.put_configuration(ROUTES + 2)
        await reader.read()
        self.assertEqual(reader.version, ROUTES + 2)

    async def test_a_restore_is_noticed_that_answers_no_410(self):
        """The store had given out all lost versions again before anybody read,
        so that its feed went on after the last one read.
        """
        reader = self.instance("a")
        copy = self.store.copy()
        self.put_heartbeats(5)
        await reader.read()
        self.store.restore(copy)
        self.put_configuration(ROUTES + 1)
        self.put_heartbeats(50)
        await reader.read()
        self.assertEqual(reader.version, ROUTES + 1)

    async def test_no_delta_is_applied_to_a_row_of_before_the_restore(self):
        """A row had the version that a peer's delta begins with, but another
        value, so that malformed JSON resulted at this and each later change.
        """
        behind, ahead = self.instance("a"), self.instance("b")
        self.connect(behind, ahead)
        copy = self.store.copy()
        self.put_heartbeats(1)
        await behind.read()
        self.put_configuration(ROUTES + 1)
        await ahead.read()
        self.store.restore(copy)
        self.put_heartbeats(1)
        self.put_configuration(ROUTES + 2)
        await behind.read()
        self.put_configuration(ROUTES + 3)
        await behind.read()
        await ahead.hear_from(behind)
        self.assertEqual(ahead.version, ROUTES + 3)


class OrderTest(restored_store_case.RestoredStoreCase):
    """An order that is written again has another version, and is no other."""

    async def test_an_order_that_is_written_again_does_not_begin_anew(self):
        """The new version got its first requests and was judged twice."""
        reader = self.instance("a")
        copy = self.store.copy()
        self.put_order("v2")
        await reader.read()
        order = reader.orders.of_service("service")
        self.store.restore(copy)
        await reader.read()
        self.put_order("v2")
        await reader.read()
        self.assertEqual(reader.orders.of_service("service"), order)

    async def test_another_order_after_a_restore_replaces_the_known_one(self):
        reader = self.instance("a")
        copy = self.store.copy()
        self.put_order("v2")
        await reader.read()
        self.store.restore(copy)
        await reader.read()
        self.put_order("v3")
        await reader.read()
        self.assertEqual(reader.orders.of_service("service").version, "v3")

    def test_an_instance_that_starts_after_it_takes_the_others_plan(self):
        """It knew the order by its new version only, began a plan of its own,
        and never heard of the others' verdict.
        """
        instance = version_fixture.Instance(clock=clock_module.FakeClock())
        rewritten = msgspec.structs.replace(
            version_fixture.ORDER,
            order_id=revisions.combine(1, version_fixture.ORDER.order_id),
        )
        instance.orders.place(rewritten)
        instance.rollouts.apply_plan(
            plan_module.PlanRow(
                order_id=version_fixture.ORDER.order_id,
                service=rewritten.service,
                version=rewritten.version,
                within_s=rewritten.within_s,
                started_ms=0.0,
                verdict=plan_module.Verdict.BAD,
            )
        )
        (order,) = instance.orders.all()
        plan = instance.rollouts.plan_of(order)
        self.assertIsNotNone(plan)
        self.assertFalse(plan.is_open)


ACTIONS = (
    "configuration",
    "replica",
    "delete",
    "heartbeats",
    "copy",
    "restore",
    "write again",
    "read a",
    "read b",
    "gossip",
    "wait",
)


class AnySeriesTest(restored_store_case.RestoredStoreCase):
    """Any series of writes, restores, reads and gossip."""

    async def asyncSetUp(self):
        """Each series has a store of its own."""

    async def asyncTearDown(self):
        """Each series ends its own."""

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(strategies.lists(strategies.sampled_from(ACTIONS)))
    def test_all_agree_with_the_store_in_the_end_and_never_go_back(
        self, actions
    ):
        """A configuration is never replaced by an older one, and once nothing
        fails any more, instances have what the store has.
        """
        asyncio.run(self.play(actions))

    async def play(self, actions: list[str]) -> None:
        """Carries out the actions on a new store."""
        await super().asyncSetUp()
        try:
            await self._play(actions)
        finally:
            await super().asyncTearDown()

    async def _play(self, actions: list[str]) -> None:
        everyone = self.instance("a"), self.instance("b")
        self.connect(*everyone)
        for instance in everyone:
            await instance.read()
        self.routes = ROUTES
        self.saved, self.lost = self.store.copy(), {}
        newest = [ROUTES, ROUTES]
        for action in (*actions, "write again"):
            await self.act(action, *everyone)
            seen = [instance.version for instance in everyone]
            self.assertGreaterEqual(seen, newest)
            newest = seen
        for instance in everyone:
            await instance.read()
        await self.clock.advance(table_copy.RESTORE_GRACE + 3 * SECOND)
        listed = sorted(
            key for table, key in self.store._rows if table == REPLICAS
        )
        for instance in everyone:
            instance.settle()
            self.assertEqual(instance.version, self.routes)
            self.assertEqual(instance.listed(), listed)

    async def act(
        self,
        action: str,
        one: restored_store_case.Instance,
        other: restored_store_case.Instance,
    ) -> None:
        """Carries out one action."""
        if action == "read a":
            await one.read(steps=1)
        elif action == "read b":
            await other.read(steps=1)
        elif action == "gossip":
            await other.hear_from(one)
        elif action == "wait":
            await self.clock.advance(SECOND)
            for instance in (one, other):
                instance.settle()
        else:
            self.change_store(action)

    def change_store(self, action: str) -> None:
        """Writes or restores."""
        number = self.store._version % 5
        if action in ("configuration", "copy", "restore", "write again"):
            # Writers write nothing new before they have written again.
            self.store.write_again(self.lost)
        if action == "configuration":
            self.routes += 1
            self.put_configuration(self.routes)
        elif action == "replica":
            self.put_replica(f"i-{number}")
        elif action == "delete":
            self.store.delete(REPLICAS, f"i-{number}")
        elif action == "heartbeats":
            self.put_heartbeats(4)
        elif action == "copy":
            self.saved = self.store.copy()
        elif action == "restore":
            self.lost = self.store.restore(self.saved)


class FailingRows(restored_rows.RestorableRows):
    """Rows whose first write fails."""

    def __init__(self):
        self.calls = 0

    async def write_again(self) -> None:
        self.calls += 1
        if self.calls == 1:
            raise failures.NotDoneError("the store is slow")


class RestoreWatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_rows_are_written_once_in_each_new_epoch(self):
        clock = clock_module.FakeClock()
        monitor = follower.StoreMonitor(clock=clock)
        rows = FailingRows()
        watcher = restored_rows.RestoreWatcher(
            store_monitor=monitor,
            rows={"rows": (rows, SECOND)},
            clock=clock,
            random_source=random.Random(1),
        )
        running = asyncio.create_task(watcher.run())
        for epoch, calls in ((3, 0), (4, 2), (6, 3)):
            monitor.note_epoch(epoch)
            for _ in range(40):
                await clock.advance(SECOND / 10)
            self.assertEqual(rows.calls, calls)
        running.cancel()
        await asyncio.wait({running})


class KnownStateTest(restored_store_case.RestoredStoreCase):
    """The copy lacks what was written last, and has what was deleted last."""

    async def test_what_the_copy_lacks_holds_until_it_is_written_again(self):
        """An order, an evacuation and a replica were gone for seconds, so that
        requests went to the evacuated data centre and the order began anew.
        """
        reader = self.instance("a")
        copy = self.store.copy()
        self.put_order("v2")
        self.store.put(OPERATOR, "evacuate/hall", b"{}")
        self.put_replica("i-2")
        await reader.read()
        self.store.restore(copy)
        await reader.read()
        self.assertTrue(reader.evacuations.is_evacuated("hall"))
        self.assertIsNotNone(reader.orders.of_service("service"))
        self.assertEqual(reader.listed(), ["i-1", "i-2"])
        self.put_order("v2")
        self.store.put(OPERATOR, "evacuate/hall", b"{}")
        self.put_replica("i-2")
        await self.settle(reader)
        self.assertTrue(reader.evacuations.is_evacuated("hall"))
        self.assertIsNotNone(reader.orders.of_service("service"))
        self.assertEqual(reader.listed(), ["i-1", "i-2"])

    async def test_what_is_not_written_again_ends(self):
        """A replica that crashed during the outage was kept for good."""
        reader = self.instance("a")
        copy = self.store.copy()
        self.store.put(OPERATOR, "evacuate/hall", b"{}")
        self.put_replica("i-2")
        await reader.read()
        self.store.restore(copy)
        await self.settle(reader)
        self.assertFalse(reader.evacuations.is_evacuated("hall"))
        self.assertEqual(reader.listed(), ["i-1"])

    async def test_what_the_copy_lacks_holds_however_late_it_is_written(self):
        """After 2.2 s an order was withdrawn and an evacuated data centre got
        requests, though the configuration told that nothing was written yet.
        """
        reader = self.instance("a")
        copy = self.store.copy()
        self.put_order("v2")
        self.store.put(OPERATOR, "evacuate/hall", b"{}")
        self.put_configuration(ROUTES + 1)
        await reader.read()
        lost = self.store.restore(copy)
        for _ in range(3):
            await self.settle(reader)
            self.assertTrue(reader.evacuations.is_evacuated("hall"))
            self.assertIsNotNone(reader.orders.of_service("service"))
        lost[OPERATOR, "evacuate/hall"] = None
        self.store.write_again(lost)
        await self.settle(reader)
        self.assertFalse(reader.evacuations.is_evacuated("hall"))
        self.assertIsNotNone(reader.orders.of_service("service"))

    async def test_what_had_ended_does_not_begin_again(self):
        """A replica that was gone was sent requests, and one that had said that
        it leaves as well, until they were written and deleted again.
        """
        self.put_replica("i-2")
        self.put_replica("i-3")
        self.store.put(OPERATOR, "evacuate/hall", b"{}")
        reader = self.instance("a")
        await reader.read()
        copy = self.store.copy()
        self.store.delete(REPLICAS, "i-2")
        self.store.delete(OPERATOR, "evacuate/hall")
        self.put_replica("i-3", state="draining")
        await reader.read()
        self.store.restore(copy)
        await reader.read()
        self.assertEqual(reader.listed(), ["i-1", "i-3"])
        self.assertFalse(reader.evacuations.is_evacuated("hall"))
        (leaving,) = (
            replica
            for replica in reader.directory.of_service("service")
            if replica.entry.replica_id == "i-3"
        )
        self.assertTrue(leaving.is_leaving)

    async def test_a_replica_that_leaves_still_does_after_a_restore(self):
        """Its entry in the copy says that it is ready, also where it was
        delisted since, and it got requests while it ended.
        """
        self.put_replica("i-2")
        reader = self.instance("a")
        await reader.read()
        copy = self.store.copy()
        for name in ("i-1", "i-2"):
            self.put_replica(name, state="draining")
        await reader.read()
        self.store.delete(REPLICAS, "i-2")
        await reader.read()
        self.store.restore(copy)
        await self.settle(reader)
        listed = reader.directory.of_service("service")
        self.assertEqual([r.is_leaving for r in listed], [True, True])

    async def test_changes_after_the_restore_apply_at_once(self):
        reader = self.instance("a")
        copy = self.store.copy()
        self.put_heartbeats(3)
        await reader.read()
        self.store.restore(copy)
        await reader.read()
        self.put_configuration(ROUTES + 1)
        self.put_order("v3")
        self.store.put(OPERATOR, "evacuate/hall", b"{}")
        self.put_replica("i-2")
        self.store.delete(REPLICAS, "i-1")
        await reader.read()
        self.assertEqual(reader.version, ROUTES + 1)
        self.assertEqual(reader.orders.of_service("service").version, "v3")
        self.assertTrue(reader.evacuations.is_evacuated("hall"))
        self.assertEqual(reader.listed(), ["i-2"])

    async def test_a_second_restore_before_the_first_has_settled(self):
        """The second copy was taken for what had been written again."""
        reader = self.instance("a")
        copy = self.store.copy()
        self.put_replica("i-2")
        await reader.read()
        self.store.restore(copy)
        await reader.read()
        await self.clock.advance(table_copy.RESTORE_GRACE / 2)
        self.store.restore(copy)
        await reader.read()
        await self.clock.advance(table_copy.RESTORE_GRACE * 0.9)
        reader.settle()
        self.assertEqual(reader.listed(), ["i-1", "i-2"])
        await self.settle(reader)
        self.assertEqual(reader.listed(), ["i-1"])

    async def test_a_peer_holds_what_it_knows_as_well(self):
        """It got the copy's rows from an instance that had just started."""
        known, fresh = self.instance("a"), self.instance("b")
        self.connect(known, fresh)
        copy = self.store.copy()
        self.put_replica("i-2")
        self.put_configuration(ROUTES + 1)
        await known.read()
        self.store.restore(copy)
        await fresh.read()
        await known.hear_from(fresh)
        self.assertEqual(known.listed(), ["i-1", "i-2"])
        self.assertEqual(known.version, ROUTES + 1)

    async def settle(self, reader: restored_store_case.Instance) -> None:
        """Reads what was written again, and lets the grace pass."""
        await reader.read()
        await self.clock.advance(table_copy.RESTORE_GRACE)
        reader.settle()


if __name__ == "__main__":
    unittest.main()
