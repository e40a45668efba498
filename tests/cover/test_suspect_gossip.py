"""Gossip among instances about requests that crash replicas."""

import asyncio
import datetime
import random
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.suspects import evidence
from nutmeghook.internal.suspects import gossip as gossip_module
from nutmeghook.internal.suspects import probes
from nutmeghook.internal.suspects import registry as registry_module
from tests import lossy_datagrams

SEAL = datagrams.Seal(credential="shared")
REQUEST = b"r" * 16
OTHER = b"o" * 16
PART = b"p" * 16
SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
SMALL, LARGE = 7, 420
# Time within which an instance that missed updates learns of a quarantine.
LEARNT_WITHIN_S = 3.0


class Instance:
    """One instance's registry and gossip."""

    def __init__(self, *, number: int, fleet: "Fleet"):
        self._fleet = fleet
        self._draw = random.Random(number)
        self.address = f"10.0.{number // 250}.{number % 250}:7340"
        self.registry = registry_module.SuspectRegistry(clock=fleet.clock)
        self.post = lossy_datagrams.LossyDatagrams(
            receivers=fleet.receivers, own=self.address
        )
        self.gossip = gossip_module.SuspectGossip(
            registry=self.registry,
            messages=sealed_messages.SealedMessages(
                datagrams=self.post, seal=SEAL
            ),
            sample_peers=self._sample_peers,
            clock=fleet.clock,
            random_source=self._draw,
        )

    def _sample_peers(self, *, local: int, remote: float) -> list[str]:
        others = [i for i in self._fleet.instances if i is not self]
        sampled = self._draw.sample(
            others, min(len(others), local + round(remote))
        )
        return [other.address for other in sampled]


class Fleet:
    """Instances that can reach each other."""

    def __init__(self, *, size: int):
        self.clock = clock_module.FakeClock()
        self.receivers = {}
        self.instances: list[Instance] = []
        for _ in range(size):
            self.join()

    def join(self) -> Instance:
        """Starts one more instance."""
        instance = Instance(number=len(self.instances), fleet=self)
        self.instances.append(instance)
        return instance

    def gossip_until_quiet(self) -> int:
        """Runs gossip until no update is pending; returns the rounds."""
        rounds = 0
        while any(i.registry.updates.is_set() for i in self.instances):
            rounds += 1
            for instance in self.instances:
                instance.gossip.send_updates()
        return rounds

    async def deliver_after(self, delay: datetime.timedelta, send) -> None:
        """Lets each instance send, and delivers it after a delay."""
        for instance in self.instances:
            instance.post.holds = True
            send(instance.gossip)
        await self.clock.advance(delay)
        for instance in self.instances:
            instance.post.deliver()

    def count_quarantining(self) -> int:
        """Returns how many instances have the request in quarantine."""
        return sum(i.registry.is_quarantined(REQUEST) for i in self.instances)


class SuspectGossipTest(unittest.IsolatedAsyncioTestCase):
    def crash_at_three(self, fleet: Fleet) -> None:
        """Lets three instances notice one crash each."""
        for number, instance in enumerate(fleet.instances[:3]):
            instance.registry.note_crash(
                REQUEST, replica_hash=number, begun=True
            )

    async def test_crashes_noticed_by_three_instances_are_known_to_all(self):
        """Copies of a request come to three instances and crash one replica
        each. No instance has noticed more than one crash, and the next copy
        comes to a fourth.
        """
        fleet = Fleet(size=SMALL)
        self.crash_at_three(fleet)
        fleet.gossip_until_quiet()
        self.assertEqual(fleet.count_quarantining(), SMALL)

    async def test_updates_reach_a_large_fleet_and_stop(self):
        fleet = Fleet(size=LARGE)
        self.crash_at_three(fleet)
        self.assertLess(fleet.gossip_until_quiet(), 10)
        self.assertGreaterEqual(fleet.count_quarantining(), 0.99 * LARGE)

    async def test_an_instance_that_starts_later_gets_reminders(self):
        fleet = Fleet(size=SMALL)
        self.crash_at_three(fleet)
        fleet.gossip_until_quiet()
        late = fleet.join()
        passed_s = 0.0
        while not late.registry.is_quarantined(REQUEST):
            for instance in fleet.instances:
                instance.gossip.send_reminder()
            passed_s += gossip_module.REMINDER_PERIOD.total_seconds()
        self.assertLessEqual(passed_s, LEARNT_WITHIN_S)

    async def test_updates_stop_though_each_takes_time_to_arrive(self):
        """Ages grow on the way, so every hop made the times of a crash later.
        Instances took a later time for news, and never stopped sending it.
        """
        fleet = Fleet(size=SMALL)
        for number, instance in enumerate(fleet.instances[:3]):
            instance.registry.note_crash(
                REQUEST,
                replica_hash=number,
                begun=True,
                sent_at=fleet.clock.monotonic(),
            )
        for _ in range(5):
            await fleet.deliver_after(
                1.3 * MILLISECOND, lambda gossip: gossip.send_updates()
            )
        pending = [i.registry.updates.is_set() for i in fleet.instances]
        self.assertFalse(any(pending))
        self.assertEqual(fleet.count_quarantining(), SMALL)

    async def test_reminders_move_no_answer_behind_later_crashes(self):
        """The time of an answer became later with every reminder, until the
        crashes after it counted no more.
        """
        fleet = Fleet(size=SMALL)
        fleet.instances[0].registry.note_answered(REQUEST)
        await fleet.clock.advance(evidence.ANSWER_GRACE + SECOND)
        self.crash_at_three(fleet)
        fleet.gossip_until_quiet()
        self.assertEqual(fleet.count_quarantining(), SMALL)
        for _ in range(60):
            await fleet.deliver_after(
                50 * MILLISECOND, lambda gossip: gossip.send_reminder()
            )
        self.assertEqual(fleet.count_quarantining(), SMALL)

    async def test_reminders_are_sent_beside_constant_updates(self):
        """Reminders waited for a time without updates, so an instance that
        started while there were many never heard of a quarantine.
        """
        fleet = Fleet(size=SMALL)
        self.crash_at_three(fleet)
        fleet.gossip_until_quiet()
        late = fleet.join()
        running = [
            asyncio.create_task(instance.gossip.run())
            for instance in fleet.instances
        ]
        for replica in range(round(LEARNT_WITHIN_S / 0.1)):
            for instance in fleet.instances:
                instance.registry.note_crash(
                    OTHER, replica_hash=100 + replica, begun=True
                )
            await fleet.clock.advance(SECOND / 10)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self.assertTrue(late.registry.is_quarantined(REQUEST))

    async def test_reminders_repair_lost_updates(self):
        fleet = Fleet(size=SMALL)
        silent = fleet.instances[0]
        silent.post.loses = True
        self.crash_at_three(fleet)
        fleet.gossip_until_quiet()
        self.assertLessEqual(fleet.count_quarantining(), 1)
        silent.post.loses = False
        while fleet.count_quarantining() < SMALL:
            silent.gossip.send_reminder()
            fleet.gossip_until_quiet()

    async def test_an_answer_anywhere_clears_it_everywhere(self):
        """A request was beside others that crashed replicas, and is then
        answered at another instance. An instance that missed the answer still
        has the crashes, and must not spread them again.
        """
        fleet = Fleet(size=SMALL)
        self.crash_at_three(fleet)
        fleet.gossip_until_quiet()
        uninformed = fleet.instances[-1]
        others = fleet.instances[:-1]
        fleet.instances.remove(uninformed)
        others[0].registry.note_answered(REQUEST)
        fleet.gossip_until_quiet()
        self.assertEqual(fleet.count_quarantining(), 0)
        fleet.instances.append(uninformed)
        uninformed.gossip.send_reminder()
        fleet.gossip_until_quiet()
        self.assertEqual(fleet.count_quarantining(), 0)

    async def test_a_probe_by_one_instance_is_known_to_all(self):
        fleet = Fleet(size=SMALL)
        self.crash_at_three(fleet)
        fleet.gossip_until_quiet()
        await fleet.clock.advance(probes.PROBE_DELAY + SECOND)
        self.assertTrue(fleet.instances[0].registry.try_probe(REQUEST))
        fleet.gossip_until_quiet()
        probed = [i.registry.try_probe(REQUEST) for i in fleet.instances]
        self.assertFalse(any(probed))

    async def test_a_part_is_known_to_all_by_crashes_seen_apart(self):
        """Five instances lose one request each, all different, and no two of
        them the same replica.
        """
        for size in (SMALL, LARGE):
            fleet = Fleet(size=size)
            for number, instance in enumerate(fleet.instances[:5]):
                instance.registry.note_crash(
                    b"%016d" % number,
                    replica_hash=number,
                    begun=True,
                    parts=(PART,),
                )
            self.assertLess(fleet.gossip_until_quiet(), 10)
            quarantining = sum(
                instance.registry.is_quarantined(REQUEST, (PART,))
                for instance in fleet.instances
            )
            self.assertGreaterEqual(quarantining, 0.99 * size)

    async def test_the_fullest_parts_fit_into_a_datagram(self):
        sent = []
        fleet = Fleet(size=2)
        sender = fleet.instances[0]
        sender.post.send = lambda address, data: sent.append(data)
        parts = [
            b"%016d" % number
            for number in range(gossip_module.MAX_SUSPICIONS_SENT)
        ]
        for replica in range(evidence.MAX_CRASHES):
            sender.registry.note_crash(
                b"request %08d" % replica,
                replica_hash=2**31 - 1 - replica,
                begun=True,
                parts=parts,
            )
        await fleet.clock.advance(probes.SUSPICION_LIFETIME / 2)
        sender.gossip.send_reminder()
        (data,) = sent
        self.assertLessEqual(len(data), datagrams.MAX_DATAGRAM_BYTES)
        message = codec.decode(SEAL.unwrap(data)).message
        self.assertTrue(all(suspect.is_part for suspect in message.suspects))

    async def test_the_fullest_message_fits_into_a_datagram(self):
        sent = []
        fleet = Fleet(size=2)
        sender = fleet.instances[0]
        sender.post.send = lambda address, data: sent.append(data)
        for number in range(gossip_module.MAX_SUSPICIONS_SENT):
            identity = b"%016d" % number
            for replica in range(evidence.MAX_CRASHES):
                sender.registry.note_crash(
                    identity, replica_hash=2**31 - 1 - replica, begun=True
                )
            await fleet.clock.advance(probes.PROBE_DELAY)
            sender.registry.try_probe(identity)
        await fleet.clock.advance(probes.SUSPICION_LIFETIME / 2)
        sender.gossip.send_reminder()
        (data,) = sent
        self.assertLessEqual(len(data), datagrams.MAX_DATAGRAM_BYTES)
        message = codec.decode(SEAL.unwrap(data)).message
        self.assertEqual(
            len(message.suspects), gossip_module.MAX_SUSPICIONS_SENT
        )


if __name__ == "__main__":
    unittest.main()
