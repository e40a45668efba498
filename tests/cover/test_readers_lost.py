"""The store refuses all instances that read it and serves the others.

A few instances of a large fleet read the store for all. A third of the fleet,
among them all readers, gets no answer for seconds, and an operator changes the
configuration in that time. With three readers, one in 23 outages that affect a
third of the fleet affects all of them.
"""

import asyncio
import datetime
import unittest

from bench import _virtual_time
from nutmeghook.internal.table_replication import gossip as gossip_module
from tests import gossip_fleet

_SECOND = datetime.timedelta(seconds=1)
_REFUSED_SHARE = 0.35


class ReadersLostTest(unittest.TestCase):
    def check_worst_delay(
        self, *, size: int, bound: datetime.timedelta, outages: int
    ):
        worst_delay = _virtual_time.run(
            self.worst_delay_of(size, bound, outages)
        )
        self.assertLess(worst_delay, bound)

    async def worst_delay_of(
        self, size: int, bound: datetime.timedelta, outages: int
    ) -> datetime.timedelta:
        """Returns the longest time until all instances have a change."""
        fleet = gossip_fleet.Fleet(size=size, seed=size, change_time=bound)
        fleet.store.put(b"first")
        tasks = [asyncio.ensure_future(g.run()) for g in fleet.gossips]
        tasks += [
            asyncio.ensure_future(_follow_forever(fleet, gossip))
            for gossip in fleet.gossips
        ]
        worst_delay = datetime.timedelta()
        for _ in range(outages):
            await fleet.clock.sleep(5 * _SECOND)
            worst_delay = max(worst_delay, await self.delay_in_outage(fleet))
        await gossip_fleet.stop(tasks)
        return worst_delay

    async def delay_in_outage(self, fleet) -> datetime.timedelta:
        readers = [
            g._instance_id
            for g in fleet.gossips
            if g.should_read(fleet.tables[g._instance_id])
        ]
        others = [name for name in fleet.names if name not in readers]
        more = max(0, round(_REFUSED_SHARE * len(fleet.names)))
        fleet.store.refused_instances = {
            *readers,
            *fleet.random.sample(others, min(len(others) - 1, more)),
        }
        version = fleet.store.put(b"changed")
        began_at = fleet.clock.monotonic()
        while fleet.behind(version):
            await fleet.clock.sleep(_SECOND / 50)
            if fleet.clock.monotonic() - began_at > 10 * _SECOND:
                break
        fleet.store.refused_instances = set()
        return fleet.clock.monotonic() - began_at

    def test_a_change_is_in_force_in_time_on_73_instances(self):
        """A key is revoked while the store answers none of the readers. As they
        live and keep their feeds open, they were not replaced, and the key was
        accepted everywhere until the others' confirmations were 4.5 s old.
        """
        self.check_worst_delay(size=73, bound=3 * _SECOND, outages=6)

    def test_a_change_is_in_force_in_time_on_200_instances(self):
        self.check_worst_delay(size=200, bound=4 * _SECOND, outages=2)

    def test_a_change_is_in_force_in_time_on_7_instances(self):
        """The others noticed the silence after 2.25 s, though a change has to
        be in force after 2 s in small fleets.
        """
        self.check_worst_delay(size=7, bound=2 * _SECOND, outages=25)

    def test_instances_back_off_while_the_store_is_out(self):
        """The store answers nobody for eight seconds. All confirmations grow
        old, and 73 instances each called some ten times. On its return all get
        a change in time nevertheless.
        """
        call_count, took = _virtual_time.run(self.full_outage())
        self.assertLess(call_count / 73, 3.5)
        self.assertLess(took, 3 * _SECOND)

    async def full_outage(self) -> tuple[int, datetime.timedelta]:
        fleet = gossip_fleet.Fleet(size=73, seed=3, change_time=3 * _SECOND)
        fleet.store.put(b"first")
        tasks = [asyncio.ensure_future(g.run()) for g in fleet.gossips]
        tasks += [
            asyncio.ensure_future(_follow_forever(fleet, gossip))
            for gossip in fleet.gossips
        ]
        await fleet.clock.sleep(5 * _SECOND)
        fleet.store.refused_instances = set(fleet.names)
        fleet.store.call_count = 0
        await fleet.clock.sleep(8 * _SECOND)
        call_count = fleet.store.call_count
        fleet.store.refused_instances = set()
        version = fleet.store.put(b"changed")
        began_at = fleet.clock.monotonic()
        while fleet.behind(version):
            await fleet.clock.sleep(_SECOND / 50)
        took = fleet.clock.monotonic() - began_at
        await gossip_fleet.stop(tasks)
        return call_count, took


async def _follow_forever(fleet, gossip) -> None:
    table = fleet.tables[gossip._instance_id]
    while True:
        await gossip_module.follow_once(table, gossip, fleet.clock)


if __name__ == "__main__":
    unittest.main()
