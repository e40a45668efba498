"""Backlogs of replicas, gossiped among instances."""

import datetime
import random
import unittest

from hypothesis import example
from hypothesis import given
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import backlog
from nutmeghook.internal.replicas import backlog_gossip
from nutmeghook.internal.replicas import choice
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import peer_backlogs
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.replicas import send_gate
from tests import lossy_datagrams

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
SERVICE = "models"
HERE = "here"
SEAL = datagrams.Seal(credential="test")


def entry(number: int, **changes) -> entries.ReplicaEntry:
    """Returns the entry of a replica."""
    fields = {
        "replica_id": f"r{number}",
        "service": SERVICE,
        "address": f"10.0.0.{number}:80",
        "data_centre": HERE,
        "version": "v1",
        "slots": 64,
        "leaving": False,
    }
    return entries.ReplicaEntry(**(fields | changes))


def criteria(key: str = "part", **changes) -> choice.ReplicaCriteria:
    """Returns the criteria of a prompt with a prefix of 1 s."""
    prompt = {
        "prefix": SECOND,
        "suffix": 300 * MS,
        "urgent": False,
        "target": 3 * SECOND,
    }
    return choice.ReplicaCriteria(
        service=SERVICE,
        accepts=lambda known: True,
        key=key,
        exclude=frozenset(),
        prompt=replica_forecast.Prompt(**(prompt | changes)),
    )


class Instance:
    """The parts of one instance that choose replicas."""

    def __init__(self, *, name: str, clock, receivers: dict, replicas: int):
        self.directory = directory_module.ReplicaDirectory(clock=clock)
        for number in range(replicas):
            self.directory.put(entry(number))
        self.chooser = choice.ReplicaChooser(
            gate=send_gate.OpenGate(),
            directory=self.directory,
            data_centre=HERE,
            clock=clock,
        )
        self.wire = lossy_datagrams.LossyDatagrams(
            receivers=receivers, own=name
        )
        self.gossip = backlog_gossip.BacklogGossip(
            instance_id=name,
            directory=self.directory,
            messages=sealed_messages.SealedMessages(
                datagrams=self.wire, seal=SEAL
            ),
            sample_peers=lambda: [a for a in receivers if a != name],
            clock=clock,
            random_source=random.Random(1),
        )

    def send(self, wanted: choice.ReplicaCriteria):
        """Sends a prompt; returns the replica and the prefill."""
        forecast = self.chooser.forecast(wanted)
        prefill = backlog.Prefill(time=forecast.prefill, urgent=False)
        self.directory.begin_prefill(forecast.replica, prefill)
        return forecast.replica, prefill

    def waiting(self, replica_id: str) -> datetime.timedelta:
        """Returns the known backlog of a replica."""
        (replica,) = (
            known
            for known in self.directory.of_service(SERVICE)
            if known.entry.replica_id == replica_id
        )
        return self.directory.backlog(replica).normal


class BacklogTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.receivers = {}
        self.one, self.two = (
            Instance(
                name=name,
                clock=self.clock,
                receivers=self.receivers,
                replicas=5,
            )
            for name in ("one", "two")
        )

    def advance(self, duration: datetime.timedelta) -> None:
        """Advances the clock."""
        self.clock._elapsed += duration

    def test_a_prompt_avoids_a_replica_with_a_peer_s_new_backlog(self):
        """Two instances get prompts with the same prefix at once.
        Without gossip, the second would queue its prompt behind two seconds of
        prefill at the owner of the prefix, although other replicas are idle.
        """
        first, _ = self.one.send(criteria(suffix=2 * SECOND))
        unaware = self.two.chooser.forecast(criteria()).replica
        self.assertEqual(unaware.entry.replica_id, first.entry.replica_id)
        self.one.gossip.send_update()
        aware = self.two.chooser.forecast(criteria()).replica
        self.assertNotEqual(aware.entry.replica_id, first.entry.replica_id)

    def test_a_short_backlog_is_accepted_for_a_cached_prefix(self):
        """The replica with a long prefix cached has a short backlog. Another
        one would need a second for the prefix, so the owner is chosen.
        """
        owner = self.one.chooser.forecast(criteria())
        self.one.chooser.note_prefilled(owner, "part")
        busy = backlog.Prefill(time=400 * MS, urgent=False)
        self.one.directory.begin_prefill(owner.replica, busy)
        chosen = self.one.chooser.forecast(criteria())
        self.assertIs(chosen.replica, owner.replica)
        self.assertEqual(chosen.cached, 1.0)

    def test_a_finished_prefill_no_longer_counts(self):
        replica, prefill = self.one.send(criteria())
        self.one.gossip.send_update()
        self.assertEqual(
            self.two.waiting(replica.entry.replica_id), prefill.time
        )
        self.one.directory.end_prefill(replica, prefill)
        self.one.gossip.send_update()
        self.assertEqual(self.two.waiting(replica.entry.replica_id), 0 * MS)

    def test_a_backlog_whose_end_was_lost_expires(self):
        """An instance dies, or its last message is lost. The backlog that it
        reported before must not count for ever.
        """
        replica, prefill = self.one.send(criteria())
        self.one.gossip.send_update()
        self.one.wire.loses = True
        self.one.directory.end_prefill(replica, prefill)
        self.one.gossip.send_update()
        self.assertEqual(
            self.two.waiting(replica.entry.replica_id), prefill.time
        )
        self.advance(peer_backlogs.BACKLOG_MAX_AGE + MS)
        self.assertEqual(self.two.waiting(replica.entry.replica_id), 0 * MS)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("one", "two", "three")),
                strategies.dictionaries(
                    strategies.integers(0, 3), strategies.integers(0, 50)
                ),
                strategies.integers(0, 1500),
            )
        )
    )
    @example([("one", {0: 0}, 0), ("two", {0: 0}, 0)] * 2)
    def test_sums_are_those_of_each_peer_s_last_report(self, reports):
        """Peers report in any order and with any pauses."""
        clock = clock_module.FakeClock()
        known = peer_backlogs.PeerBacklogs(clock=clock)
        last = {}
        for peer, backlogs_ms, pause_ms in reports:
            clock._elapsed += pause_ms * MS
            last[peer] = (clock.monotonic(), backlogs_ms)
            known.update(
                peer,
                {
                    r: backlog.Backlog(normal=ms * MS)
                    for r, ms in backlogs_ms.items()
                },
            )
            oldest = clock.monotonic() - peer_backlogs.BACKLOG_MAX_AGE
            for replica in range(4):
                expected_ms = sum(
                    counts.get(replica, 0)
                    for at, counts in last.values()
                    if at >= oldest
                )
                self.assertEqual(
                    known.of_replica(replica).normal, expected_ms * MS
                )

    def test_nothing_is_sent_without_a_backlog(self):
        received = []
        self.receivers["two"] = received.append
        self.one.gossip.send_update()
        self.assertEqual(received, [])
        replica, prefill = self.one.send(criteria())
        self.one.gossip.send_update()
        self.one.directory.end_prefill(replica, prefill)
        for _ in range(3):
            self.one.gossip.send_update()
        self.assertEqual(len(received), 2)

    def test_a_backlog_of_weeks_ends_no_gossip(self):
        """An error while a message is built ends the sender's gossip."""
        replica, _ = self.one.send(criteria(suffix=datetime.timedelta(days=60)))
        self.one.gossip.send_update()
        waiting = self.two.waiting(replica.entry.replica_id)
        self.assertEqual(waiting, (2**31 - 1) * MS)

    def test_a_message_without_its_fields_raises_no_error(self):
        """Fields that a peer doesn't send are None."""
        self.two.gossip._receive(ttypes.ReplicaBacklogs())
        self.two.gossip._receive(
            ttypes.ReplicaBacklogs(sender_id="one", replica_hashes=[1])
        )
        self.assertEqual(self.two.waiting("r1"), 0 * MS)

    def test_a_restarted_replica_has_no_backlog(self):
        """A replica crashes with a backlog and restarts under the same id."""
        replica, prefill = self.one.send(criteria())
        self.one.gossip.send_update()
        replica_id = replica.entry.replica_id
        number = int(replica_id[1:])
        for instance in (self.one, self.two):
            instance.directory.put(entry(number, started_ms=1))
            self.assertEqual(instance.waiting(replica_id), 0 * MS)
        self.one.directory.end_prefill(replica, prefill)
        self.assertEqual(self.one.directory.with_own_backlog(10), [])

    def test_urgent_prompts_wait_for_part_of_the_normal_backlog(self):
        """The largest model's prompts are processed in chunks and the smallest
        model's in between, so these wait for a share of the normal backlog.
        """
        replica, prefill = self.one.send(criteria())
        key = "part"
        waits = {}
        for urgent in (True, False):
            forecast = self.one.chooser._forecaster.forecast(
                criteria(key, urgent=urgent).prompt,
                replica,
                key=key,
                is_owner=False,
            )
            waits[urgent] = forecast.waiting
        self.assertEqual(waits[False], prefill.time)
        self.assertEqual(
            waits[True], replica_forecast.NORMAL_WAIT_SHARE * prefill.time
        )


if __name__ == "__main__":
    unittest.main()
