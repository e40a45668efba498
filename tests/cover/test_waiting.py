"""`admin status` shows on any instance what needs attention."""

import asyncio
import datetime
import unittest

from nutmeghook.internal.assembly import waiting
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view
from tests import ledger_cluster
from tests import rollout_fleet

SECOND = datetime.timedelta(seconds=1)


class LedgerWaitingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = ledger_cluster.Cluster()
        self.addAsyncCleanup(self.cluster.stop)
        self.instance = self.cluster.start("a")
        await self.cluster.until_held()
        self.sources = waiting.sources(
            view=view.FixedConfigView(
                snapshot=documents.Snapshot(
                    revision=1,
                    fleet=documents.Fleet(),
                    teams={},
                    templates={},
                )
            ),
            ledger=self.instance.ledger,
        )

    async def sentences(self, team=None):
        found = []
        for source in self.sources:
            found += await self.cluster.drive(source.waiting(team))
        return found

    async def test_an_outage_and_the_bills_behind_it_are_named(self):
        """The table service fails, an answer is billed in the object store, and
        that fails too. Status must show both outages while they last, and the
        bill until it is in the log; the bill to administrators only.
        """
        self.assertEqual(await self.sentences(), [])
        ledger = self.instance.ledger
        self.cluster.table.faults.down = True
        await self.cluster.until(lambda: ledger.table_health.is_out)
        finishing = self.instance.client.finish(
            bill=ledger_cluster.bill("k"),
            answer=ledger_cluster.ANSWER,
            timeout=10 * SECOND,
        )
        await self.cluster.drive(finishing)
        await self.cluster.until(ledger.bills_waiting)
        table_out, unread, bills = await self.sentences()
        self.assertIn("the table service to be out", table_out)
        self.assertIn("can't be read", unread)
        self.assertIn("wait for the table service: 1", bills)
        self.assertEqual(await self.sentences("agency"), [table_out, unread])

        for _ in range(self.cluster.settings.failures_to_out):
            ledger.objects_health.record_failure()
        self.assertIn("object store to be out", (await self.sentences())[1])

        self.cluster.table.faults.down = False
        await self.cluster.until(lambda: not ledger.table_health.is_out)
        await self.cluster.until(lambda: not ledger.objects_health.is_out)
        await self.cluster.until(lambda: not ledger.bills_waiting())
        self.assertEqual(await self.sentences(), [])


class ConfigurationWaitingTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_an_age_over_the_bound_is_named(self):
        for age, named in (
            (waiting.MAX_CONFIRMED_AGE, []),
            (7 * SECOND, ["last confirmed 7 s ago"]),
            (None, ["never confirmed"]),
        ):
            with self.subTest(age=age):
                source = waiting.UnconfirmedConfiguration(
                    view=view.FixedConfigView(snapshot=None, age=age)
                )
                found = await source.waiting("agency")
                self.assertEqual(len(found), len(named))
                for text, part in zip(found, named, strict=True):
                    self.assertIn(part, text)


class RollOutWaitingTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_roll_out_at_its_cap_is_named_by_every_instance(self):
        """The rating service rates nothing, so the roll-out stops at its cap of
        unrated answers. Instances that don't drive roll-outs must show that to
        the team, and no longer once ratings arrive.
        """
        asyncio.get_running_loop().set_debug(False)
        fleet = rollout_fleet.RolloutFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.close)
        await fleet.instances[0].lease.take()
        other = waiting.RollOutsWaiting(
            view=fleet.instances[1].replica, table=fleet.table
        )
        await fleet.tick()
        self.assertEqual(await other.waiting(None), [])
        fleet.ratings.stopped = True
        for _ in range(60):
            await fleet.tick()
        for team in (None, "agency"):
            (text,) = await other.waiting(team)
            self.assertIn("small@2 in template agency/lookup waits", text)
        self.assertEqual(await other.waiting("roster"), [])
        fleet.ratings.stopped = False
        await fleet.ticks_until(lambda: fleet.entry().share_percent == 100)
        for _ in range(11):
            await fleet.tick()
        self.assertEqual(await other.waiting(None), [])
