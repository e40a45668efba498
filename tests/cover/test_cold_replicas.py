"""The request rate of cold replicas from all instances together."""

import collections
import datetime
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from nutmeghook.experiment import soak_checks
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import evacuations
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import send_shares
from nutmeghook.internal.replicas import send_window
from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.routes import model
from nutmeghook.platform import replicas as replicas_wire
from tests import known_members
from tests import platform_rows

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
PER_S, OVERRUN, ALLOWANCE = 18.0, 1.5, 5.0
BOUND = PER_S * OVERRUN + ALLOWANCE
SHARE = send_shares.cold_share(
    per_s=PER_S, overrun=OVERRUN, allowance=ALLOWANCE
)
# Of the only sender.
WHOLE_SHARE = SHARE.total
SERVICE = model.Service(
    name="service",
    liveness_path="/health",
    max_connections=100,
    cold_time=3 * SECOND,
    cold_per_s=PER_S,
)


class ShareTest(unittest.TestCase):
    @hypothesis.given(
        per_s=strategies.floats(0.01, 5000.0),
        overrun=strategies.floats(1.0, 5.0),
        allowance=strategies.floats(2.0, 100.0),
    )
    def test_two_sets_of_senders_stay_within_the_bound(
        self, per_s, overrun, allowance
    ):
        """Instances disagree on the membership, so two sets of senders send."""
        share = send_shares.cold_share(
            per_s=per_s, overrun=overrun, allowance=allowance
        )
        for senders in range(1, share.max_senders + 1):
            places = [
                sender_election.SenderPlace(rank=rank, senders=senders)
                for rank in range(senders)
            ]
            together = sum(map(share.of_sender, places))
            self.assertEqual(together, share.total)
        self.assertLessEqual(together, max(1.0, per_s))
        self.assertLessEqual(2 * together, per_s * overrun + allowance)

    def test_a_service_without_a_cold_rate_is_not_limited(self):
        self.assertIsNone(
            send_shares.cold_share(per_s=0.0, overrun=1.5, allowance=5.0)
        )


class SendWindowTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("choose", "write", "lose")),
                strategies.integers(0, 400),
            ),
            max_size=120,
        ),
        strategies.integers(1, 4),
    )
    def test_no_second_has_more_requests_than_the_limit(self, steps, most):
        """Requests wait for connections and are written together later. If
        they counted at the time of the choice only, a second could get twice
        the limit.
        """
        window = send_window.SendWindow()
        now = 10 * SECOND
        waiting: collections.deque[send_window.SendSlot] = collections.deque()
        written = []
        for step, passed_ms in steps:
            now += passed_ms * MILLISECOND
            if step == "choose" and window.count(now, SHARE.window) < most:
                waiting.append(window.reserve(now))
            elif step == "write" and waiting and waiting.pop().try_use(now):
                written.append(now)
            elif step == "lose" and waiting:
                waiting.popleft()
        self.assertLessEqual(
            soak_checks.max_in_one_second(t.total_seconds() for t in written),
            most,
        )

    def test_an_unused_slot_is_released(self):
        window = send_window.SendWindow()
        window.reserve(SECOND)
        self.assertEqual(window.count(2 * SECOND, SHARE.window), 1)
        self.assertEqual(window.count(4 * SECOND, SHARE.window), 0)


class Fleet:
    """Instances with their contacts, and cold replicas."""

    def __init__(self, *, instances: int, seed: int):
        self.draw = random.Random(seed)
        self.clock = clock_module.FakeClock()
        self.names = [f"edge-{number}" for number in range(instances)]
        self.unreached: dict[str, set[str]] = collections.defaultdict(set)
        self.senders = {}
        for name in self.names:
            self.join(name, [other for other in self.names if other != name])

    def join(self, name: str, others: list[str]) -> None:
        """Registers an instance, with the instances that it finds."""
        senders = sender_election.SenderElection(
            instance_id=name, data_centre="here", clock=self.clock
        )
        senders.register(
            known_members.KnownMembers(
                registered=others,
                contacts=lambda: self.contacts_of(name),
                clock=self.clock,
            )
        )
        self.senders[name] = senders

    def contacts_of(self, name: str) -> list[str]:
        """Returns the instances with a recent contact to an instance."""
        return [
            other
            for other in self.senders
            if other != name and other not in self.unreached[name]
        ]

    def permitted_per_s(self, replica_id: str) -> int:
        """Returns the replica's rate if every sender sends its share."""
        places = (
            senders.place(replica_id, "here", SHARE.max_senders)
            for senders in self.senders.values()
        )
        return sum(
            SHARE.of_sender(place) for place in places if place is not None
        )


class SenderElectionTest(unittest.IsolatedAsyncioTestCase):
    async def settled(self, *, instances: int, seed: int) -> Fleet:
        """Returns instances that started long ago."""
        fleet = Fleet(instances=instances, seed=seed)
        await fleet.clock.advance(2 * sender_election.SETTLING_TIME)
        return fleet

    def replica_ids(self, count: int = 40) -> list[str]:
        return [f"i-{number}" for number in range(count)]

    async def test_senders_use_most_of_the_rate_with_equal_membership(self):
        for instances in (9, 77, 195, 420):
            fleet = await self.settled(instances=instances, seed=1)
            for replica_id in self.replica_ids(3):
                sent = fleet.permitted_per_s(replica_id)
                self.assertGreaterEqual(sent, 0.8 * PER_S)
                self.assertLessEqual(sent, PER_S)

    async def test_members_that_die_do_not_change_the_senders_at_first(self):
        """Two thirds of the members lose contact with the rest at once. If
        others replaced them as senders at once, both would send in case the
        former are partitioned and not dead.
        """
        fleet = await self.settled(instances=60, seed=2)
        dead = set(fleet.draw.sample(fleet.names, 40))
        for name in fleet.names:
            fleet.unreached[name] |= dead
        for replica_id in self.replica_ids():
            self.assertLessEqual(fleet.permitted_per_s(replica_id), PER_S)

    async def test_two_partitions_send_within_the_bound(self):
        """After minutes, each half regards itself as the whole fleet."""
        fleet = await self.settled(instances=60, seed=3)
        half = set(fleet.draw.sample(fleet.names, 30))
        for name in fleet.names:
            fleet.unreached[name] |= (
                set(fleet.names) - half if name in half else half
            )
        await fleet.clock.advance(2 * sender_election.MEMBER_RETENTION)
        for replica_id in self.replica_ids():
            self.assertLessEqual(fleet.permitted_per_s(replica_id), BOUND)

    async def test_new_members_that_others_do_not_know_yet(self):
        """The fleet doubles at once. New instances know all older ones, but
        after the settling time a quarter of them is still unknown to others.
        """
        fleet = await self.settled(instances=60, seed=4)
        old = list(fleet.names)
        for number in range(60):
            name = f"new-{number}"
            for other in fleet.senders:
                fleet.unreached[other].add(name)
            fleet.join(name, [*old, *[f"new-{n}" for n in range(number)]])
        for replica_id in self.replica_ids():
            self.assertLessEqual(fleet.permitted_per_s(replica_id), PER_S)
        await fleet.clock.advance(sender_election.SETTLING_TIME)
        for unreached in fleet.unreached.values():
            kept = fleet.draw.sample(sorted(unreached), len(unreached) // 4)
            unreached.intersection_update(kept)
        for replica_id in self.replica_ids():
            self.assertLessEqual(fleet.permitted_per_s(replica_id), BOUND)

    async def test_an_unregistered_instance_sends_nothing(self):
        """It started during an outage of the store and knows no members."""
        senders = sender_election.SenderElection(
            instance_id="edge-1",
            data_centre="here",
            clock=clock_module.FakeClock(),
        )
        self.assertIsNone(senders.place("i-1", "here", SHARE.max_senders))


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = clock_module.FakeClock()
        self.directory = directory_module.ReplicaDirectory(clock=self.clock)
        self.senders = sender_election.SenderElection(
            instance_id="edge-1", data_centre="here", clock=self.clock
        )
        self.senders.register(known_members.KnownMembers(clock=self.clock))
        await self.clock.advance(2 * sender_election.SETTLING_TIME)
        self.gate = send_gate.LimitingGate(
            evacuations=evacuations.EvacuationRegistry(),
            senders=self.senders,
            service=lambda name: SERVICE,
            asking=list,
            cold_share=lambda service: SHARE,
            clock=self.clock,
        )

    def replica(self, **changes) -> replica_module.Replica:
        """Adds a replica to the directory and returns it."""
        self.directory.put(
            replicas_wire.decode("i-1", platform_rows.replica_row(**changes))
        )
        (replica,) = self.directory.of_service("service")
        return replica

    def send(self, replica: replica_module.Replica) -> bool:
        """Sends a request if the gate allows it."""
        return self.gate.is_open(replica) and self.gate.may_write(
            replica, self.gate.reserve(replica)
        )

    def sent(self, replica: replica_module.Replica) -> int:
        """Tries to send twenty requests; returns how many were sent."""
        return sum(self.send(replica) for _ in range(20))

    async def test_becoming_a_sender_is_logged_once(self):
        """Requests beyond a limit came from more instances than were elected,
        and no log said which took themselves for senders, and among how many.
        """
        replica = self.replica(coldLeftMs=3000)
        with mock.patch.object(logs, "note") as note:
            self.sent(replica)
        (call,) = note.call_args_list
        self.assertEqual(call.args, ("replica:sender",))
        self.assertEqual(call.kwargs["rank"], 0)
        self.assertEqual(call.kwargs["members"], 1)

    async def test_a_cold_replica_gets_its_share_and_a_warm_one_everything(
        self,
    ):
        replica = self.replica(coldLeftMs=3000)
        self.assertEqual(self.sent(replica), WHOLE_SHARE)
        await self.clock.advance(1.2 * SECOND)
        self.assertEqual(self.sent(replica), WHOLE_SHARE)
        await self.clock.advance(2 * SECOND)
        self.assertEqual(self.sent(replica), 20)

    async def test_a_late_report_does_not_shorten_the_cold_time(self):
        replica = self.replica(coldLeftMs=3000)
        self.replica(coldLeftMs=0)
        self.assertEqual(self.sent(replica), WHOLE_SHARE)

    async def test_requests_sent_while_warm_count_once_it_is_cold(self):
        replica = self.replica()
        self.assertEqual(self.sent(replica), 20)
        self.replica(coldLeftMs=3000)
        self.assertEqual(self.sent(replica), 0)

    async def test_a_request_chosen_for_a_warm_one_is_not_written_to_a_cold_one(
        self,
    ):
        """It turns cold while connections for many requests are opened."""
        replica = self.replica()
        slots = [self.gate.reserve(replica) for _ in range(20)]
        self.replica(coldLeftMs=3000)
        written = sum(self.gate.may_write(replica, p) for p in slots)
        self.assertLessEqual(written, WHOLE_SHARE)

    async def test_an_expired_slot_still_allows_a_write_to_a_warm_replica(
        self,
    ):
        """The process was busy while a connection was opened, and the slot
        expired. A warm replica needs none, so the request must be sent.
        """
        replica = self.replica()
        slot = self.gate.reserve(replica)
        await self.clock.advance(3 * SECOND)
        self.assertTrue(self.gate.may_write(replica, slot))
        self.assertEqual(
            replica.sends.count(self.clock.monotonic(), SHARE.window), 1
        )
        self.replica(coldLeftMs=3000)
        late = self.gate.reserve(replica)
        await self.clock.advance(2 * SECOND)
        self.assertFalse(self.gate.may_write(replica, late))

    async def test_a_replica_counts_as_cold_after_an_evacuation(self):
        """It reports that it is cold only with its next heartbeat."""
        replica = self.replica()
        self.gate.note_restored([replica])
        self.assertEqual(self.sent(replica), WHOLE_SHARE)
        await self.clock.advance(SERVICE.cold_time + SECOND)
        self.assertEqual(self.sent(replica), 20)

    async def test_an_answer_reports_that_it_is_cold(self):
        replica = self.replica()
        self.directory.note_cold(replica, 2 * SECOND)
        self.assertEqual(self.sent(replica), WHOLE_SHARE)


if __name__ == "__main__":
    unittest.main()
