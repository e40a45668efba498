"""Membership under crashes, freezes and network cuts, on a fake clock."""

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

        reported_after_the_fault = []
        s.service(5).on_change(faulty_callback)
        s.service(5).on_change(reported_after_the_fault.append)
        s.fleet.crash(3)
        await s.until_agreed()
        self.assertEqual(s.deaths(), {s.fleet.address(3)})
        self.assertIs(reported_after_the_fault[-1].health, DEAD)
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
        """A process restarts before any member notices that the old one died.

        The second restart has a wall clock an hour behind, so its number is
        below its predecessor's; the first acks give the number to exceed. All
        must replace the old member by the new one.
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
        """A draining instance announces that it leaves, then that it ends.

        All must see it as leaving, then dead, without suspecting it.
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
    async def test_a_short_freeze_has_no_effect(self, s):
        for freeze in (SECOND, 3 * SECOND):
            s.fleet.network.freeze(s.fleet.address(2))
            await s.clock.advance(freeze)
            s.fleet.network.thaw(s.fleet.address(2))
            await s.clock.advance(20 * SECOND)
        self.assertEqual(s.deaths(), set())
        self.assertTrue(s.fleet.agrees())

    @membership_scenario.fleet_of(7)
    async def test_a_member_declared_dead_while_frozen_rejoins(self, s):
        """An instance freezes past the suspicion time, is dropped and thaws.

        Before its first task runs it must count as unconfirmed. The first ack
        tells it of its death, it raises its number and all accept it. It
        must declare no other dead, although all were silent for a minute by
        its clock.
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
        """An instance freezes with a probe in flight, and is declared dead.

        At the thaw it reads that probe's ack first, which must not confirm it:
        only the ack of a probe sent after the thaw does.
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
    async def test_a_stalling_process_declares_nobody_dead(self, s):
        """A process runs for 0.2 s in each 5 s and loses what arrives between.

        All its probes time out. It must declare nobody dead: waits that took
        far longer than requested show that the process itself stalled.
        """
        stalling = s.fleet.address(2)
        others = [s.fleet.address(n) for n in range(7) if n != 2]
        for other in others:
            s.fleet.network.set_delay(other, stalling, SECOND / 2)
        for _ in range(12):
            s.fleet.network.freeze(stalling)
            for other in others:
                s.fleet.network.cut(other, stalling)
            await s.clock.advance(5 * SECOND)
            s.fleet.network.thaw(stalling)
            s.fleet.network.heal_all()
            await s.clock.advance(SECOND / 5)
        reported = [change.health for n, change in s.changes if n == 2]
        self.assertEqual(reported, [])


class CutTest(unittest.TestCase):
    @membership_scenario.fleet_of(7)
    async def test_a_cut_between_two_removes_neither(self, s):
        """One link fails in one direction, then in both.

        Both ends must stay members everywhere, as the helpers' probes succeed.
        """
        one, other = s.fleet.address(1), s.fleet.address(5)
        s.fleet.network.cut(one, other)
        await s.clock.advance(60 * SECOND)
        s.fleet.network.cut_both_ways(one, other)
        await s.clock.advance(60 * SECOND)
        self.assertEqual(s.deaths(), set())
        self.assertTrue(s.fleet.agrees())

    @membership_scenario.fleet_of(7)
    async def test_an_instance_that_receives_nothing_is_the_one_dropped(
        self, s
    ):
        """An instance receives nothing while what it sends arrives.

        All others look silent to it. They must drop it, and not each other on
        its claims; it must be unconfirmed meanwhile and return soon after the
        links heal.
        """
        unreachable = s.fleet.address(4)
        for number in range(7):
            s.fleet.network.cut(s.fleet.address(number), unreachable)
        await s.until(lambda: all(s.seen(n, 4) is None for n in (0, 1, 6)))
        await s.clock.advance(60 * SECOND)
        self.assertFalse(s.service(4).is_confirmed())
        reported = {c.inner_address for n, c in s.changes if n != 4}
        self.assertEqual(reported, {unreachable})
        s.fleet.network.heal_all()
        await s.until_agreed()
        self.assertTrue(s.service(4).is_confirmed())

    @membership_scenario.fleet_of(15)
    async def test_regions_that_can_not_reach_each_other_but_a_third(self, s):
        """Two regions are cut from each other; a third instance reaches both.

        Indirect probes through it must keep all members alive. Helpers chosen
        without regard to regions would often all be on the same side.
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
        """A region is cut off for two minutes while the list still names all.

        One instance behind the cut restarts meanwhile. Each side must keep
        exactly its own members, and after the heal all must agree again
        without a further death.
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
        """No datagram may be fragmented, however many rumours are queued.

        30 instances with names of 100 characters join at once, so that more
        rumours are queued than fit a message.
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
