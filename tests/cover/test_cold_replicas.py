"""How much cold replicas get, from all instances together."""

import collections
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import cold_limits
from nutmeghook.internal.replicas import cold_senders
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import evacuations
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import send_window
from nutmeghook.internal.routes import model
from nutmeghook.platform import replicas as replicas_wire
from tests import platform_rows

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
PER_S, OVERRUN, ALLOWANCE = 18.0, 1.5, 5.0
BOUND = PER_S * OVERRUN + ALLOWANCE
SHARE = cold_limits.cold_share(
    per_s=PER_S, overrun=OVERRUN, allowance=ALLOWANCE
)
SERVICE = model.Service(
    name="service",
    health_path="/health",
    max_connections=100,
    cold_time=3 * SECOND,
    cold_per_s=PER_S,
)


def worst_second(moments: list[datetime.timedelta]) -> int:
    """Returns the most moments that lie within one second."""
    moments = sorted(moments)
    worst = first = 0
    for last, moment in enumerate(moments):
        while moment - moments[first] >= SECOND:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


class ShareTest(unittest.TestCase):
    @hypothesis.given(
        per_s=strategies.floats(0.01, 5000.0),
        overrun=strategies.floats(1.0, 5.0),
        allowance=strategies.floats(2.0, 100.0),
    )
    def test_two_sets_of_senders_stay_within_the_bound(
        self, per_s, overrun, allowance
    ):
        """Some instances know others than the rest, so there are two sets."""
        share = cold_limits.cold_share(
            per_s=per_s, overrun=overrun, allowance=allowance
        )
        together = share.senders * share.each_per_s
        self.assertLessEqual(together, max(1.0, per_s))
        self.assertLessEqual(2 * together, per_s * overrun + allowance)

    def test_a_service_that_names_no_rate_is_not_limited(self):
        self.assertIsNone(
            cold_limits.cold_share(per_s=0.0, overrun=1.5, allowance=5.0)
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
    def test_no_second_holds_more_than_was_allowed(self, steps, most):
        """Requests wait for connections, and are written together later.
        Counted when they are chosen, a second could hold twice as many.
        """
        window = send_window.SendWindow()
        now = 10 * SECOND
        waiting: collections.deque[send_window.SendSlot] = collections.deque()
        written = []
        for step, passed_ms in steps:
            now += passed_ms * MILLISECOND
            if step == "choose" and window.count(now) < most:
                waiting.append(window.reserve(now))
            elif step == "write" and waiting and waiting.pop().try_use(now):
                written.append(now)
            elif step == "lose" and waiting:
                waiting.popleft()
        self.assertLessEqual(worst_second(written), most)

    def test_a_place_that_is_never_used_is_free_again(self):
        window = send_window.SendWindow()
        window.reserve(SECOND)
        self.assertEqual(window.count(2 * SECOND), 1)
        self.assertEqual(window.count(4 * SECOND), 0)


class Fleet:
    """Instances that know each other, or not, and one cold replica."""

    def __init__(self, *, instances: int, seed: int):
        self.draw = random.Random(seed)
        self.clock = clock_module.FakeClock()
        self.names = [f"edge-{number}" for number in range(instances)]
        self.unreached: dict[str, set[str]] = collections.defaultdict(set)
        self.senders = {}
        for name in self.names:
            self.join(name, [other for other in self.names if other != name])

    def join(self, name: str, others: list[str]) -> None:
        """Has an instance register, with those that it finds."""
        senders = cold_senders.ColdSenders(instance_id=name, clock=self.clock)
        senders.register(others, lambda span: self.contacts_of(name, span))
        self.senders[name] = senders

    def contacts_of(self, name: str, span: datetime.timedelta) -> list[str]:
        """Returns whom an instance heard of lately."""
        return [
            other
            for other in self.senders
            if other != name and other not in self.unreached[name]
        ]

    def permitted_per_s(self, replica_id: str) -> int:
        """Returns what the replica gets if all send all that they may."""
        return SHARE.each_per_s * sum(
            senders.includes_this(replica_id, SHARE.senders)
            for senders in self.senders.values()
        )


class ColdSendersTest(unittest.IsolatedAsyncioTestCase):
    async def settled(self, *, instances: int, seed: int) -> Fleet:
        """Returns instances that started long ago."""
        fleet = Fleet(instances=instances, seed=seed)
        await fleet.clock.advance(2 * cold_senders.SETTLING_TIME)
        return fleet

    def replica_ids(self, count: int = 40) -> list[str]:
        return [f"i-{number}" for number in range(count)]

    async def test_all_that_agree_send_most_of_what_it_bears(self):
        for instances in (9, 77, 195, 420):
            fleet = await self.settled(instances=instances, seed=1)
            for replica_id in self.replica_ids(3):
                sent = fleet.permitted_per_s(replica_id)
                self.assertGreaterEqual(sent, 0.8 * PER_S)
                self.assertLessEqual(sent, PER_S)

    async def test_members_that_die_change_nothing_at_first(self):
        """Two thirds of the members die at once, and the rest hear nothing of
        them. Those who take over at once would send beside the ones that are
        only cut off.
        """
        fleet = await self.settled(instances=60, seed=2)
        dead = set(fleet.draw.sample(fleet.names, 40))
        for name in fleet.names:
            fleet.unreached[name] |= dead
        for replica_id in self.replica_ids():
            self.assertLessEqual(fleet.permitted_per_s(replica_id), PER_S)

    async def test_two_islands_send_within_the_bound(self):
        """A cut of minutes: each half takes itself for the whole fleet."""
        fleet = await self.settled(instances=60, seed=3)
        half = set(fleet.draw.sample(fleet.names, 30))
        for name in fleet.names:
            fleet.unreached[name] |= (
                set(fleet.names) - half if name in half else half
            )
        await fleet.clock.advance(2 * cold_senders.MEMBER_RETENTION)
        for replica_id in self.replica_ids():
            self.assertLessEqual(fleet.permitted_per_s(replica_id), BOUND)

    async def test_members_that_the_others_have_not_heard_of(self):
        """As many instances again start at once. They know all that were
        there, and once they are settled some do not know some of them yet.
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
        await fleet.clock.advance(cold_senders.SETTLING_TIME)
        for unreached in fleet.unreached.values():
            kept = fleet.draw.sample(sorted(unreached), len(unreached) // 4)
            unreached.intersection_update(kept)
        for replica_id in self.replica_ids():
            self.assertLessEqual(fleet.permitted_per_s(replica_id), BOUND)

    async def test_an_instance_that_knows_nobody_sends_nothing(self):
        """It started while the store is out, and takes itself for alone."""
        senders = cold_senders.ColdSenders(
            instance_id="edge-1", clock=clock_module.FakeClock()
        )
        self.assertFalse(senders.includes_this("i-1", SHARE.senders))


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = clock_module.FakeClock()
        self.directory = directory_module.ReplicaDirectory(clock=self.clock)
        self.senders = cold_senders.ColdSenders(
            instance_id="edge-1", clock=self.clock
        )
        self.senders.register((), lambda span: ())
        await self.clock.advance(2 * cold_senders.SETTLING_TIME)
        self.gate = send_gate.LimitingGate(
            evacuations=evacuations.EvacuationRegistry(),
            senders=self.senders,
            service=lambda name: SERVICE,
            share=lambda service: SHARE,
            clock=self.clock,
        )

    def replica(self, **changes) -> replica_module.Replica:
        """Lists a replica and returns it."""
        self.directory.put(
            replicas_wire.decode("i-1", platform_rows.replica_row(**changes))
        )
        (replica,) = self.directory.of_service("service")
        return replica

    def send(self, replica: replica_module.Replica) -> bool:
        """Sends a request, if it may be."""
        return self.gate.is_open(replica) and self.gate.may_write(
            replica, self.gate.reserve(replica)
        )

    def sent(self, replica: replica_module.Replica) -> int:
        """Sends twenty requests at once; returns how many it got."""
        return sum(self.send(replica) for _ in range(20))

    async def test_a_cold_one_gets_its_share_and_a_warm_one_all(self):
        replica = self.replica(coldLeftMs=3000)
        self.assertEqual(self.sent(replica), SHARE.each_per_s)
        await self.clock.advance(1.2 * SECOND)
        self.assertEqual(self.sent(replica), SHARE.each_per_s)
        await self.clock.advance(2 * SECOND)
        self.assertEqual(self.sent(replica), 20)

    async def test_a_late_word_of_less_time_shortens_nothing(self):
        replica = self.replica(coldLeftMs=3000)
        self.replica(coldLeftMs=0)
        self.assertEqual(self.sent(replica), SHARE.each_per_s)

    async def test_what_it_got_while_warm_counts_once_it_is_cold(self):
        replica = self.replica()
        self.assertEqual(self.sent(replica), 20)
        self.replica(coldLeftMs=3000)
        self.assertEqual(self.sent(replica), 0)

    async def test_a_request_chosen_for_a_warm_one_is_not_written_to_a_cold_one(
        self,
    ):
        """It turns cold while connections are made for many requests."""
        replica = self.replica()
        slots = [self.gate.reserve(replica) for _ in range(20)]
        self.replica(coldLeftMs=3000)
        written = sum(self.gate.may_write(replica, p) for p in slots)
        self.assertLessEqual(written, SHARE.each_per_s)

    async def test_a_place_that_came_too_late_keeps_nothing_from_a_warm_one(
        self,
    ):
        """The process was busy while a connection was made. The request was
        taken for one that may not be sent any more.
        """
        replica = self.replica()
        slot = self.gate.reserve(replica)
        await self.clock.advance(3 * SECOND)
        self.assertTrue(self.gate.may_write(replica, slot))
        self.assertEqual(replica.sends.count(self.clock.monotonic()), 1)
        self.replica(coldLeftMs=3000)
        late = self.gate.reserve(replica)
        await self.clock.advance(2 * SECOND)
        self.assertFalse(self.gate.may_write(replica, late))

    async def test_one_that_is_taken_back_counts_as_cold(self):
        """Its word that it is cold comes with its next heartbeat."""
        replica = self.replica()
        self.gate.note_restored([replica])
        self.assertEqual(self.sent(replica), SHARE.each_per_s)
        await self.clock.advance(SERVICE.cold_time + SECOND)
        self.assertEqual(self.sent(replica), 20)

    async def test_an_answer_tells_that_it_is_cold(self):
        replica = self.replica()
        self.directory.note_cold(replica, 2 * SECOND)
        self.assertEqual(self.sent(replica), SHARE.each_per_s)


if __name__ == "__main__":
    unittest.main()
