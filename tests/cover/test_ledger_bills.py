"""Each finished request is billed once under store and instance faults."""

import asyncio

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import archive
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import overflow
from nutmeghook.internal.ledger import records
from tests import ledger_cluster

MS = ledger_cluster.MS
SECOND = ledger_cluster.SECOND


class BillTest(ledger_cluster.ClusterCase):
    """Bills of requests without a caller's key, from several instances."""

    def finishing(self, instance, key, *, given=False, patience=20):
        return asyncio.ensure_future(
            instance.client.finish(
                bill=ledger_cluster.bill(key, given=given),
                answer=None,
                timeout=patience * SECOND,
            )
        )

    async def finish(self, instance, *keys, **options):
        tasks = [self.finishing(instance, key, **options) for key in keys]
        await self.cluster.drive(asyncio.gather(*tasks))

    async def billed_in_log(self):
        found = await self.cluster.log_records()
        return [
            record.key
            for record in found
            if isinstance(record, records.FinishRecord)
        ]

    async def stop_table(self):
        """Stops the table service and waits until that is detected."""
        self.cluster.table.faults.down = True
        await self.cluster.until(
            lambda: all(
                instance.ledger.table_health.is_out
                for instance in self.cluster.instances.values()
            )
        )

    async def test_bills_that_come_together_share_a_commit(self):
        before = self.cluster.table.commits
        keys = [f"k{number:03d}" for number in range(200)]
        await self.finish(self.one, *keys)
        self.assertEqual(await self.cluster.billed(), keys)
        self.assertLess(self.cluster.table.commits - before, 10)

    async def test_holder_killed_between_commit_and_reply(self):
        """A holder that dies after a commit must not cause a second bill.

        The instance gets no reply and sends the bill again, to the successor,
        which has read it back from the log.
        """
        self.cluster.table.faults.delay = 500 * MS
        work = self.finishing(self.one, "k")
        await self.cluster.pass_time(100 * MS)
        self.cluster.table.faults.delay = 0 * MS
        self.assertEqual(await self.billed_in_log(), ["k"])
        self.cluster.kill(self.holder.address[0])
        await self.cluster.drive(work)
        self.assertEqual(await self.billed_in_log(), ["k"])
        self.assertEqual(await self.cluster.billed(), ["k"])

    async def test_table_out_bills_go_to_the_object_store_and_back(self):
        """Bills overflow to the object store while the table service is out.

        The requests finish without waiting for the table service. After the
        outage their bills are moved to the log, once.
        """
        await self.stop_table()
        keys = [f"k{number}" for number in range(20)]
        await self.finish(self.one, *keys)
        self.assertTrue(self.one.ledger.accepting_work())
        self.assertEqual(await self.cluster.billed(), sorted(keys))
        await self.cluster.pass_time(60 * SECOND)
        self.cluster.table.faults.down = False
        await self.until_overflow_is_empty()
        self.assertEqual(sorted(await self.billed_in_log()), sorted(keys))

    async def test_killed_between_object_and_log(self):
        """An instance dies while its bills are in the object store only.

        The holder of partition 0 sweeps the objects of instances that are
        gone and moves their bills to the log.
        """
        await self.stop_table()
        await self.finish(self.one, "k1", "k2")
        self.cluster.kill(self.one.address[0])
        self.cluster.table.faults.down = False
        await self.until_overflow_is_empty()
        self.assertEqual(sorted(await self.billed_in_log()), ["k1", "k2"])
        self.assertEqual(await self.cluster.billed(), ["k1", "k2"])

    async def test_killed_between_log_and_deletion_of_the_object(self):
        """A bill is copied to the log, and its object's deletion fails.

        It is then in both stores, and a sweep appends it again; it must still
        be billed once.
        """
        await self.stop_table()
        await self.finish(self.one, "k")
        self.cluster.objects.faults.lose_next_requests = 1
        self.cluster.table.faults.down = False
        await self.cluster.until(
            lambda: self.cluster.objects.faults.lose_next_requests == 0
        )
        self.cluster.kill(self.one.address[0])
        self.assertEqual(await self.cluster.billed(), ["k"])
        await self.until_overflow_is_empty()
        self.assertEqual(await self.billed_in_log(), ["k"])

    async def test_answer_of_the_object_store_is_lost(self):
        """A put whose reply is lost is repeated and must bill once."""
        await self.stop_table()
        self.cluster.objects.faults.lose_next_answers = 1
        await self.finish(self.one, "k")
        self.assertEqual(await self.cluster.billed(), ["k"])

    async def test_both_stores_out(self):
        """Both stores are out, so a bill can't be made durable in time.

        The caller gets `BILL_UNSETTLED`, new work is refused, and the bill is
        recorded when a store is back.
        """
        self.cluster.objects.faults.down = True
        await self.stop_table()
        with self.assertRaises(errors.CodedError) as raised:
            await self.finish(self.one, "k", patience=5)
        self.assertIs(raised.exception.code, codes.Code.BILL_UNSETTLED)
        self.assertFalse(self.one.ledger.accepting_work())
        self.assertEqual(self.one.client.unsettled, 1)
        self.cluster.objects.faults.down = False
        await self.cluster.until(lambda: self.one.client.unsettled == 0)
        self.assertTrue(self.one.ledger.accepting_work())
        self.assertEqual(await self.cluster.billed(), ["k"])

    async def test_a_slow_table_service_bills_once(self):
        """Calls to the table service exceed their timeout.

        Every commit is in doubt, so the bill goes to the object store too. It
        must be counted once although it may be in both stores.
        """
        self.cluster.table.faults.delay = 5 * SECOND
        await self.finish(self.one, "k")
        self.cluster.table.faults.delay = 0 * MS
        await self.cluster.pass_time(30 * SECOND)
        self.assertEqual(await self.cluster.billed(), ["k"])
        self.assertEqual(await self.billed_in_log(), ["k"])

    async def test_cut_from_the_holder(self):
        """An instance that can't reach the holder, but the stores.

        Its bill goes to the object store and is counted there.
        """
        self.cluster.network.cut_both_ways(
            self.one.address, self.holder.address
        )
        await self.finish(self.one, "k")
        self.assertEqual(await self.cluster.billed(), ["k"])

    async def test_drain_moves_overflow_and_settles(self):
        await self.stop_table()
        await self.finish(self.one, "k")
        self.cluster.table.faults.down = False
        await self.cluster.until(lambda: self.cluster.holder() is not None)
        await self.cluster.drive(self.one.ledger.drain(timeout=SECOND))
        await self.until_overflow_is_empty()
        self.assertEqual(await self.billed_in_log(), ["k"])

    async def test_drains_side_by_side_leave_no_bill_behind(self):
        """Each took the same object off the list, and so one of them the next,
        whose bills had not been moved; or there was none, and it failed.
        """
        await self.stop_table()
        for key in ("k1", "k2", "k3"):
            await self.finish(self.one, key)
        self.cluster.objects.faults.delay = 20 * MS
        self.cluster.table.faults.down = False
        await self.cluster.until(
            lambda: not self.one.ledger.table_health.is_out
        )
        await self.cluster.drive(
            asyncio.gather(
                self.one.ledger.drain(timeout=SECOND),
                self.one.ledger.drain(timeout=SECOND),
            )
        )
        await self.until_overflow_is_empty()
        self.assertEqual(sorted(await self.billed_in_log()), ["k1", "k2", "k3"])

    async def until_overflow_is_empty(self):
        for _ in range(100):
            keys = await self.cluster.drive(
                self.cluster.objects.list_keys(prefix=overflow.KEY_PREFIX)
            )
            if not keys:
                return
            await self.cluster.pass_time(SECOND)
        self.fail("bills stay in the object store")


class RetentionTest(ledger_cluster.ClusterCase):
    """Rows are overwritten, and their bills are kept."""

    names = "ab"
    settings = {"window": 60 * SECOND}

    async def finish(self, key):
        await self.cluster.drive(
            self.holder.client.finish(
                bill=ledger_cluster.bill(key),
                answer=ledger_cluster.ANSWER,
                timeout=5 * SECOND,
            )
        )

    async def test_rows_are_reused_and_bills_kept(self):
        """A partition runs for five windows, with a take-over.

        Old bills are archived, the log has no more rows than one window
        needs, and every bill is found once.
        """
        keys = [f"k{number:02d}" for number in range(16)]
        for number, key in enumerate(keys):
            await self.finish(key)
            await self.cluster.pass_time(20 * SECOND)
            if number == 8:
                self.cluster.kill(self.holder.address[0])
                self.cluster.start("c")
                self.holder = await self.cluster.until_held()
        rows = await self.cluster.drive(
            self.cluster.table.scan(prefix="ledger/")
        )
        self.assertLess(len(rows), 8)
        archived = await self.cluster.drive(
            self.cluster.objects.list_keys(prefix=archive.KEY_PREFIX)
        )
        self.assertGreater(len(archived), 5)
        self.assertEqual(await self.cluster.billed(), keys)

    async def test_usage_adds_up(self):
        for key in ("k1", "k2"):
            await self.finish(key)
        [usage] = await self.cluster.drive(
            self.holder.ledger.bill_reader.usage()
        )
        self.assertEqual(
            (usage.team, usage.requests, usage.cost_micros),
            ("agency", 2, 14),
        )

    async def test_a_key_is_forgotten_after_the_window(self):
        identity = ledger_cluster.identity("k")
        await self.finish("k")
        for wait_s, state in (
            (30, ledger.ClaimState.ANSWERED),
            (60, ledger.ClaimState.WON),
        ):
            await self.cluster.pass_time(wait_s * SECOND)
            result = await self.cluster.drive(
                self.holder.client.claim(
                    identity, request_id=f"r{wait_s}", timeout=SECOND
                )
            )
            self.assertEqual(result.state, state)
