"""One-way messages on the connections for calls."""

import datetime
import random
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peer_messages
from nutmeghook.internal.inner import peers
from nutmeghook.internal.suspects import gossip as gossip_module
from nutmeghook.internal.suspects import registry as registry_module

ADDRESSES = tuple(f"10.0.0.{number}:7000" for number in range(1, 4))
REQUEST = b"r" * 16
SECOND = datetime.timedelta(seconds=1)


class PeerMessagesTest(unittest.IsolatedAsyncioTestCase):
    """Three instances exchange suspects by gossip."""

    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.network = local.LocalNetwork(clock=self.clock)
        self.registries = []
        self.gossips = []
        for address in ADDRESSES:
            handlers = peers.PeerHandlers()
            caller = self.network.attach(address, handlers)
            registry = registry_module.SuspectRegistry(clock=self.clock)
            self.registries.append(registry)
            self.gossips.append(
                self._gossip(address, registry, caller, handlers)
            )

    def _gossip(self, address, registry, caller, handlers):
        others = [other for other in ADDRESSES if other != address]
        return gossip_module.SuspectGossip(
            registry=registry,
            messages=peer_messages.PeerMessages(
                caller=caller, handlers=handlers
            ),
            sample_peers=lambda *, local, remote: others,
            clock=self.clock,
            random_source=random.Random(1),
        )

    def knowing(self) -> int:
        """Returns how many instances have the request in quarantine."""
        return sum(
            registry.is_quarantined(REQUEST) for registry in self.registries
        )

    async def test_each_end_is_known_to_all(self):
        for number, registry in enumerate(self.registries):
            registry.note_crash(REQUEST, replica_hash=number, begun=True)
        for gossip in self.gossips:
            gossip.send_updates()
        await self.clock.advance(SECOND)
        self.assertEqual(self.knowing(), len(self.registries))

    async def test_one_that_is_cut_off_is_updated_once_it_is_back(self):
        self.network.cut_both_ways(ADDRESSES[0], ADDRESSES[2])
        for replica in range(3):
            self.registries[0].note_crash(
                REQUEST, replica_hash=replica, begun=True
            )
        self.gossips[0].send_updates()
        await self.clock.advance(2 * SECOND)
        self.assertEqual(self.knowing(), 2)
        self.network.heal_all()
        self.gossips[0].send_reminder()
        await self.clock.advance(SECOND)
        self.assertEqual(self.knowing(), 3)


if __name__ == "__main__":
    unittest.main()
