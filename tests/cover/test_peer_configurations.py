"""Configurations that the store has lost, handed from peer to peer."""

import asyncio
import datetime
import random
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.routes import in_force
from nutmeghook.internal.routes import peer_configurations
from nutmeghook.platform import configuration
from tests import configuration_rows
from tests import fake_peers

_SECOND = datetime.timedelta(seconds=1)
OLD, NEW = 1, 2
ADDRESSES = ("a", "b", "c")


class PeerConfigurationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = clock_module.FakeClock()
        self.handlers = {}
        self.receivers = {}
        self.dropped = set()
        self.ended = set()
        self.exchanges = {}
        self.held = {a: self.instance(a) for a in ADDRESSES}

    def instance(self, name: str) -> in_force.ConfigurationInForce:
        held = in_force.ConfigurationInForce(needs_proof=True)
        self.handlers[name] = peers.PeerHandlers()
        socket = fake_peers.FakeDatagrams(
            receivers=self.receivers, dropped=self.dropped
        )
        others = [other for other in ADDRESSES if other != name]
        self.exchanges[name] = peer_configurations.PeerConfigurations(
            inner_address=name,
            configuration=held,
            decode=configuration.decode,
            registered_addresses=lambda: others,
            sample_peers=lambda: others,
            caller=fake_peers.FakePeerCaller(
                handlers=self.handlers, ended=self.ended
            ),
            handlers=self.handlers[name],
            messages=sealed_messages.SealedMessages(
                datagrams=socket.bind(name),
                seal=datagrams.Seal(credential="shared"),
            ),
            clock=self.clock,
            random_source=random.Random(name),
        )
        return held

    def give(self, name: str, version: int, *, stored: int = OLD) -> None:
        """Gives an instance a configuration, and a restored store's version."""
        text = configuration_rows.configuration(routes=version)
        held = self.held[name]
        held.offer(configuration.decode(text), text=text, source="store")
        held.note_stored(stored, is_whole_history=False)

    async def run_for(self, name: str, duration: datetime.timedelta) -> None:
        running = asyncio.create_task(self.exchanges[name].run())
        await self.clock.advance(duration)
        running.cancel()
        await asyncio.wait({running})

    async def test_an_instance_that_starts_takes_what_the_store_has_lost(self):
        self.give("a", OLD)
        for peer in "bc":
            self.give(peer, NEW)
            self.held[peer].is_proven = True
        await self.run_for("a", _SECOND)
        self.assertEqual(self.held["a"].version, NEW)
        self.assertTrue(self.held["a"].is_proven)

    async def test_a_store_that_lost_nothing_is_proof_enough(self):
        """Instances before a store without restores waited for their peers."""
        self.handlers.clear()
        self.give("a", OLD)
        self.held["a"].note_stored(OLD, is_whole_history=True)
        self.assertTrue(self.held["a"].is_proven)

    async def test_instances_that_all_start_go_by_the_store(self):
        """All lost power, and none of them may wait for the others for good."""
        for name in ADDRESSES:
            self.give(name, OLD)
        await self.run_for("a", _SECOND)
        self.assertTrue(self.held["a"].is_proven)

    async def test_peers_that_no_longer_run_are_not_waited_for(self):
        """Rows of ended instances cost a fleet that starts 5 s."""
        self.ended.update("bc")
        self.give("a", OLD)
        await self.run_for("a", _SECOND)
        self.assertTrue(self.held["a"].is_proven)

    async def test_an_ended_peer_says_nothing_of_one_out_of_reach(self):
        """The other one may admit callers by a newer configuration."""
        self.ended.add("b")
        del self.handlers["c"]
        self.give("a", OLD)
        await self.run_for("a", peer_configurations.LONGEST_PROOF - _SECOND)
        self.assertFalse(self.held["a"].is_proven)

    async def test_an_instance_without_peers_in_reach_admits_nobody_at_first(
        self,
    ):
        """A peer that is out of reach for a moment may know a newer one."""
        del self.handlers["b"], self.handlers["c"]
        self.give("a", OLD)
        longest = peer_configurations.LONGEST_PROOF
        await self.run_for("a", longest - _SECOND)
        self.assertFalse(self.held["a"].is_proven)
        await self.run_for("a", longest + _SECOND)
        self.assertTrue(self.held["a"].is_proven)

    async def test_nothing_proves_an_instance_without_a_configuration(self):
        self.handlers.clear()
        await self.run_for("a", 2 * peer_configurations.LONGEST_PROOF)
        self.assertFalse(self.held["a"].is_proven)

    async def test_a_running_instance_hears_of_what_it_missed(self):
        """It stood still over the change and the restore of the store."""
        for name, version in zip(ADDRESSES, (OLD, NEW, OLD), strict=True):
            self.give(name, version)
            self.held[name].is_proven = True
        hearing = asyncio.create_task(self.exchanges["a"].run())
        await self.run_for("b", _SECOND)
        self.assertEqual(self.held["a"].version, NEW)
        hearing.cancel()
        await asyncio.wait({hearing})

    async def test_an_instance_knows_for_how_long_it_has_missed_it(self):
        self.give("a", OLD)
        self.give("b", NEW)
        self.assertIsNone(self.exchanges["a"].behind_for())
        self.exchanges["b"].send_update()
        await self.clock.advance(_SECOND)
        self.assertEqual(self.exchanges["a"].behind_for(), _SECOND)
        self.give("a", NEW)
        self.assertIsNone(self.exchanges["a"].behind_for())

    async def test_nothing_is_sent_once_the_operator_has_written_again(self):
        self.give("b", NEW)
        self.held["b"].note_stored(NEW, is_whole_history=False)
        self.exchanges["b"].send_update()
        self.assertIsNone(self.exchanges["a"].behind_for())

    async def test_another_text_of_the_version_in_force_changes_nothing(self):
        self.give("a", NEW)
        text = configuration_rows.configuration(routes=NEW)
        other = configuration.decode(text.replace(b"desk", b"else"))
        held = self.held["a"]
        self.assertFalse(held.offer(other, text=b"{}", source="store"))
        self.assertEqual(held.text, text)


if __name__ == "__main__":
    unittest.main()
