"""Parts of the relay that need no network."""

import asyncio
import contextlib
import datetime
import json
import os
import unittest

from hypothesis import given
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import window_budget
from nutmeghook.internal.observe import log_writer
from nutmeghook.internal.relay import events
from nutmeghook.internal.replicas import choice
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.routes import in_force
from tests import relay_fixture

_SECOND = datetime.timedelta(seconds=1)


class EventSplitterTest(unittest.TestCase):
    @given(
        strategies.lists(strategies.integers(0, 999), max_size=8),
        strategies.lists(strategies.integers(1, 30)),
    )
    def test_any_cut_gives_the_same_events(self, numbers, cuts):
        """Packets end anywhere; events come complete, in order, unchanged."""
        whole = [b"id: %d\ndata: x\n\n" % number for number in numbers]
        data = b"".join(whole)
        splitter = events.EventSplitter()
        found = []
        for cut in [*cuts, len(data)]:
            found.extend(splitter.feed(data[:cut]))
            data = data[cut:]
        self.assertEqual([event.raw for event in found], whole)
        self.assertEqual(
            [event.event_id for event in found], [str(n) for n in numbers]
        )
        self.assertFalse(splitter.has_rest)

    def test_half_an_event_is_kept_back(self):
        splitter = events.EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: half"), [])
        self.assertTrue(splitter.has_rest)


class WindowBudgetTest(unittest.IsolatedAsyncioTestCase):
    async def test_retries_stay_under_the_ratio_in_every_window(self):
        """Requests come steadily and each asks for two retries. No span as long
        as the window may have more retries than the ratio of its requests plus
        the burst.
        """
        clock = clock_module.FakeClock()
        budget = window_budget.WindowRetryBudget(
            ratio=0.5, window=10 * _SECOND, burst=2, clock=clock
        )
        spent = []
        for step in range(400):
            budget.note_request()
            for _ in range(2):
                if budget.try_spend():
                    spent.append(step)
            await clock.advance(_SECOND / 10)
        for start in range(0, 300):
            within = [s for s in spent if start <= s < start + 100]
            self.assertLessEqual(len(within), 0.5 * 100 + 2 + 1)

    async def test_an_unused_budget_expires_with_its_window(self):
        clock = clock_module.FakeClock()
        budget = window_budget.WindowRetryBudget(
            ratio=1.0, window=10 * _SECOND, burst=0, clock=clock
        )
        for _ in range(50):
            budget.note_request()
        await clock.advance(11 * _SECOND)
        self.assertFalse(budget.try_spend())


def entry(number: int, **changes) -> entries.ReplicaEntry:
    """Returns the entry of a replica."""
    fields = {
        "replica_id": f"r{number}",
        "service": "s",
        "address": f"10.0.0.{number}:80",
        "data_centre": "here",
        "version": "v1",
        "slots": 8,
        "leaving": False,
    }
    return entries.ReplicaEntry(**(fields | changes))


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.directory = directory_module.ReplicaDirectory(clock=self.clock)
        self.chooser = choice.ReplicaChooser(
            gate=send_gate.OpenGate(),
            directory=self.directory,
            data_centre="here",
            clock=self.clock,
        )

    def choose(self, *, key="request", exclude=()):
        """Returns the id of the replica that is chosen."""
        chosen = self.chooser.choose(
            choice.ReplicaCriteria(
                service="s",
                accepts=lambda entry: True,
                key=key,
                exclude=frozenset(exclude),
            )
        )
        return chosen.replica.entry.replica_id if chosen else None

    def receive_report(self, replica_id: str, waiting: int) -> None:
        """Receives a report that so many wait at a replica and none runs."""
        self.directory.note_load(
            self.replica(replica_id), running=0, waiting=waiting
        )

    def replica(self, replica_id: str):
        """Returns a known replica."""
        return self.directory._by_id[replica_id]

    def test_leaving_and_tried_replicas_are_not_chosen(self):
        self.directory.put(entry(1, leaving=True))
        self.directory.put(entry(2))
        self.assertEqual(self.choose(), "r2")
        self.assertIsNone(self.choose(exclude=("r2",)))

    def test_the_own_data_centre_goes_first_until_it_is_full(self):
        self.directory.put(entry(1))
        self.directory.put(entry(2, data_centre="there"))
        self.assertEqual(self.choose(), "r1")
        self.replica("r1").in_flight = 8
        self.assertEqual(self.choose(), "r2")

    def test_a_replica_s_failure_rate_decays_with_time(self):
        """Four of six replicas failed for some seconds. They are chosen less
        and so have few attempts to show that they have recovered. If the
        failure rate did not also decay with time, the other two would carry the
        whole load for half a minute.
        """
        for number in (1, 2):
            self.directory.put(entry(number))
        health = self.replica("r1").health
        for _ in range(2):
            health.note_failure(self.clock.monotonic())
            health.note_success(self.clock.monotonic())
        self.replica("r2").in_flight = 1
        self.assertEqual(self.choose(), "r2")
        self.clock._elapsed += 10 * _SECOND
        self.assertEqual(self.choose(), "r1")

    def test_a_stale_load_report_fades_to_the_baseline(self):
        """One replica reported itself full some seconds ago, another empty.
        Both reports are stale, so both replicas count with the baseline load,
        and not everything goes to the one reported empty.
        """
        for number in (1, 2, 3):
            self.directory.put(entry(number, slots=64))
            self.receive_report(f"r{number}", 20)
        self.receive_report("r1", 60)
        self.receive_report("r2", 0)
        now = self.clock.monotonic()
        full, empty = self.replica("r1"), self.replica("r2")
        self.assertGreater(
            self.chooser.load_per_slot(full, now)
            - self.chooser.load_per_slot(empty, now),
            0.9,
        )
        later = now + 10 * _SECOND
        self.assertLess(
            self.chooser.load_per_slot(full, later)
            - self.chooser.load_per_slot(empty, later),
            0.01,
        )

    def test_equal_prompts_go_to_one_replica_while_it_has_room(self):
        for number in range(1, 5):
            self.directory.put(entry(number))
        first = self.choose(key="prompt")
        self.assertEqual(self.choose(key="prompt"), first)
        self.replica(first).in_flight = 8
        self.assertNotEqual(self.choose(key="prompt"), first)

    def test_instances_do_not_all_choose_the_emptiest_replica(self):
        """Every instance knows the same load reports, half a second old. If all
        replicas were compared, two hundred requests would go to the emptiest
        one before any of them shows in a report.
        """
        for number in range(36):
            self.directory.put(entry(number, slots=32))
            self.receive_report(f"r{number}", 20)
        self.receive_report("r7", 0)
        chosen = [self.choose(key=f"request {n}") for n in range(200)]
        self.assertLess(chosen.count("r7"), 40)
        self.assertGreater(chosen.count("r7"), 5)
        self.assertGreater(len(set(chosen)), 30)

    def test_the_only_replica_that_may_run_it_is_found_among_many(self):
        """A version has one replica among hundreds of the other version. It is
        not among the first replicas of the key, and a request must not be
        refused though that replica can serve it.
        """
        for number in range(400):
            centre = "here" if number % 3 else "there"
            self.directory.put(entry(number, data_centre=centre))
        chosen = {
            self.chooser.choose(
                choice.ReplicaCriteria(
                    service="s",
                    accepts=lambda entry: entry.replica_id == "r123",
                    key=f"request {number}",
                    exclude=frozenset(),
                )
            ).replica.entry.replica_id
            for number in range(50)
        }
        self.assertEqual(chosen, {"r123"})

    def test_the_same_key_has_the_same_replicas_on_every_instance(self):
        """Instances learn of replicas in any order, and some come and go."""
        other = directory_module.ReplicaDirectory(clock=self.clock)
        for number in range(40):
            self.directory.put(entry(number))
        for number in reversed(range(60)):
            other.put(entry(number))
        for number in range(40, 60):
            other.remove(f"r{number}")
        for key in ("one", "two", "three"):
            orders = [
                [
                    r.entry.replica_id
                    for r in known.affinity_order("s", "here", key)
                ]
                for known in (self.directory, other)
            ]
            self.assertEqual(orders[0][:5], orders[1][:5])

    def test_an_unreachable_replica_is_ejected(self):
        self.directory.put(entry(1))
        self.directory.put(entry(2))
        self.replica("r1").health.note_unreachable(self.clock.monotonic())
        self.assertEqual(self.choose(), "r2")

    def test_a_service_that_fails_as_a_whole_is_still_tried(self):
        """All replicas of a service are ejected. Refusing all of its requests
        would be worse than trying one.
        """
        self.directory.put(entry(1))
        self.replica("r1").health.note_unreachable(self.clock.monotonic())
        self.assertEqual(self.choose(), "r1")

    def test_a_replica_that_fails_more_is_chosen_less(self):
        self.directory.put(entry(1))
        self.directory.put(entry(2))
        health = self.replica("r1").health
        for _ in range(10):
            health.note_success(self.clock.monotonic())
            health.note_failure(self.clock.monotonic())
        self.replica("r2").in_flight = 2
        self.assertEqual(self.choose(), "r2")


class ConfigurationInForceTest(unittest.TestCase):
    @given(strategies.lists(strategies.integers(0, 50), min_size=1))
    def test_versions_only_grow(self, versions):
        """Peers and feeds offer versions in any order, and old ones again."""
        held = in_force.ConfigurationInForce()
        newest = -1
        for version in versions:
            held.offer(
                relay_fixture.configuration(version=version), source="test"
            )
            self.assertGreaterEqual(held.current.version, newest)
            newest = held.current.version
        self.assertEqual(newest, max(versions))


class LogWriterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reader, self.writer_end = os.pipe()
        self.writer = log_writer.BoundedLogWriter(
            descriptor=self.writer_end, loop=asyncio.get_running_loop()
        )

    async def asyncTearDown(self):
        os.close(self.reader)
        os.close(self.writer_end)

    async def test_a_reader_that_stops_reading_blocks_nothing(self):
        """The reader of the log output stops reading. Lines are counted and
        dropped instead of blocking all requests, and the first line after the
        gap says how many were dropped.
        """
        line = {"message_type": "x", "text": "y" * 1000}
        for _ in range(3000):
            self.writer(line)
            self.writer.flush()
        self.assertGreater(self.writer.dropped, 0)
        self.assertLessEqual(
            self.writer._waiting_bytes, log_writer.MAX_WAITING_BYTES
        )
        os.set_blocking(self.reader, False)
        text = b""
        for _ in range(2000):
            with contextlib.suppress(BlockingIOError):
                text += os.read(self.reader, 1 << 20)
            self.writer.flush()
        lines = [json.loads(part) for part in text.splitlines()]
        kinds = {part["message_type"] for part in lines}
        self.assertIn("log:dropped", kinds)
        self.assertEqual(self.writer.dropped, 0)


if __name__ == "__main__":
    unittest.main()
