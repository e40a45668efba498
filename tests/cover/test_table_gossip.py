"""Gossip about the revisions of the store's tables."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

import aiohttp

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.table_replication import bandwidth_limiter
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import gossip as gossip_module
from nutmeghook.internal.table_replication import reader_election
from nutmeghook.internal.table_replication import shared_table
from nutmeghook.internal.table_replication import source
from nutmeghook.internal.table_replication import table_copy
from nutmeghook.platform import store
from nutmeghook.platform import tables
from nutmeghook.standins import users_store
from tests import fake_peers
from tests import platform_rows

TABLE = tables.REPLICA_TABLE
SEAL = datagrams.Seal(credential="shared")
_SECOND = datetime.timedelta(seconds=1)


class TableGossipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = users_store.StandInStore()
        await self.store.start()
        self.session = aiohttp.ClientSession()
        self.clock = clock_module.FakeClock()
        self.receivers = {}
        self.dropped = set()
        self.handlers = {}
        self.calls = fake_peers.FakePeerCaller(handlers=self.handlers)
        self.put("1")

    async def asyncTearDown(self):
        await self.session.close()
        await self.store.stop()

    def put(self, number: str) -> None:
        """Writes the entry of a replica."""
        self.store.put(
            "servers",
            number,
            platform_rows.replica_row(
                service="s", address=f"10.0.0.{number}:80", slots=1
            ),
        )

    def instance(self, name: str):
        """Returns an instance's gossip, table and replica directory."""
        directory = directory_module.ReplicaDirectory(clock=self.clock)
        copy = table_copy.TableCopy(
            listener=tables.ReplicaRows(
                directory=directory,
                unreadable=platform_rows.unreadable_values(),
            ),
            clock=self.clock,
        )
        table = shared_table.SharedTable(
            copy=copy,
            table_follower=follower.TableFollower(
                table=store.PlatformTable(
                    client=store.StoreClient(
                        session=self.session, address=self.store.address
                    ),
                    name=TABLE,
                ),
                listener=copy,
                store_monitor=follower.StoreMonitor(clock=self.clock),
                clock=self.clock,
                random_source=random.Random(1),
                wait=datetime.timedelta(),
            ),
            clock=self.clock,
        )
        self.handlers[name] = peers.PeerHandlers()
        socket = fake_peers.FakeDatagrams(
            receivers=self.receivers, dropped=self.dropped
        )
        gossip = gossip_module.TableGossip(
            instance_id=name,
            inner_address=name,
            data_centre="here",
            tables={TABLE: table},
            messages=sealed_messages.SealedMessages(
                datagrams=socket.bind(name), seal=SEAL
            ),
            caller=self.calls,
            handlers=self.handlers[name],
            deletion_grace=directory,
            limiter=bandwidth_limiter.BandwidthLimiter(
                link_mbit_per_s=100.0, clock=self.clock
            ),
            change_time=3 * _SECOND,
            clock=self.clock,
            random_source=random.Random(name),
        )
        return gossip, table, directory

    def connect(self, *everyone) -> None:
        """Adds all instances to each other's peers."""
        names = [gossip._instance_id for gossip, _, _ in everyone]
        for gossip, _, _ in everyone:
            gossip.peers.update(
                {n: n for n in names if n != gossip._instance_id}
            )

    async def catch_up(self, instance) -> None:
        """Fetches the newer rows that a peer reported."""
        gossip = instance[0]
        self.assertTrue(gossip._peers_ahead[TABLE])
        catching_up = asyncio.ensure_future(gossip._keep_caught_up(TABLE))
        await self.clock.advance(_SECOND / 2)
        catching_up.cancel()

    def listed(self, instance) -> list[str]:
        """Returns the replicas that an instance knows."""
        return sorted(r.entry.replica_id for r in instance[2].of_service("s"))

    async def test_an_instance_the_store_refuses_gets_changes_from_peers(self):
        """The store refuses one instance and serves the others. A replica joins
        and another leaves; the refused one learns of both by a peer's digest.
        """
        served, refused = self.instance("a"), self.instance("b")
        self.connect(served, refused)
        for instance in (served, refused):
            await instance[1].follower.step()
        self.put("2")
        self.store.delete("servers", "1")
        await served[1].follower.step()
        served[0]._send_digest(local=5, remote=0)
        await self.catch_up(refused)
        self.assertEqual(self.listed(refused), ["2"])

    async def test_a_peer_that_does_not_reply_delays_no_changes(self):
        """Two peers report a change and the later one's replies are lost. The
        change must be fetched from the other one before its next digest.
        """
        silent, responsive, late = (self.instance(name) for name in "abc")
        self.connect(silent, responsive, late)
        for instance in (silent, responsive, late):
            await instance[1].follower.step()
        self.put("2")
        for instance in (responsive, silent):
            await instance[1].follower.step()
            instance[0]._send_digest(local=5, remote=0)
        del self.handlers["a"]
        await self.catch_up(late)
        self.assertEqual(self.listed(late), ["1", "2"])

    async def test_an_instance_knows_that_it_is_behind_until_it_caught_up(self):
        ahead, behind = self.instance("a"), self.instance("b")
        self.connect(ahead, behind)
        for instance in (ahead, behind):
            await instance[1].follower.step()
        self.put("2")
        await ahead[1].follower.step()
        self.assertFalse(behind[0].is_behind(TABLE))
        ahead[0]._send_digest(local=5, remote=0)
        self.assertTrue(behind[0].is_behind(TABLE))
        await self.catch_up(behind)
        self.assertFalse(behind[0].is_behind(TABLE))

    async def test_an_instance_that_got_a_part_knows_that_it_lacks_more(self):
        """It was taken for the newest once any change had arrived, and denied
        for good what a change that it had been told of allows.
        """
        ahead, behind = self.instance("a"), self.instance("b")
        self.connect(ahead, behind)
        await behind[1].follower.step()
        ahead[1].follower.skip_to(99)
        ahead[0]._send_digest(local=5, remote=0)
        await self.clock.advance(_SECOND)
        self.assertEqual(behind[0].behind_for(TABLE), _SECOND)
        self.put("2")
        await behind[1].follower.step()
        self.assertTrue(behind[0].is_behind(TABLE))
        self.assertEqual(behind[0].behind_for(TABLE), 0 * _SECOND)
        await self.clock.advance(_SECOND)
        self.assertEqual(behind[0].behind_for(TABLE), _SECOND)

    async def test_a_reported_revision_that_nobody_serves_expires(self):
        """A peer reports a change and dies with it. If the report did not
        expire, the instance would refuse requests for unknown paths for good.
        """
        dead, instance = self.instance("a"), self.instance("b")
        self.connect(dead, instance)
        await instance[1].follower.step()
        dead[1].follower.skip_to(99)
        dead[0]._send_digest(local=5, remote=0)
        self.assertTrue(instance[0].is_behind(TABLE))
        await self.clock.advance(4 * _SECOND)
        self.assertFalse(instance[0].is_behind(TABLE))

    async def test_an_idle_instance_wakes_only_for_its_digests(self):
        """Guards against a fleet whose idle instances take the processor time
        that those need which start.
        """
        gossip = self.instance("a")[0]
        running = asyncio.create_task(gossip.run())
        await self.clock.advance(_SECOND)
        with mock.patch.object(
            self.clock, "sleep", wraps=self.clock.sleep
        ) as sleep:
            await self.clock.advance(10 * _SECOND)
        running.cancel()
        digests = 10 * _SECOND / gossip_module.GOSSIP_PERIOD
        self.assertLess(sleep.call_count, 2 * digests)

    async def test_a_new_instance_gets_the_whole_table(self):
        old, new = self.instance("a"), self.instance("b")
        self.connect(old, new)
        await old[1].follower.step()
        old[0]._send_digest(local=5, remote=0)
        await self.catch_up(new)
        self.assertEqual(self.listed(new), ["1"])

    async def test_a_late_page_of_the_feed_restores_no_deleted_row(self):
        """A feed's response is in transit while a peer's newer rows are
        applied. It has a replica that they deleted; if it were applied, a
        replica that is gone would be sent requests until the next full read.
        """
        instance = self.instance("a")
        await instance[1].follower.step()
        table = instance[1].follower._table
        late = source.Page(
            rows=(
                source.FollowedRow(
                    key="2",
                    value=self.store.value("servers", "1"),
                    version=2,
                ),
            ),
            revision=2,
            store_time=datetime.timedelta(),
        )

        class LateTable(source.FollowedTable):
            name = table.name

            async def read_all(self):
                raise NotImplementedError

            async def changes(self, since, wait):
                instance[1].apply_update((), 9, whole=False)
                return late

        instance[1].follower._table = LateTable()
        await instance[1].follower.step()
        self.assertEqual(self.listed(instance), ["1"])
        self.assertEqual(instance[1].revision, 9)

    async def test_few_read_and_another_takes_over_from_a_dead_reader(self):
        """Of seven instances three read the store, and one reader dies. The
        next one by priority reads instead, within the time in which a change
        has to be in force.
        """
        everyone = [self.instance(name) for name in "abcdefg"]
        self.connect(*everyone)
        for instance in everyone:
            await instance[1].follower.step()
            instance[0]._send_digest(local=10, remote=0)
        for instance in everyone:
            instance[0]._send_digest(local=10, remote=0)
        by_priority = sorted("abcdefg", key=reader_election.priority_of)
        self.assertEqual(self.reading(everyone), sorted(by_priority[:3]))
        living = [i for i in everyone if i[0]._instance_id != by_priority[0]]
        await self.clock.advance(1.4 * _SECOND)
        for instance in living:
            await instance[1].follower.step()
            instance[0]._send_digest(local=10, remote=0)
        self.assertEqual(self.reading(living), sorted(by_priority[1:4]))

    async def test_as_few_read_in_a_large_fleet(self):
        """Seventy instances send digests to six others per round, so each hears
        from a given peer only every few seconds. Judged by that alone, the
        number of readers would grow with the fleet. When all readers die,
        others take over in time.
        """
        everyone = [self.instance(f"i{number}") for number in range(70)]
        reader_count = reader_election.READER_COUNT
        self.connect(*everyone)
        await self.gossip_for(everyone, rounds=12)
        self.assertGreaterEqual(len(self.reading(everyone)), reader_count)
        self.assertLessEqual(len(self.reading(everyone)), reader_count + 1)
        by_priority = sorted(
            (i[0]._instance_id for i in everyone),
            key=reader_election.priority_of,
        )
        dead = by_priority[:reader_count]
        living = [i for i in everyone if i[0]._instance_id not in dead]
        await self.gossip_for(living, rounds=7)
        reading = self.reading(living)
        self.assertTrue(
            set(by_priority[reader_count : reader_count + 3]) <= set(reading)
        )
        self.assertLessEqual(len(reading), reader_count + 3)

    async def test_readers_that_the_store_refuses_are_replaced(self):
        """The store refuses all readers of a fleet and serves the others.
        Unless they are replaced, no instance learns of a change until its own
        confirmation is too old, later than the bound allows.
        """
        everyone = [self.instance(f"i{number}") for number in range(40)]
        self.connect(*everyone)
        reader_count = reader_election.READER_COUNT
        await self.gossip_for(everyone, rounds=12)
        by_priority = sorted(
            (i[0]._instance_id for i in everyone),
            key=reader_election.priority_of,
        )
        for gossip, table, _ in everyone:
            if gossip._instance_id in by_priority[:reader_count]:
                table.follower._store_monitor.is_unreachable = True
        await self.gossip_for(everyone, rounds=7)
        reading = set(self.reading(everyone))
        self.assertTrue(
            set(by_priority[reader_count : reader_count + 3]) <= reading,
            reading,
        )

    async def gossip_for(self, instances, *, rounds: int) -> None:
        """Runs rounds in which instances read if needed and send digests."""
        for _ in range(rounds):
            await self.clock.advance(gossip_module.GOSSIP_PERIOD)
            for gossip, table, _ in instances:
                if (
                    gossip.should_read(table)
                    and table.follower.is_store_reachable
                ):
                    await table.follower.step()
                gossip._send_digest(
                    local=gossip_module.LOCAL_FANOUT,
                    remote=gossip_module.REMOTE_FANOUT,
                )

    def reading(self, everyone) -> list[str]:
        """Returns the instances that read the store."""
        return [n._instance_id for n, t, _ in everyone if n.should_read(t)]

    async def test_without_confirmations_every_instance_reads(self):
        """All readers are cut off from the store; their digests continue.

        The digests bring no newer confirmations. An instance that relied on
        them alone would never learn of a change.
        """
        everyone = [self.instance(name) for name in "abcd"]
        self.connect(*everyone)
        for instance in everyone:
            await instance[1].follower.step()
        for _ in range(12):
            await self.clock.advance(_SECOND / 2)
            for instance in everyone:
                instance[0]._send_digest(local=10, remote=0)
        self.assertEqual(self.reading(everyone), ["a", "b", "c", "d"])

    async def test_a_peer_s_deletion_grace_is_adopted(self):
        """After a store outage an entry has lapsed, and the reader delays its
        deletion. An instance that did not notice the outage must not drop the
        replica because of the reader's rows.
        """
        reader, other = self.instance("a"), self.instance("b")
        self.connect(reader, other)
        for instance in (reader, other):
            await instance[1].follower.step()
        reader[2].hold_deletions(
            self.clock.monotonic() + directory_module.LAPSE_GRACE
        )
        self.store.delete("servers", "1")
        await reader[1].follower.step()
        reader[0]._send_digest(local=5, remote=0)
        await self.catch_up(other)
        self.assertEqual(self.listed(other), ["1"])
        await self.clock.advance(3 * _SECOND)
        self.assertEqual(self.listed(other), [])

    async def test_a_lost_peer_s_deletion_grace_is_not_adopted(self):
        """An instance that was cut off took that for an outage of the store.
        Those that had never lost the store sent on to a replica that left.
        """
        cut_off, other = self.instance("a"), self.instance("b")
        self.connect(cut_off, other)
        for instance in (cut_off, other):
            await instance[1].follower.step()
        for _ in range(3):
            await self.clock.advance(_SECOND)
            await other[1].follower.step()
        cut_off[2].hold_deletions(
            self.clock.monotonic() + directory_module.LAPSE_GRACE
        )
        self.store.delete("servers", "1")
        await cut_off[1].follower.step()
        cut_off[0]._send_digest(local=5, remote=0)
        await self.catch_up(other)
        self.assertEqual(self.listed(other), [])

    async def test_a_datagram_without_the_credential_is_dropped(self):
        instance = self.instance("a")
        foreign = datagrams.Seal(credential="another")
        self.receivers["a"](foreign.wrap(b"anything"))
        self.receivers["a"](b"")
        self.assertEqual(instance[0].peers, {})


if __name__ == "__main__":
    unittest.main()
