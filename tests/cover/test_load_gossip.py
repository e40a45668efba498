"""Gossip of load reports among instances of a data centre."""

import datetime
import random
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import load_gossip
from nutmeghook.internal.replicas import replica as replica_module

SEAL = datagrams.Seal(credential="shared")
INSTANCES = 24
REPLICAS = 36
SECOND = datetime.timedelta(seconds=1)


class CountingDatagrams(datagrams.Datagrams):
    """One instance's socket; counts the bytes sent."""

    def __init__(self, receivers, address):
        self._receivers = receivers
        self._address = address
        self.sent_bytes = 0

    def set_receiver(self, receiver) -> None:
        self._receivers[self._address] = receiver

    def send(self, inner_address: str, data: bytes) -> None:
        self.sent_bytes += len(data) + datagrams.HEADER_BYTES
        self._receivers[inner_address](data)


class Instance:
    """One instance's replica directory and gossip."""

    def __init__(self, *, number, receivers, clock):
        self.address = f"10.0.0.{number}:7340"
        self.directory = directory_module.ReplicaDirectory(clock=clock)
        for replica in range(REPLICAS):
            self.directory.put(_entry(replica))
        self.socket = CountingDatagrams(receivers, self.address)
        self.near: list[str] = []
        self.gossip = load_gossip.ReplicaLoadGossip(
            directory=self.directory,
            messages=sealed_messages.SealedMessages(
                datagrams=self.socket, seal=SEAL
            ),
            local_addresses=lambda: self.near,
            clock=clock,
            random_source=random.Random(number),
        )

    def receive_report(self, number: int, *, waiting: int) -> None:
        """Receives a report of a replica, with 20 requests running."""
        self.directory.note_load(
            self.replica(number), running=20, waiting=waiting
        )

    def replica(self, number: int) -> replica_module.Replica:
        """Returns this instance's state of a replica."""
        wanted = _entry(number).replica_id
        return next(
            replica
            for replica in self.directory.of_service("s")
            if replica.entry.replica_id == wanted
        )


def _entry(number: int) -> entries.ReplicaEntry:
    return entries.ReplicaEntry(
        replica_id=f"r{number}",
        service="s",
        address=f"10.1.0.{number}:80",
        data_centre="here",
        version="v1",
        slots=32,
        leaving=False,
    )


class LoadGossipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = clock_module.FakeClock()
        receivers = {}
        self.instances = [
            Instance(number=number, receivers=receivers, clock=self.clock)
            for number in range(INSTANCES)
        ]
        for instance in self.instances:
            instance.near = [
                other.address
                for other in self.instances
                if other is not instance
            ]

    async def rounds(self, count: int) -> None:
        """Runs so many gossip rounds of all instances."""
        for _ in range(count):
            await self.clock.advance(load_gossip.GOSSIP_PERIOD)
            for instance in self.instances:
                instance.gossip.send_update()

    async def test_a_report_reaches_the_whole_data_centre(self):
        """A replica's queue grows, and one instance of 24 gets the report.
        Without gossip the others keep sending there and their callers wait for
        seconds. All instances must know within a second.
        """
        first, *others = self.instances
        first.receive_report(7, waiting=60)
        await self.rounds(4)
        reported = [other.replica(7).report.waiting for other in others]
        self.assertEqual(reported, [60] * len(others))
        ages = [
            self.clock.monotonic() - other.replica(7).report.at
            for other in others
        ]
        self.assertEqual(set(ages), {SECOND})

    async def test_an_older_report_never_replaces_a_newer_one(self):
        """A report circulates while the replica's queue empties. The instance
        that knows of the empty queue must not return to the older report.
        """
        first, second, *_ = self.instances
        first.receive_report(7, waiting=60)
        await self.clock.advance(SECOND / 2)
        second.receive_report(7, waiting=0)
        await self.rounds(6)
        for instance in self.instances:
            self.assertEqual(instance.replica(7).report.waiting, 0)

    async def test_an_old_report_is_not_sent(self):
        first, *others = self.instances
        first.receive_report(7, waiting=60)
        await self.clock.advance(load_gossip.MAX_REPORT_AGE * 1.1)
        await self.rounds(3)
        self.assertIsNone(others[0].replica(7).report)

    async def test_the_traffic_is_bounded(self):
        """Every instance keeps getting reports from every replica."""
        for _ in range(4):
            for instance in self.instances:
                for number in range(REPLICAS):
                    instance.receive_report(number, waiting=number)
            await self.rounds(1)
        sent = max(i.socket.sent_bytes for i in self.instances)
        self.assertLess(sent, 3_000)

    async def test_reports_of_unknown_replicas_and_invalid_numbers_are_ignored(
        self,
    ):
        """A peer reports a replica that is not listed here yet, and a faulty
        one sends absurd counts and negative ages.
        """
        first = self.instances[0]
        replica = first.replica(1)
        first.gossip._receive(
            ttypes.ReplicaLoads(
                replica_hashes=[12345] + 3 * [replica.short_id],
                running=[5, -1, 5, 2**31 - 1],
                waiting=[5, 5, 5, 5],
                ages_ms=[10, 10, -10, 10],
            )
        )
        self.assertIsNone(replica.report)

    async def test_a_message_without_its_fields_raises_no_error(self):
        """Fields that a peer doesn't send are None. An error of each such
        message would be logged with its stack.
        """
        first = self.instances[0]
        replica = first.replica(1)
        first.gossip._receive(ttypes.ReplicaLoads())
        first.gossip._receive(
            ttypes.ReplicaLoads(replica_hashes=[replica.short_id], running=[1])
        )
        self.assertIsNone(replica.report)

    async def test_reports_of_a_removed_replica_are_not_sent(self):
        first, *others = self.instances
        first.receive_report(7, waiting=60)
        first.directory.remove("r7")
        await self.rounds(2)
        self.assertIsNone(others[0].replica(7).report)


if __name__ == "__main__":
    unittest.main()
