"""Loans of unused shares in a replica's stated limit."""

import asyncio
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import messages as messages_module
from nutmeghook.internal.replicas import loan_gossip
from nutmeghook.internal.replicas import send_shares
from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.replicas import share_loans
from tests import known_members
from tests.cover import test_rate_limits

SECOND = datetime.timedelta(seconds=1)
STEP = datetime.timedelta(milliseconds=50)
ASK_STEPS = 5
LIMIT_PER_S = 20.0
# Within any 4 s, 1.5 times what the limit allows and 5 requests.
SPAN_S = 4.0
BOUND = 1.5 * LIMIT_PER_S * SPAN_S + 5
LONGEST_DELAY_STEPS = 8
# Requests that each instance would send in a step.
DEMANDS = strategies.lists(
    strategies.sampled_from((0, 0, 1, 5)), min_size=7, max_size=7
)


class Post(messages_module.Messages):
    """Delivers messages to the instances of a fleet, late or never."""

    def __init__(self, *, fleet: "Fleet"):
        self._fleet = fleet
        self.handlers = {}

    def register(self, message_type, handler) -> None:
        self.handlers[message_type] = handler

    def send(self, inner_addresses, message) -> None:
        for address in inner_addresses:
            if self._fleet.draw.random() >= self._fleet.loss:
                delay = self._fleet.draw.randint(0, self._fleet.delay_steps)
                self._fleet.on_the_way.append(
                    [delay, self._fleet.posts[address], message]
                )


class Fleet:
    """Instances that send to one limited replica and lend each other."""

    def __init__(self, *, instances: int = 7, loss=0.0, delay_steps=0, seed=1):
        self.clock = clock_module.FakeClock()
        self.draw = random.Random(seed)
        self.loss = loss
        self.delay_steps = delay_steps
        self.on_the_way = []
        self.posts: dict[str, Post] = {}
        self.gossips = []
        self.sent_s: list[tuple[float, int]] = []
        names = [f"edge-{number}" for number in range(instances)]
        self.instances = [
            test_rate_limits.Instance(name=name, clock=self.clock)
            for name in names
        ]
        for name, instance in zip(names, self.instances, strict=True):
            others = [other for other in names if other != name]
            instance.limits.senders.register(
                known_members.KnownMembers(
                    registered=others, contacts=others.copy, clock=self.clock
                )
            )
            self.posts[name] = Post(fleet=self)
            self.gossips.append(
                loan_gossip.LoanGossip(
                    instance_id=name,
                    loans=instance.limits.loans,
                    senders=instance.limits.senders,
                    directory=instance.directory,
                    addresses=lambda: {name: name for name in self.posts},
                    messages=self.posts[name],
                    clock=self.clock,
                    random_source=self.draw,
                )
            )

    async def settle(self) -> None:
        """Waits until all are senders, and states the limit."""
        await self.clock.advance(sender_election.SETTLING_TIME + SECOND)
        for instance in self.instances:
            instance.hear(LIMIT_PER_S)

    async def run(self, demands: list[int], seconds: float) -> list[int]:
        """Lets each instance send its demand in each step, if it may."""
        sent = [0] * len(self.instances)
        for step in range(int(seconds * SECOND / STEP)):
            for number, wanted in enumerate(demands):
                sent[number] += self._send(number, wanted)
            if step % ASK_STEPS == 0:
                for gossip in self.gossips:
                    gossip.ask()
            self._deliver()
            await self.clock.advance(STEP)
        return sent

    def _send(self, number: int, wanted: int) -> int:
        instance = self.instances[number]
        for done in range(wanted):
            if not instance.send():
                # A request is refused, and the gate is asked why.
                instance.limits.gate.held_back("service")
                return done
            now_s = self.clock.monotonic().total_seconds()
            self.sent_s.append((now_s, number))
        return wanted

    def _deliver(self) -> None:
        due = [one for one in self.on_the_way if one[0] <= 0]
        self.on_the_way = [one for one in self.on_the_way if one[0] > 0]
        for one in self.on_the_way:
            one[0] -= 1
        for _, post, message in due:
            post.handlers[type(message)](message)

    def worst(self) -> int:
        """Returns the most requests within the bound's span."""
        times = [at_s for at_s, _ in self.sent_s]
        return max(
            sum(from_s <= at_s < from_s + SPAN_S for at_s in times)
            for from_s in times
        )


class ShareLoansTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_limit_is_used_where_the_demand_is(self):
        """Callers connect to one instance only; the others' parts lie idle.
        Three quarters of what all send together must be sent by the one.
        """
        fleet = Fleet()
        await fleet.settle()
        await fleet.run([5] * 7, 4.0)
        spread = sum(await fleet.run([5] * 7, 8.0))
        await fleet.run([5] + [0] * 6, 8.0)
        concentrated = sum(await fleet.run([5] + [0] * 6, 8.0))
        self.assertGreaterEqual(concentrated, 0.75 * spread)

    async def test_a_lender_has_its_share_back_when_its_callers_return(self):
        fleet = Fleet()
        await fleet.settle()
        await fleet.run([5] + [0] * 6, 6.0)
        await fleet.run([5] * 7, 6.0)
        sent = await fleet.run([5] * 7, 8.0)
        for count in sent:
            self.assertGreaterEqual(count, LIMIT_PER_S * 8.0 / 7 / 2)

    async def test_a_lost_loan_is_used_by_nobody(self):
        """A loan is lost on its way, and the lender knows nothing of it."""
        fleet = Fleet(loss=1.0)
        await fleet.settle()
        lender = fleet.instances[1].limits.loans
        replica = fleet.instances[1].replica
        share = send_shares.rate_limit_share(LIMIT_PER_S)
        before = lender.allowed(replica, share)
        lent = lender.lend(replica, share, borrower="edge-0")
        self.assertGreater(lent, 0)
        self.assertEqual(lender.allowed(replica, share), before - lent)
        await fleet.clock.advance(share.window)
        self.assertEqual(lender.allowed(replica, share), before - lent)
        await fleet.clock.advance(2 * share_loans.LOAN_LIFETIME)
        self.assertEqual(lender.allowed(replica, share), before)


class BoundTest(unittest.TestCase):
    @hypothesis.settings(max_examples=15)
    @hypothesis.given(
        phases=strategies.lists(
            strategies.tuples(DEMANDS, strategies.floats(0.5, 4.0)),
            min_size=2,
            max_size=4,
        ),
        loss=strategies.sampled_from((0.0, 0.3)),
        seed=strategies.integers(0, 1000),
    )
    def test_loans_never_exceed_the_limit(self, phases, loss, seed):
        """Demand moves from instance to instance while messages are lost or
        late.
        """

        async def play() -> Fleet:
            fleet = Fleet(loss=loss, delay_steps=LONGEST_DELAY_STEPS, seed=seed)
            await fleet.settle()
            for demands, seconds in phases:
                await fleet.run(demands, seconds)
            return fleet

        fleet = asyncio.run(play())
        if fleet.sent_s:
            self.assertLessEqual(fleet.worst(), BOUND)


if __name__ == "__main__":
    unittest.main()
