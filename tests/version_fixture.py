"""An instance's view of a roll-out, on a clock that tests drive."""

import datetime
import random
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.version_plans import baseline as baseline_module
from nutmeghook.internal.version_plans import gossip
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import rollouts as rollouts_module
from nutmeghook.internal.version_plans import schedule as schedule_module
from tests import lossy_datagrams

SERVICE = "service"
WITHIN_S = 20.0
ORDER = orders_module.RollOutOrder(
    service=SERVICE, version="v2", within_s=WITHIN_S, order_id=5
)
NEXT_ORDER = orders_module.RollOutOrder(
    service=SERVICE, version="v3", within_s=WITHIN_S, order_id=6
)
SESSION_TIME = datetime.timedelta(seconds=5)


def entry(number: int, version: str) -> entries.ReplicaEntry:
    """Returns the entry of a replica."""
    return entries.ReplicaEntry(
        replica_id=f"{version}-{number}",
        service=SERVICE,
        address=f"10.0.0.{number}:80",
        data_centre="here",
        version=version,
        slots=8,
        leaving=False,
    )


def observed_answer(
    *, failed: bool = False, duration_s: float = 0.1, route: str = "route"
) -> baseline_module.ObservedAnswer:
    """Returns an answer."""
    return baseline_module.ObservedAnswer(
        route=route,
        model="small",
        failed=failed,
        duration_s=duration_s,
        target_s=1.5,
    )


class Instance:
    """The roll-out parts of one instance, on a clock that tests drive."""

    def __init__(self, *, clock, orders=None):
        self.clock = clock
        self.is_asked = False
        self.orders = orders or orders_module.OrderRegistry()
        self.store_monitor = follower.StoreMonitor(clock=clock)
        self.directory = directory_module.ReplicaDirectory(clock=clock)
        for number in (1, 2, 3):
            self.directory.put(entry(number, "v1"))
            self.directory.put(entry(number, "v2"))
        self.rollouts = rollouts_module.RollOuts(
            gate=send_gate.OpenGate(),
            orders=self.orders,
            directory=self.directory,
            store_monitor=self.store_monitor,
            schedule=schedule_module.Schedule(largest_bad_share=0.15),
            session_time=SESSION_TIME,
            clock=clock,
            is_asked=lambda service: self.is_asked,
        )

    def begin(self, *, started: datetime.timedelta | None = None) -> None:
        """Adds the order and its plan, started now or at a given time."""
        if started is None:
            started = self.clock.monotonic()
        self.orders.place(ORDER)
        self.store_monitor.note_response(self.clock.monotonic())
        self.rollouts.apply_plan(
            plan_module.PlanRow(
                order_id=ORDER.order_id,
                service=SERVICE,
                version="v2",
                started_ms=started / datetime.timedelta(milliseconds=1),
                within_s=WITHIN_S,
            )
        )

    def version_for(self, session: str) -> str:
        """Sends a request of a session and returns its version."""
        accepts = self.rollouts.accepts(
            SERVICE, session=session, request_id=f"request of {session}"
        )
        accepted = [
            replica.entry
            for replica in self.directory.of_service(SERVICE)
            if accepts(replica.entry)
        ]
        self.rollouts.note_sent(
            SERVICE,
            session=session,
            entry=accepted[0],
            deadline=self.clock.monotonic(),
        )
        return accepted[0].version

    def answer(self, version: str, *, number=1, failed=False, times=1) -> None:
        """Records answers of a replica."""
        for _ in range(times):
            self.rollouts.note_answer(
                entry(number, version), observed_answer(failed=failed)
            )


def fleet(count: int, *, clock) -> list[Instance]:
    """Returns instances that gossip about roll-outs."""
    receivers: dict = {}
    instances = []
    for number in range(count):
        instance = Instance(clock=clock)
        name = f"instance-{number}"
        instance.post = lossy_datagrams.LossyDatagrams(
            receivers=receivers, own=name
        )
        instance.gossip = gossip.RollOutGossip(
            instance_id=name,
            rollouts=instance.rollouts,
            orders=instance.orders,
            messages=sealed_messages.SealedMessages(
                datagrams=instance.post,
                seal=datagrams.Seal(credential="test"),
            ),
            addresses=lambda own=name: [a for a in receivers if a != own],
            clock=clock,
            random_source=random.Random(number),
        )
        instances.append(instance)
    return instances


class PlanCase(unittest.IsolatedAsyncioTestCase):
    """Gives each test an instance and moves it through an order's time."""

    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.instance = Instance(clock=self.clock)

    async def advance(self, part: float) -> None:
        """Moves to a fraction of the order's time; the store answers."""
        await self.advance_in_silence(part)
        self.instance.store_monitor.note_contact(self.clock.monotonic())

    async def advance_in_silence(self, part: float) -> None:
        """Moves to a fraction of the order's time; the store is silent."""
        wanted = datetime.timedelta(seconds=part * WITHIN_S)
        await self.clock.advance(wanted - self.clock.monotonic())

    def new_share(self, sessions: str) -> float:
        """Returns the new version's share of 400 sessions."""
        versions = [
            self.instance.version_for(f"{sessions}-{number}")
            for number in range(400)
        ]
        return versions.count("v2") / len(versions)
