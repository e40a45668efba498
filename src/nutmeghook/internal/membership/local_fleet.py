"""Many membership services in one process, for tests and benchmarks.

Only the sockets are simulated; codec, seals and timers are the real ones.
"""

import asyncio
import datetime
import random as random_module

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import local_datagrams
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import service as service_module
from nutmeghook.internal.observe import events as events_module

_CREDENTIAL = "local fleet"
_REGIONS = 3
_DATA_CENTRES = 9
_RING_EVENTS = 256


class SettableInstanceList(instances.InstanceList):
    """An instance list with settable content.

    Attributes:
        rows: The rows to return.
        is_out: Whether reads fail instead.
        reads: Number of reads so far.
    """

    __slots__ = ("is_out", "reads", "rows")

    def __init__(self):
        self.rows: list[instances.ListedInstance] = []
        self.is_out = False
        self.reads = 0

    async def list_instances(self) -> list[instances.ListedInstance]:
        """Returns the rows."""
        self.reads += 1
        if self.is_out:
            raise failures.NotDoneError("the list is unavailable")
        return list(self.rows)


class LocalMember:
    """One running membership service and the state of its process."""

    __slots__ = ("address", "events", "service", "task", "traffic")

    def __init__(
        self,
        *,
        address: str,
        service: service_module.MembershipService,
        events: events_module.EventRing,
        traffic: traffic_module.Traffic,
    ):
        self.address = address
        self.service = service
        self.events = events
        self.traffic = traffic
        self.task = asyncio.create_task(service.run())


class LocalFleet:
    """Instances spread over three regions with three data centres each.

    Attributes:
        network: Cuts, delays and freezes the links and instances.
        datagrams: Drops datagrams.
        instance_list: The platform's list.
        running: The running processes by inner address.
    """

    __slots__ = (
        "_clock",
        "_random",
        "_starts",
        "datagrams",
        "instance_list",
        "network",
        "running",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        delay: datetime.timedelta = datetime.timedelta(),
    ):
        self._clock = clock
        self._random = random
        self._starts = 0
        self.network = local.LocalNetwork(clock=clock, delay=delay)
        self.datagrams = local_datagrams.LocalDatagramNetwork(
            network=self.network, random=random
        )
        self.instance_list = SettableInstanceList()
        self.running: dict[str, LocalMember] = {}

    def address(self, number: int) -> str:
        """Returns the inner address of an instance."""
        return f"10.0.{number // 200}.{number % 200 + 1}:7000"

    def region(self, number: int) -> str:
        """Returns the region of an instance."""
        return f"region-{number % _REGIONS}"

    def list_row(self, number: int) -> instances.ListedInstance:
        """Returns the platform's list row for an instance."""
        return instances.ListedInstance(
            address=self.address(number).replace(":7000", ":8080"),
            role=instances.InstanceRole.ENTRY,
            state=instances.InstanceState.LIVE,
            region=self.region(number),
            data_centre=f"data-centre-{number % _DATA_CENTRES}",
            inner_address=self.address(number),
        )

    def list_all(self, count: int) -> None:
        """Lists the instances 0 to `count` - 1."""
        self.instance_list.rows = [self.list_row(n) for n in range(count)]

    def start(
        self,
        number: int,
        *,
        seed_addresses: tuple[str, ...] = (),
        wall_clock_lag: datetime.timedelta = datetime.timedelta(),
    ) -> LocalMember:
        """Starts an instance's process, or a new one in its place."""
        address = self.address(number)
        self.crash(number)
        self._starts += 1
        handlers = peers.PeerHandlers()
        events = events_module.EventRing(
            clock=self._clock, capacity_events=_RING_EVENTS
        )
        traffic = traffic_module.Traffic()
        row = self.list_row(number)
        service = service_module.MembershipService(
            myself=members_module.Member(
                inner_address=address,
                incarnation=f"{self._starts:012x}",
                region=row.region,
                data_centre=row.data_centre,
            ),
            clock=self.network.clock_of(address, wall_clock_lag=wall_clock_lag),
            random=random_module.Random(self._random.random()),
            instance_list=self.instance_list,
            seed_addresses=seed_addresses,
            caller=self.network.attach(address, handlers, traffic=traffic),
            handlers=handlers,
            datagrams=self.datagrams.attach(address),
            credential=_CREDENTIAL,
            traffic=traffic,
            events=events,
        )
        member = LocalMember(
            address=address, service=service, events=events, traffic=traffic
        )
        self.running[address] = member
        return member

    def crash(self, number: int) -> None:
        """Ends an instance's process without an announcement."""
        address = self.address(number)
        member = self.running.pop(address, None)
        if member is not None:
            member.task.cancel()
        self.network.detach(address)
        self.datagrams.detach(address)
        self.network.thaw(address)

    def stop(self) -> None:
        """Ends all processes."""
        for member in list(self.running.values()):
            member.task.cancel()
        self.running.clear()

    def cut_region(self, region: str, *, count: int) -> None:
        """Cuts a region off, among the instances 0 to `count` - 1."""
        for one in range(count):
            for other in range(count):
                if (self.region(one) == region) != (
                    self.region(other) == region
                ):
                    self.network.cut(self.address(one), self.address(other))

    def agrees(self) -> bool:
        """Tells whether all processes know exactly the running processes."""
        everyone = set(self.running)
        return all(
            {m.inner_address for m in member.service.members()} == everyone
            for member in self.running.values()
        )
