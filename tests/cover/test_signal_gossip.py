"""Gossip of replicas' rate limits among all instances."""

import datetime
import random
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import signal_gossip
from nutmeghook.internal.replicas import signal_registry
from nutmeghook.internal.replicas import signals
from nutmeghook.platform import replicas as replicas_wire
from tests import platform_rows

SEAL = datagrams.Seal(credential="shared")
SECOND = datetime.timedelta(seconds=1)
# Instances of the largest fleet that is planned for.
INSTANCES = 420
DATA_CENTRES = 9
LOSS = 0.2


class LossyDatagrams(datagrams.Datagrams):
    """One instance's socket; a share of its datagrams is lost."""

    def __init__(self, *, receivers, address, draw):
        self._receivers = receivers
        self._address = address
        self._draw = draw
        self.sent_bytes = 0
        self.is_cut = False

    def set_receiver(self, receiver) -> None:
        self._receivers[self._address] = (self, receiver)

    def send(self, inner_address: str, data: bytes) -> None:
        self.sent_bytes += len(data) + datagrams.HEADER_BYTES
        other, receive = self._receivers[inner_address]
        if not (self.is_cut or other.is_cut or self._draw.random() < LOSS):
            receive(data)


class Instance:
    """One instance's registry and gossip."""

    def __init__(self, *, number, fleet):
        self.address = f"edge-{number}"
        self.data_centre = number % DATA_CENTRES
        self.clock = fleet.clock
        self.directory = directory_module.ReplicaDirectory(clock=fleet.clock)
        self.directory.put(
            replicas_wire.decode("i-1", platform_rows.replica_row())
        )
        self.registry = signal_registry.SignalRegistry(
            directory=self.directory, clock=fleet.clock
        )
        self.socket = LossyDatagrams(
            receivers=fleet.receivers, address=self.address, draw=fleet.draw
        )
        self.gossip = signal_gossip.SignalGossip(
            registry=self.registry,
            messages=sealed_messages.SealedMessages(
                datagrams=self.socket, seal=SEAL
            ),
            sample_peers=lambda *, local, remote: fleet.sample(
                self, local, remote
            ),
            clock=fleet.clock,
            random_source=fleet.draw,
        )

    @property
    def replica(self) -> replica_module.Replica:
        (replica,) = self.directory.of_service("service")
        return replica

    def hear(self, per_s: float | None) -> None:
        """Receives an answer of the replica to a request sent just now."""
        self.registry.note_answer(
            self.replica,
            signals.ReplicaSignals(rate_limit_per_s=per_s),
            sent_at=self.clock.monotonic(),
        )


class Fleet:
    """Instances in several data centres, in rounds of one reminder each."""

    def __init__(self, instances: int):
        self.clock = clock_module.FakeClock()
        self.draw = random.Random(instances)
        self.receivers: dict = {}
        self.instances = [
            Instance(number=number, fleet=self) for number in range(instances)
        ]

    def sample(self, asking: Instance, local: int, remote: float) -> list[str]:
        """Returns some peers of the own and of other data centres."""
        near, far = [], []
        for other in self.instances:
            if other is not asking:
                same = other.data_centre == asking.data_centre
                (near if same else far).append(other.address)
        return self.draw.sample(near, min(local, len(near))) + self.draw.sample(
            far, min(round(remote), len(far))
        )

    async def rounds(self, count: int) -> None:
        """Lets each instance send its changes, then a reminder."""
        for _ in range(count):
            for instance in self.instances:
                instance.gossip.send_updates()
                instance.gossip.send_reminder()
            await self.clock.advance(signal_gossip.REMINDER_PERIOD)

    def knowing(self, per_s: float | None) -> int:
        """Returns how many instances take the replica to have this limit."""
        return sum(i.replica.rate_limit_per_s == per_s for i in self.instances)


class SignalGossipTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_instances_know_a_limit_within_a_second(self):
        """One instance of 420 hears of a limit, and a fifth of the datagrams
        is lost.
        """
        fleet = Fleet(INSTANCES)
        fleet.instances[0].hear(2.5)
        await fleet.rounds(2)
        self.assertEqual(fleet.knowing(2.5), INSTANCES)

    async def test_all_instances_know_the_end_of_a_limit(self):
        """An old report that is still passed on must not bring it back."""
        fleet = Fleet(INSTANCES)
        fleet.instances[0].hear(2.5)
        await fleet.rounds(4)
        fleet.instances[5].hear(None)
        await fleet.rounds(2)
        self.assertEqual(fleet.knowing(None), INSTANCES)
        await fleet.rounds(100)
        self.assertEqual(fleet.knowing(None), INSTANCES)

    async def test_all_instances_know_a_leaving_replica_within_a_second(self):
        """One instance of 420 hears in an answer that a replica leaves."""
        fleet = Fleet(INSTANCES)
        fleet.instances[0].registry.note_answer(
            fleet.instances[0].replica,
            signals.ReplicaSignals(leaving=True),
            sent_at=fleet.clock.monotonic(),
        )
        await fleet.rounds(2)
        leaving = [i.replica.is_leaving for i in fleet.instances]
        self.assertEqual(leaving.count(True), INSTANCES)

    async def test_an_instance_that_was_cut_off_is_told_by_reminders(self):
        fleet = Fleet(12)
        fleet.instances[7].socket.is_cut = True
        fleet.instances[0].hear(2.5)
        await fleet.rounds(8)
        self.assertEqual(fleet.knowing(2.5), 11)
        fleet.instances[7].socket.is_cut = False
        await fleet.rounds(8)
        self.assertEqual(fleet.knowing(2.5), 12)

    async def test_a_higher_limit_replaces_a_lower_one_everywhere(self):
        fleet = Fleet(12)
        fleet.instances[0].hear(2.5)
        await fleet.rounds(2)
        fleet.instances[3].hear(4.0)
        await fleet.rounds(8)
        self.assertEqual(fleet.knowing(4.0), 12)

    async def test_nothing_is_sent_without_a_limit(self):
        fleet = Fleet(12)
        await fleet.rounds(10)
        self.assertEqual(sum(i.socket.sent_bytes for i in fleet.instances), 0)

    async def test_the_end_of_a_limit_is_told_for_a_bounded_time(self):
        fleet = Fleet(2)
        fleet.instances[0].hear(2.5)
        await fleet.clock.advance(SECOND)
        fleet.instances[0].hear(None)
        await fleet.rounds(90)
        before = [i.socket.sent_bytes for i in fleet.instances]
        await fleet.rounds(10)
        self.assertEqual([i.socket.sent_bytes for i in fleet.instances], before)

    async def test_a_message_without_its_fields_raises_no_error(self):
        """Fields that a peer doesn't send are None."""
        (instance,) = Fleet(1).instances
        instance.gossip._receive_limits(ttypes.ReplicaRateLimits())
        instance.gossip._receive_leaving(ttypes.LeavingReplicas())
        self.assertEqual(list(instance.registry.asking()), [])

    async def test_reports_that_make_no_sense_are_ignored(self):
        fleet = Fleet(1)
        (instance,) = fleet.instances
        for limit, age in ((-1, 0), (1000, -5)):
            instance.gossip._receive_limits(
                ttypes.ReplicaRateLimits(
                    replica_hashes=[instance.replica.short_id],
                    limits_milli_per_s=[limit],
                    ages_ms=[age],
                )
            )
        self.assertIsNone(instance.replica.rate_limit_per_s)


if __name__ == "__main__":
    unittest.main()
