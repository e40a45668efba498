"""Estimates of replicas' speeds: own answers, peers' messages, statements."""

import asyncio
import datetime
import itertools
import math
import random
import unittest
import unittest.mock

import eliot
import hypothesis
from hypothesis import strategies as st

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.observe import logs
from nutmeghook.internal.relay import caller_sink
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import replica_speed
from nutmeghook.internal.replicas import speed_gossip
from nutmeghook.internal.replicas import speed_registry
from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import relay_fixture

SECOND = datetime.timedelta(seconds=1)
ANSWER_PERIOD = SECOND / 2
FACTORS = st.floats(0.25, 4.0)
SEAL = datagrams.Seal(credential="shared")


def speed_after(factor: float, *, answers: int):
    """Returns a speed after answers with this ratio, and the time."""
    speed, now = replica_speed.ReplicaSpeed(), SECOND
    for _ in range(answers):
        now += ANSWER_PERIOD
        speed.note(factor, now)
    return speed, now


class EstimateTest(unittest.TestCase):
    @hypothesis.given(FACTORS)
    def test_it_converges_and_fades(self, factor):
        """A replica's belief must follow its answers, and without answers it
        must fade, or a replica once slow is never tried again.
        """
        speed, now = speed_after(factor, answers=20)
        true_log = math.log(factor)
        for age, least, most in (
            (0, 2 / 3, 1.0),
            (10, 0.0, 0.65),
            (30, 0, 0.1),
        ):
            log = math.log(speed.slowness(now + age * SECOND))
            self.assertLessEqual(abs(log), most * abs(true_log) + 1e-9)
            self.assertGreaterEqual(log * true_log, least * true_log**2 - 1e-9)

    def test_a_recovered_replica_is_soon_believed_to_be_well(self):
        """A replica that was four times slower gets no work after its recovery
        if what was learnt before counts for long.
        """
        speed, now = speed_after(4.0, answers=40)
        self.assertGreater(speed.slowness(now), 2.5)
        for _ in range(20):
            now += ANSWER_PERIOD
            speed.note(1.0, now)
        self.assertLess(speed.slowness(now), speed_registry.SLOW)

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(("answer", "peer", "stated")),
                st.floats(),
                st.floats(0.0, 100.0),
                st.floats(-1.0, 10.0),
            ),
            max_size=20,
        )
    )
    def test_it_stays_within_bounds(self, steps):
        """No time, statement or message makes a replica infinitely slow."""
        speed, now = replica_speed.ReplicaSpeed(), SECOND
        for kind, value, weight, age_s in steps:
            now += abs(age_s) * SECOND
            if kind == "answer":
                speed.note(value, now)
            elif kind == "stated" and value < math.inf:
                speed.note_stated(value, now)
            elif kind == "peer" and abs(value) < math.inf:
                speed.note_peer(
                    replica_speed.SpeedEstimate(
                        log_ratio=value,
                        weight=weight,
                        answered_at=now - age_s * SECOND,
                    ),
                    now,
                )
            log = math.log(speed.slowness(now))
            self.assertLessEqual(abs(log), replica_speed.MAX_LOG + 1e-9)
            self.assertLessEqual(
                speed.estimate(now).weight, replica_speed.MAX_WEIGHT
            )

    def test_a_statement_counts_while_it_is_fresh(self):
        speed = replica_speed.ReplicaSpeed()
        speed.note_stated(200.0, SECOND)
        self.assertAlmostEqual(speed.slowness(SECOND), 2.0)
        self.assertAlmostEqual(speed.slowness(2 * SECOND), 1.0, places=3)

    def test_what_a_replica_always_states_is_not_counted_twice(self):
        """Its answers take twice as long, and it says so: not four times."""
        speed, now = speed_after(2.0, answers=0)
        for _ in range(20):
            now += ANSWER_PERIOD
            speed.note_stated(200.0, now)
            speed.note(2.0, now)
        self.assertAlmostEqual(speed.slowness(now), 2.0, places=3)


class QueuedDatagrams(datagrams.Datagrams):
    """Keeps what an instance sends until a test delivers it."""

    def __init__(self):
        self.sent: list[bytes] = []
        self.receive: datagrams.Receiver = lambda datagram: None

    def set_receiver(self, receiver) -> None:
        self.receive = receiver

    def send(self, inner_address: str, data: bytes) -> None:
        self.sent.append(data)


class Instance:
    """One instance's replicas, estimates and gossip."""

    def __init__(self, clock, *, is_uneven: bool = True, first=None):
        self.directory = directory_module.ReplicaDirectory(clock=clock)
        for number in range(12):
            changes = first if first and number == 0 else {}
            self.directory.put(entry(number, **changes))
        if is_uneven:
            # Of another replica, so that no test's replica has a statement.
            self.directory.note_load(
                self.replica(11), running=1, waiting=0, work_time_percent=100.0
            )
        self.registry = speed_registry.SpeedRegistry(
            directory=self.directory, clock=clock
        )
        self.socket = QueuedDatagrams()
        self.gossip = speed_gossip.SpeedGossip(
            registry=self.registry,
            sample_peers=lambda: ["10.0.0.2:7340"],
            messages=sealed_messages.SealedMessages(
                datagrams=self.socket, seal=SEAL
            ),
            clock=clock,
            random_source=random.Random(1),
        )

    def replica(self, number: int = 0):
        """Returns its state of a replica."""
        return next(
            r
            for r in self.directory.of_service("s")
            if r.entry.replica_id == f"r{number}"
        )

    def receive(self, *, short_id, centilog=100, weight=400, age_ms=10):
        """Receives a message about one replica."""
        message = ttypes.ReplicaSpeeds(
            replica_hashes=[short_id],
            slowness_centilog=[centilog],
            weight_centi=[weight],
            ages_ms=[age_ms],
        )
        self.socket.receive(SEAL.wrap(codec.encode(message, sequence=0).data))


def entry(number: int, **changes) -> entries.ReplicaEntry:
    """Returns a replica's entry; half of them are of another version."""
    fields = {
        "replica_id": f"r{number}",
        "service": "s",
        "address": f"10.1.0.{number}:80",
        "data_centre": "here",
        "version": "v1" if number < 6 else "v2",
        "slots": 12,
        "leaving": False,
        "started_ms": 1,
    }
    return entries.ReplicaEntry(**(fields | changes))


class GossipTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()

    @hypothesis.given(st.data())
    def test_no_answer_counts_twice(self, data):
        """Messages are lost, repeated and reordered while answers arrive.

        Were an answer counted at each repetition, one slow answer would look
        like many. Each answer has its own power of two as its log ratio, so
        that an estimate shows which answers are in it.
        """
        clock = clock_module.FakeClock()
        instances = [Instance(clock) for _ in range(3)]
        logs_left = [0.1, 0.2, 0.4]
        subsets = {
            (size, round(sum(subset), 1))
            for size in range(4)
            for subset in itertools.combinations(logs_left, size)
        }
        sent: list[bytes] = []
        for _ in range(data.draw(st.integers(1, 25))):
            instance = data.draw(st.sampled_from(instances))
            action = data.draw(st.sampled_from(("answer", "send", "receive")))
            if action == "answer" and logs_left:
                ratio = math.exp(logs_left.pop())
                instance.replica().speed.note(ratio, clock.monotonic())
                instance.registry._note_update(instance.replica(), source="")
            elif action == "send":
                instance.gossip.send_update()
                sent += instance.socket.sent
                instance.socket.sent.clear()
            elif action == "receive" and sent:
                instance.socket.receive(data.draw(st.sampled_from(sent)))
            held = instance.replica().speed.estimate(clock.monotonic())
            total = round(held.weight * held.log_ratio, 1)
            self.assertIn((round(held.weight), total), subsets)

    async def test_instances_without_answers_hear_of_a_slow_replica(self):
        """Half of the messages are lost, and the rest is a few hundred bytes a
        second to each of two peers.
        """
        first, *others = [Instance(self.clock) for _ in range(4)]
        sent_bytes, order = 0, random.Random(1)
        for number in range(40):
            # Answers of many replicas arrive in any order.
            for replica in order.sample(range(11), 11):
                pace = 4.0 if replica == 0 else 1.0
                first.registry.note_pace(first.replica(replica), pace, "x")
            await self.clock.advance(speed_gossip.GOSSIP_PERIOD)
            first.gossip.send_update()
            (message,) = first.socket.sent
            first.socket.sent.clear()
            sent_bytes = len(message) + datagrams.HEADER_BYTES
            if number % 2:
                for other in others:
                    other.socket.receive(message)
        now = self.clock.monotonic()
        for instance in (first, *others):
            self.assertGreater(instance.replica().speed.slowness(now), 2.0)
            self.assertEqual(instance.registry.slow_count(), 1)
        self.assertLess(2 * sent_bytes, 300)

    async def test_an_estimate_of_a_former_start_changes_nothing(self):
        """A replica is started again, since it was slow. Peers still tell what
        they know of the process that ended.
        """
        for first, second in (
            ({"started_ms": 1}, {"started_ms": 2}),
            # Entries that do not state their start: both have the same hash.
            ({"started_ms": 0}, {"started_ms": 0, "address": "10.1.0.99:80"}),
        ):
            instance = Instance(self.clock, first=first)
            former = instance.replica().short_id
            instance.receive(short_id=former)
            slowness = instance.replica().speed.slowness(self.clock.monotonic())
            self.assertGreater(slowness, 1.5)
            await self.clock.advance(SECOND)
            instance.directory.put(entry(0, **second))
            instance.receive(short_id=former)
            instance.gossip.send_update()
            speed = instance.replica().speed
            self.assertEqual(speed.slowness(self.clock.monotonic()), 1.0)
            self.assertEqual(instance.socket.sent, [])

    async def test_values_out_of_range_are_ignored(self):
        """A peer that runs other code sends what this one can't mean."""
        instance = Instance(self.clock)
        short_id = instance.replica().short_id
        for wrong in (
            {"centilog": 208},
            {"centilog": -208},
            {"weight": 0},
            {"weight": -5},
            {"weight": 100 * int(replica_speed.MAX_WEIGHT) + 1},
            {"age_ms": -1},
            {"age_ms": 2**31 - 1},
            {"short_id": 12345},
        ):
            instance.receive(**({"short_id": short_id} | wrong))
            speed = instance.replica().speed
            self.assertEqual(speed.slowness(self.clock.monotonic()), 1.0, wrong)

    async def test_a_message_without_its_fields_raises_no_error(self):
        """Fields that a peer doesn't send are None, and lists may differ in
        length. An error of each such message would be logged with its stack.
        """
        instance = Instance(self.clock)
        short_id = instance.replica().short_id
        for message in (
            ttypes.ReplicaSpeeds(),
            ttypes.ReplicaSpeeds(
                replica_hashes=[short_id],
                slowness_centilog=[100],
                weight_centi=[100],
            ),
            ttypes.ReplicaSpeeds(
                replica_hashes=[short_id],
                slowness_centilog=[100],
                weight_centi=[],
                ages_ms=[10, 10],
            ),
        ):
            instance.gossip._receive(message)
        speed = instance.replica().speed
        self.assertEqual(speed.slowness(self.clock.monotonic()), 1.0)

    async def test_services_that_are_not_uneven_have_no_speeds(self):
        """Earlier deployments are served as before."""
        instance = Instance(self.clock, is_uneven=False)
        for _ in range(20):
            instance.registry.note_pace(instance.replica(1), 1.0, "x")
            instance.registry.note_pace(instance.replica(0), 4.0, "x")
        instance.receive(short_id=instance.replica().short_id)
        instance.gossip.send_update()
        self.assertEqual(instance.replica().speed.slowness(SECOND), 1.0)
        self.assertEqual(instance.socket.sent, [])


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.instance = Instance(self.clock)
        self.messages = []
        logs.start_with(self.messages.append)
        self.addCleanup(eliot.remove_destination, self.messages.append)

    async def answers(self, paces: dict[int, float], *, seconds: int) -> None:
        """Records two answers a second of each of some replicas."""
        for _ in range(2 * seconds):
            await self.clock.advance(ANSWER_PERIOD)
            for number, pace in paces.items():
                replica = self.instance.replica(number)
                self.instance.registry.note_pace(replica, pace, "x")

    def slowness(self, number: int) -> float:
        """Returns a replica's."""
        now = self.clock.monotonic()
        return self.instance.replica(number).speed.slowness(now)

    async def test_a_version_that_answers_fast_is_not_fast(self):
        """A bad version fails or answers little in a tenth of the time. It must
        not draw more requests than its share.
        """
        paces = {number: 1.0 if number < 6 else 0.1 for number in range(11)}
        paces[1] = 4.0
        await self.answers(paces, seconds=20)
        for number in (0, 6, 10):
            self.assertAlmostEqual(self.slowness(number), 1.0, delta=0.3)
        self.assertGreater(self.slowness(1), 2.0)

    async def test_changes_are_logged_once_a_second_and_replica(self):
        """Speeds change with each answer; the log must not grow with them."""
        await self.answers({0: 1.0, 1: 1.0, 2: 1.0}, seconds=5)
        for number in range(30):
            await self.clock.advance(SECOND / 10)
            self.instance.registry.note_pace(
                self.instance.replica(), 8.0 if number % 10 < 8 else 0.2, "x"
            )
        await self.clock.advance(60 * SECOND)
        self.instance.gossip.send_update()
        found = [
            m for m in self.messages if m["message_type"] == "replica:speed"
        ]
        self.assertTrue(2 <= len(found) <= 4, found)
        self.assertEqual({m["replica"] for m in found}, {"r0"})
        self.assertEqual(
            (found[0]["source"], found[-1]["source"]), ("answer", "faded")
        )
        self.assertLess(found[-1]["slowness"], 1.2)


class RelayedAnswersTest(relay_fixture.RelayCase):
    replica_count = 1

    async def weight_after(self, kind, reply) -> float:
        """Returns the weight of the replica's estimate after 9 requests."""
        (replica,) = self.directory.of_service("service")
        self.directory.note_load(
            replica, running=0, waiting=0, work_time_percent=100.0
        )
        self.reply_with(reply)
        for _ in range(9):
            await self.ask(kind, body=b"prompt")
        return replica.speed.estimate(self.clock.monotonic()).weight

    async def test_successful_answers_of_all_kinds_are_recorded(self):
        for kind, reply in (
            (model.RouteKind.STREAM, users_replica.Reply(events=(0, 1, 2, 3))),
            (model.RouteKind.IDEMPOTENT, users_replica.Reply()),
        ):
            self.assertGreater(await self.weight_after(kind, reply), 0.0)

    async def measures_noted(self, write_s: float) -> set[str]:
        """Returns what is measured of a stream whose caller reads slowly.

        Args:
            write_s: The time that each write to the caller takes.
        """
        reply = users_replica.Reply(events=(0, 1, 2, 3, 4, 5))
        write = caller_sink.CallerSink.write

        async def slow_write(sink, data: bytes) -> None:
            await asyncio.sleep(write_s)
            await write(sink, data)

        noted = set()

        def note_pace(registry, replica, pace, measure, kind) -> None:
            noted.add(measure)

        with (
            unittest.mock.patch.object(
                caller_sink.CallerSink, "write", slow_write
            ),
            unittest.mock.patch.object(
                speed_registry.SpeedRegistry, "note_pace", note_pace
            ),
        ):
            for _ in range(3):
                await self.weight_after(model.RouteKind.STREAM, reply)
        return noted

    async def test_a_slow_caller_says_nothing_of_a_replicas_speed(self):
        """The replica was believed to be as slow as the callers that read its
        streams slowly.
        """
        self.assertEqual(await self.measures_noted(0.02), set())
        self.assertEqual(await self.measures_noted(0.0), {"EVENT_INTERVAL"})

    async def test_refused_requests_say_nothing_of_a_replicas_speed(self):
        """A replica that answers 404 within a millisecond isn't a fast one."""
        weight = await self.weight_after(
            model.RouteKind.IDEMPOTENT, users_replica.Reply(status=404)
        )
        self.assertEqual(weight, 0.0)


if __name__ == "__main__":
    unittest.main()
