"""Several instances' ledgers in one process, on a fake clock."""

import asyncio
from collections.abc import Awaitable
import copy
import datetime
import random
from typing import Any
import unittest

from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.ledger import bills
from nutmeghook.internal.ledger import factory
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import log
from nutmeghook.internal.ledger import records
from nutmeghook.internal.ledger import settings as settings_module
from nutmeghook.internal.membership import members
from nutmeghook.internal.observe import events
from nutmeghook.standins import faults
from nutmeghook.standins import memory_objects
from nutmeghook.standins import memory_table

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)


class SharedMembers(members.MemberView):
    """A member view over one list that a test edits for all instances.

    Each pair of addresses in `hidden` is a false suspicion: the first instance
    takes the second for dead.
    """

    __slots__ = ("_all", "_hidden", "_myself")

    def __init__(
        self,
        *,
        myself: members.Member,
        all_members: list[members.Member],
        hidden: set[tuple[str, str]],
    ):
        self._myself = myself
        self._all = all_members
        self._hidden = hidden

    @property
    def myself(self) -> members.Member:
        return self._myself

    def members(self) -> list[members.Member]:
        me = self._myself.inner_address
        return [
            member
            for member in self._all
            if (me, member.inner_address) not in self._hidden
        ]


class InstanceTable(table_module.TableService):
    """One instance's table service; calls block while it is frozen."""

    __slots__ = ("_address", "_network", "_table")

    def __init__(
        self,
        *,
        table: table_module.TableService,
        network: local.LocalNetwork,
        address: str,
    ):
        self._table = table
        self._network = network
        self._address = address

    async def _through(self, call):
        await self._network.until_thawed(self._address)
        try:
            return await call()
        finally:
            await self._network.until_thawed(self._address)

    async def read(self, key):
        return await self._through(lambda: self._table.read(key))

    async def scan(self, *, prefix, after="", limit=1000):
        return await self._through(
            lambda: self._table.scan(prefix=prefix, after=after, limit=limit)
        )

    async def commit(self, transaction):
        return await self._through(lambda: self._table.commit(transaction))


class Instance:
    """One running instance."""

    __slots__ = ("address", "events", "ledger", "member", "task")

    def __init__(self, *, member, ledger_parts, ring):
        self.member = member
        self.address = member.inner_address
        self.ledger = ledger_parts
        self.events = ring
        self.task = asyncio.ensure_future(ledger_parts.run())

    @property
    def client(self):
        return self.ledger.client

    def holds(self, partition: int = 0) -> bool:
        writer = self.ledger.service.writers[partition]
        return writer.lease.fencing_token() is not None and writer.is_serving


class Cluster:
    """Instances over one table service and one object store."""

    def __init__(
        self,
        *,
        partitions: int = 1,
        seed: int = 1,
        clock: clock_module.Clock | None = None,
        **settings,
    ):
        # IsolatedAsyncioTestCase sets debug mode, which is many times slower.
        asyncio.get_running_loop().set_debug(False)
        self.clock = clock or clock_module.FakeClock()
        self.network = local.LocalNetwork(clock=self.clock, delay=MS)
        self.table = memory_table.MemoryTable(clock=self.clock)
        self.objects = memory_objects.MemoryObjects(clock=self.clock)
        self.members: list[members.Member] = []
        self.hidden: set[tuple[str, str]] = set()
        self.instances: dict[str, Instance] = {}
        self.random = random.Random(seed)
        self.settings = settings_module.LedgerSettings(
            partitions=partitions, **settings
        )
        self._starts = 0

    def start(self, name: str, *, data_centre: str = "dc-1") -> Instance:
        self._starts += 1
        member = members.Member(
            inner_address=f"{name}:1",
            incarnation=f"{name}-{self._starts}",
            region="r",
            data_centre=data_centre,
        )
        self.members.append(member)
        handlers = peers.PeerHandlers()
        caller = self.network.attach(member.inner_address, handlers)
        clock = self.network.clock_of(member.inner_address)
        ring = events.EventRing(clock=clock)
        parts = factory.InstanceLedger(
            members=SharedMembers(
                myself=member, all_members=self.members, hidden=self.hidden
            ),
            table=InstanceTable(
                table=self.table,
                network=self.network,
                address=member.inner_address,
            ),
            objects=self.objects,
            peer_caller=caller,
            handlers=handlers,
            clock=clock,
            rng=random.Random(self.random.random()),
            events=ring,
            settings=self.settings,
        )
        instance = Instance(member=member, ledger_parts=parts, ring=ring)
        self.instances[name] = instance
        return instance

    def kill(self, name: str, *, noticed: bool = True) -> None:
        """Kills an instance and cancels all its tasks."""
        instance = self.instances.pop(name)
        self.network.detach(instance.address)
        instance.task.cancel()
        for task in instance.client._unsettled:
            task.cancel()
        if noticed and instance.member in self.members:
            self.members.remove(instance.member)

    async def stop(self) -> None:
        for name in list(self.instances):
            self.network.thaw(self.instances[name].address)
            self.kill(name)
        await asyncio.sleep(0)

    async def pass_time(self, duration: datetime.timedelta) -> None:
        await self.clock.advance(duration)

    async def drive(self, work: Awaitable, *, within_s: float = 60.0):
        """Advances the clock until the work is done; returns its result."""
        task = asyncio.ensure_future(work)
        for _ in range(int(within_s * 100)):
            await self.clock.advance(10 * MS)
            if task.done():
                return task.result()
        task.cancel()
        raise AssertionError(f"not done within {within_s} virtual seconds")

    async def until(self, condition, *, within_s: float = 60.0) -> None:
        """Advances the clock until a condition holds."""
        for _ in range(int(within_s * 100)):
            if condition():
                return
            await self.clock.advance(10 * MS)
        raise AssertionError(f"not so within {within_s} virtual seconds")

    async def until_held(self, partition: int = 0) -> Instance:
        """Waits until some instance serves a partition; returns it."""
        await self.until(lambda: self.holder(partition) is not None)
        return self.holder(partition)

    def holder(self, partition: int = 0) -> Instance | None:
        for instance in self.instances.values():
            if instance.holds(partition):
                return instance
        return None

    def others(self, instance: Instance) -> list[Instance]:
        return [i for i in self.instances.values() if i is not instance]

    async def billed(self) -> list[str]:
        """Returns the billed keys, read without faults or delays."""
        table = copy.copy(self.table)
        table.faults = faults.Faults(clock=self.clock)
        objects = copy.copy(self.objects)
        objects.faults = faults.Faults(clock=self.clock)
        reader = bills.BillReader(table=table, objects=objects)
        return sorted([bill.identity.key async for bill in reader.bills()])

    async def log_records(self) -> list[records.Record]:
        """Returns all records of all logs, in the order of the commits."""
        table = copy.copy(self.table)
        table.faults = faults.Faults(clock=self.clock)
        rows = await table.scan(prefix=log.KEY_PREFIX)
        batches = [records.decode_batch(row.value) for row in rows]
        batches.sort(key=lambda batch: (batch.token, batch.sequence))
        return [record for batch in batches for record in batch.records]


class ClusterCase(unittest.IsolatedAsyncioTestCase):
    """Gives each test a cluster whose only partition is held.

    Attributes:
        names: Names of its instances.
        settings: Settings of its ledgers.
    """

    names = "abc"
    settings: dict[str, Any] = {}

    async def asyncSetUp(self):
        self.cluster = Cluster(**self.settings)
        for name in self.names:
            self.cluster.start(name)
        self.holder = await self.cluster.until_held()
        self.one, *others = self.cluster.others(self.holder)
        self.other = others[0] if others else None

    async def asyncTearDown(self):
        await self.cluster.stop()


def identity(
    key: str, *, digest: str = "d", team: str = "agency", given: bool = True
) -> ledger.RequestIdentity:
    """Returns a request's identity."""
    return ledger.RequestIdentity(
        team=team, key=key, given_by_caller=given, body_digest=digest
    )


def bill(key: str, *, request_id: str = "", given: bool = True) -> ledger.Bill:
    """Returns a bill for a key."""
    return ledger.Bill(
        identity=identity(key, given=given),
        request_id=request_id or f"req-{key}",
        template="lookup",
        model_version="small@1",
        prompt_tokens=100,
        output_tokens=20,
        cost_micros=7,
        spent_micros=9,
    )


ANSWER = ledger.KeptAnswer(
    status=200, content_type="application/json", body=b"{}"
)
