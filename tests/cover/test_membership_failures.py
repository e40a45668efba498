"""Membership under every failure it is meant for, on a fake clock."""

import datetime
import unittest
from unittest import mock

import msgspec

from nutmeghook.internal.inner import local_datagrams
from nutmeghook.internal.membership import local_fleet
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events
from tests.cover import membership_scenario

SECOND = datetime.timedelta(seconds=1)
DEAD = members_module.MemberHealth.DEAD
LEAVING = members_module.MemberHealth.LEAVING
ALIVE = members_module.MemberHealth.ALIVE


class DeathTest(unittest.TestCase):
    @membership_scenario.fleet_of(7)
    async def test_a_crash_is_noticed_by_all(self, s):
        def faulty_callback(change):
            raise RuntimeError("of the test")

        told_after_the_fault = []
        s.service(5).on_change(faulty_callback)
        s.service(5).on_change(told_after_the_fault.append)
        s.fleet.crash(3)
        await s.until_agreed()
        self.assertEqual(s.deaths(), {s.fleet.address(3)})
        self.assertIs(told_after_the_fault[-1].health, DEAD)
        kinds = [
            event.kind
            for event in s.fleet.running[s.fleet.address(0)].events.since(0)
            if event.subject == s.fleet.address(3)
        ]
        self.assertEqual(kinds[-1], events.EventKind.MEMBER_LEFT)

    @membership_scenario.fleet_of(2)
    async def test_the_last_one_of_two_notices(self, s):
        s.fleet.crash(1)
        await s.until_agreed()

    @membership_scenario.fleet_of(7)
    async def test_a_restart_at_the_same_address(self, s):
        """Others take the new process for a new member at once.

        It restarts faster than anyone could miss the old one, on a machine
        whose wall clock is hours behind, so its number is below its
        predecessor's; the first acks tell it the number to outbid.
        """
        for wall_clock_lag in (datetime.timedelta(), 3600 * SECOND):
            s.start(3, wall_clock_lag=wall_clock_lag)
            new = s.service(3).myself.incarnation
            await s.until(
                lambda new=new: (
                    all(
                        s.seen(n, 3).incarnation == new
                        for n in range(7)
                        if s.seen(n, 3)
                    )
                    and s.fleet.agrees()
                )
            )
        self.assertLessEqual(s.deaths(), {s.fleet.address(3)})

    @membership_scenario.fleet_of(7)
    async def test_leaving_and_ending_cause_no_suspicion(self, s):
        """A draining instance is seen as leaving by all, then as gone.

        It says so itself, so nobody has to miss its answers first.
        """
        s.service(3).announce_leaving()
        await s.until(
            lambda: all(s.seen(n, 3).health is LEAVING for n in range(7)),
            at_most=6 * SECOND,
        )
        await s.clock.advance(10 * SECOND)
        s.service(3).announce_end()
        await s.clock.advance(SECOND / 10)
        s.fleet.crash(3)
        await s.until_agreed(at_most=6 * SECOND)
        healths = {change.health for _, change in s.changes}
        self.assertEqual(healths, {LEAVING, DEAD})


class FreezeTest(unittest.TestCase):
    @membership_scenario.fleet_of(7)
    async def test_a_short_freeze_costs_nothing(self, s):
        for freeze in (SECOND, 3 * SECOND):
            s.fleet.network.freeze(s.fleet.address(2))
            await s.clock.advance(freeze)
            s.fleet.network.thaw(s.fleet.address(2))
            await s.clock.advance(20 * SECOND)
        self.assertEqual(s.deaths(), set())
        self.assertTrue(s.fleet.agrees())

    @membership_scenario.fleet_of(7)
    async def test_a_long_freeze_is_a_death_that_the_frozen_one_learns_of(
        self, s
    ):
        """The others drop a frozen instance; it comes back by itself.

        It is stopped past the suspicion time and goes on. Before its first
        task has run it already knows that it can't be sure to be a member;
        the first ack tells it that it was taken for dead; it raises its
        number and all take it back. It accuses nobody, though to its clock
        everybody was silent for a minute.
        """
        frozen = s.service(2)
        self.assertTrue(frozen.is_confirmed())
        s.fleet.network.freeze(s.fleet.address(2))
        await s.until(lambda: all(s.seen(n, 2) is None for n in (0, 1, 3, 6)))
        await s.clock.advance(60 * SECOND)
        s.fleet.network.thaw(s.fleet.address(2))
        self.assertFalse(frozen.is_confirmed())
        await s.until_agreed(at_most=8 * SECOND)
        await s.until(frozen.is_confirmed, at_most=3 * SECOND)
        await s.clock.advance(20 * SECOND)
        self.assertTrue(s.fleet.agrees())
        self.assertEqual(s.deaths(), {s.fleet.address(2)})

    @membership_scenario.fleet_of(4)
    async def test_an_old_ack_confirms_nothing(self, s):
        """An ack that lay in the socket during a freeze is of the time before.

        The frozen instance has a probe under way when it is stopped. At the
        thaw it reads the ack first, but has since been taken for dead: only
        the ack of a probe that left after the thaw counts.
        """
        frozen = s.fleet.address(2)
        for number in (0, 1, 3):
            s.fleet.network.set_delay(
                s.fleet.address(number), frozen, SECOND / 3
            )
        for _ in range(8):
            await s.clock.advance(20.1 * SECOND)
            s.fleet.network.freeze(frozen)
            await s.clock.advance(7 * SECOND)
            s.fleet.network.thaw(frozen)
            await s.clock.advance(SECOND / 100)
            self.assertFalse(s.service(2).is_confirmed())

    @membership_scenario.fleet_of(7)
    async def test_a_starving_process_accuses_nobody(self, s):
        """A process that runs for a fifth of a second in each five hears no
        ack in time, and what comes while it stands still is lost.

        To its clock all probes time out, round after round. It must not take
        everybody for dead: a wait that took far longer than asked says that
        it was itself that stood still.
        """
        starving = s.fleet.address(2)
        others = [s.fleet.address(n) for n in range(7) if n != 2]
        for other in others:
            s.fleet.network.set_delay(other, starving, SECOND / 2)
        for _ in range(12):
            s.fleet.network.freeze(starving)
            for other in others:
                s.fleet.network.cut(other, starving)
            await s.clock.advance(5 * SECOND)
            s.fleet.network.thaw(starving)
            s.fleet.network.heal_all()
            await s.clock.advance(SECOND / 5)
        told = [change.health for n, change in s.changes if n == 2]
        self.assertEqual(told, [])


class CutTest(unittest.TestCase):
    @membership_scenario.fleet_of(7)
    async def test_a_cut_between_two_removes_neither(self, s):
        """One link fails, one way or both; both ends stay members to all.

        Their probes fail, the helpers' don't.
        """
        one, other = s.fleet.address(1), s.fleet.address(5)
        s.fleet.network.cut(one, other)
        await s.clock.advance(60 * SECOND)
        s.fleet.network.cut_both_ways(one, other)
        await s.clock.advance(60 * SECOND)
        self.assertEqual(s.deaths(), set())
        self.assertTrue(s.fleet.agrees())

    @membership_scenario.fleet_of(7)
    async def test_a_deaf_instance_convinces_nobody(self, s):
        """An instance hears nothing while what it sends arrives.

        To it everybody is silent. It is the one that leaves the members, not
        the six others on its word; it can't be sure of itself meanwhile, and
        it is back soon after the links heal.
        """
        deaf = s.fleet.address(4)
        for number in range(7):
            s.fleet.network.cut(s.fleet.address(number), deaf)
        await s.until(lambda: all(s.seen(n, 4) is None for n in (0, 1, 6)))
        await s.clock.advance(60 * SECOND)
        self.assertFalse(s.service(4).is_confirmed())
        told = {c.inner_address for n, c in s.changes if n != 4}
        self.assertEqual(told, {deaf})
        s.fleet.network.heal_all()
        await s.until_agreed()
        self.assertTrue(s.service(4).is_confirmed())

    @membership_scenario.fleet_of(15)
    async def test_regions_that_can_not_reach_each_other_but_a_third(self, s):
        """Two regions lose each other; a third, of one instance, reaches both.

        Each probe across is carried by the helper of the third region, so
        nobody is taken for dead. Helpers drawn without regard to regions
        would often all be on the wrong side.
        """
        for number in (5, 8, 11, 14):
            s.fleet.crash(number)
        await s.until_agreed(at_most=30 * SECOND)
        s.changes.clear()
        for one in range(15):
            for other in range(15):
                regions = {s.fleet.region(one), s.fleet.region(other)}
                if regions == {"region-0", "region-1"}:
                    s.fleet.network.cut(
                        s.fleet.address(one), s.fleet.address(other)
                    )
        await s.clock.advance(60 * SECOND)
        self.assertEqual(s.deaths(), set())

    @membership_scenario.fleet_of(6)
    async def test_a_region_cut_off_and_healed(self, s):
        """Each side goes on with its own members and finds the others again.

        The list still names all, and says nothing of the cut. Meanwhile one
        instance behind the cut is replaced by a new process. After the heal
        all agree on who runs, and none was dropped by its own side.
        """
        s.fleet.cut_region("region-1", count=6)
        inside, outside = {1, 4}, {0, 2, 3, 5}
        await s.clock.advance(60 * SECOND)
        s.start(4)
        await s.clock.advance(60 * SECOND)
        for side in (inside, outside):
            expected = {s.fleet.address(number) for number in side}
            for number in side:
                members = s.service(number).members()
                self.assertEqual({m.inner_address for m in members}, expected)
        changes = len(s.changes)
        s.fleet.network.heal_all()
        await s.until_agreed(at_most=30 * SECOND)
        after = [change for _, change in s.changes[changes:]]
        self.assertEqual({change.health for change in after}, {ALIVE})


class DatagramTest(unittest.TestCase):
    @membership_scenario.fleet_of(30, joined=False)
    async def test_datagrams_stay_below_the_mtu(self, s):
        """However much there is to tell, no datagram may be fragmented.

        30 instances with names of 100 characters join at once, so that each
        message has more rumours to carry than fit.
        """
        sizes = []
        send = local_datagrams.LocalDatagrams.send
        list_row = local_fleet.LocalFleet.list_row

        def measured_send(socket, target, data):
            sizes.append(len(data))
            send(socket, target, data)

        def long_list_row(fleet, number):
            return msgspec.structs.replace(
                list_row(fleet, number),
                region="r" * 100,
                data_centre="d" * 100,
            )

        with (
            mock.patch.object(
                local_datagrams.LocalDatagrams, "send", measured_send
            ),
            mock.patch.object(
                local_fleet.LocalFleet, "list_row", long_list_row
            ),
        ):
            for number in range(30):
                s.start(number)
            await s.until_agreed(at_most=60 * SECOND)
        self.assertGreater(max(sizes), 1000)
        self.assertLessEqual(max(sizes), 1200)


if __name__ == "__main__":
    unittest.main()
