"""Instances find each other, whatever the platform's list contains."""

import asyncio
import datetime
import random
import unittest

import msgspec

from nutmeghook.internal.foundation import clock
from nutmeghook.internal.membership import listing
from nutmeghook.internal.membership import local_fleet
from tests.cover import membership_scenario

SECOND = datetime.timedelta(seconds=1)


class JoinTest(unittest.TestCase):
    @membership_scenario.fleet_of(7)
    async def test_few_read_the_list_and_all_learn_of_a_new_instance(self, s):
        s.fleet.list_all(8)
        reads = s.fleet.instance_list.reads
        s.start(7)
        await s.until_agreed()
        self.assertEqual(s.seen(0, 7).data_centre, "data-centre-7")
        await s.clock.advance(60 * SECOND)
        # Each of these 8 instances is the only one in its data centre.
        self.assertLess(s.fleet.instance_list.reads - reads, 8 * 16)
        self.assertEqual(s.deaths(), set())

    @membership_scenario.fleet_of(4, joined=False)
    async def test_starting_while_the_list_is_out(self, s):
        """Instances start while the instance list is unavailable.

        Those with seed addresses must find each other. One without must not
        count as the only instance, also while the list is empty at first, and
        must join once the list is complete.
        """
        s.fleet.instance_list.is_out = True
        seeds = (s.fleet.address(0),)
        for number in range(3):
            s.start(number, seed_addresses=seeds)
        await s.until_agreed()
        s.start(3)
        await s.clock.advance(20 * SECOND)
        self.assertFalse(s.service(3).is_confirmed())
        rows, s.fleet.instance_list.rows = s.fleet.instance_list.rows, []
        s.fleet.instance_list.is_out = False
        await s.clock.advance(20 * SECOND)
        self.assertIsNone(s.seen(3, 0))
        self.assertFalse(s.service(3).is_confirmed())
        s.fleet.instance_list.rows = rows
        await s.until_agreed()

    @membership_scenario.fleet_of(5)
    async def test_a_listed_but_dead_peer_is_no_member(self, s):
        """The platform lists an instance that is dead.

        It never answers, so it must never become a member; it costs a reader
        at most a probe each two seconds.
        """
        s.fleet.list_all(6)
        await s.clock.advance(60 * SECOND)
        self.assertTrue(s.fleet.agrees())
        self.assertEqual(s.changes, [])

    def test_rows_without_a_usable_inner_address_are_ignored(self):
        fleet = local_fleet.LocalFleet(
            clock=clock.FakeClock(), random=random.Random(1)
        )
        fleet.list_all(2)
        for bad in ("", "host:7000", "10.0.0.1", "10.0.0.1:0", "::1:70000"):
            fleet.instance_list.rows.append(
                msgspec.structs.replace(fleet.list_row(9), inner_address=bad)
            )
        hints = listing.InstanceHints(instance_list=fleet.instance_list)
        asyncio.run(hints.read())
        self.assertEqual(
            hints.addresses(), {fleet.address(0), fleet.address(1)}
        )

    @membership_scenario.fleet_of(6)
    async def test_a_faulty_list_removes_nobody(self, s):
        """The platform's list is empty, then has one row, while all run.

        All must stay members. A crash and a restart during the fault must be
        noticed, as dead members are probed at their remembered addresses.
        """
        rows = s.fleet.instance_list.rows
        for faulty in ([], rows[:1]):
            s.fleet.instance_list.rows = faulty
            await s.clock.advance(30 * SECOND)
            self.assertEqual(s.changes, [])
        s.fleet.crash(3)
        await s.until_agreed()
        s.start(3)
        await s.until_agreed()
        self.assertEqual(s.deaths(), {s.fleet.address(3)})

    @membership_scenario.fleet_of(1)
    async def test_the_only_instance_is_confirmed(self, s):
        self.assertTrue(s.service(0).is_confirmed())


if __name__ == "__main__":
    unittest.main()
