"""Builds one instance's ledger."""

import asyncio
import dataclasses
import datetime
import random

from nutmeghook.internal.dependencies import objects as objects_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.leases import keeper as keeper_module
from nutmeghook.internal.leases import preference
from nutmeghook.internal.leases import rows
from nutmeghook.internal.ledger import archive as archive_module
from nutmeghook.internal.ledger import bills as bills_module
from nutmeghook.internal.ledger import client as client_module
from nutmeghook.internal.ledger import directory as directory_module
from nutmeghook.internal.ledger import liveness as liveness_module
from nutmeghook.internal.ledger import overflow as overflow_module
from nutmeghook.internal.ledger import partition as partition_module
from nutmeghook.internal.ledger import sender as sender_module
from nutmeghook.internal.ledger import service as service_module
from nutmeghook.internal.ledger import session_pins
from nutmeghook.internal.ledger import settings as settings_module
from nutmeghook.internal.ledger import store_health
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module

_PROBE_KEY = "ledger-probe"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _PartBuilder:
    """Builds store health, writers and senders from shared dependencies."""

    members: members_module.MemberView
    clock: clock_module.Clock
    rng: random.Random
    events: events_module.EventRing
    settings: settings_module.LedgerSettings
    lease_settings: rows.LeaseSettings
    liveness: liveness_module.Liveness

    def health(
        self, name: str, probe: store_health.Probe
    ) -> store_health.StoreHealth:
        return store_health.StoreHealth(
            name=name,
            clock=self.clock,
            events=self.events,
            rng=self.rng,
            failures_to_out=self.settings.failures_to_out,
            probe=probe,
            probe_every=self.settings.probe_every,
        )

    def writer(
        self,
        partition: int,
        *,
        table: table_module.TableService,
        health: store_health.StoreHealth,
        archive: archive_module.BillArchive,
    ) -> partition_module.PartitionWriter:
        name = service_module.lease_name(partition)
        lease = keeper_module.LeaseKeeper(
            name=name,
            incarnation=self.members.myself.incarnation,
            inner_address=self.members.myself.inner_address,
            table=table,
            clock=self.clock,
            rng=self.rng,
            events=self.events,
            rank=lambda: preference.rank_of_myself(name, self.members),
            settings=self.lease_settings,
            # A wrong death verdict is safe: every commit by a holder is
            # conditional on the lease's row.
            is_dead=self.liveness.is_gone,
        )
        return partition_module.PartitionWriter(
            partition=partition,
            lease=lease,
            table=table,
            health=health,
            archive=archive,
            is_alive=self.liveness.is_alive,
            clock=self.clock,
            rng=self.rng,
            settings=self.settings,
        )

    def senders(
        self,
        *,
        service: service_module.LedgerService,
        directory: directory_module.HolderDirectory,
        peer_caller: peers.PeerCaller,
    ) -> tuple[sender_module.PartitionSender, ...]:
        return tuple(
            sender_module.PartitionSender(
                partition=partition,
                my_address=self.members.myself.inner_address,
                service=service,
                directory=directory,
                peer_caller=peer_caller,
                clock=self.clock,
                rng=self.rng,
                settings=self.settings,
            )
            for partition in range(self.settings.partitions)
        )

    def overflow_put_rate(self) -> float:
        """Returns this instance's share of the puts a second."""
        count = max(1, len(self.members.members()))
        return self.settings.overflow_writes_per_s / count


class InstanceLedger:
    """All components of one instance's ledger.

    Start `run` first; call `drain` after the last request and before `run` is
    cancelled.

    Attributes:
        client: Claims and bills for the dispatcher.
        pins: Session pins for the choice of versions.
        service: The partitions held here.
        bill_reader: Bills of all instances, for administration.
        table: The table service with timeouts, counted by `table_health`.
        objects: The object store, counted by `objects_health`.
    """

    __slots__ = (
        "_liveness",
        "_overflow",
        "bill_reader",
        "client",
        "objects",
        "objects_health",
        "pins",
        "service",
        "table",
        "table_health",
    )

    def __init__(
        self,
        *,
        members: members_module.MemberView,
        table: table_module.TableService,
        objects: objects_module.ObjectStore,
        peer_caller: peers.PeerCaller,
        handlers: peers.PeerHandlers,
        clock: clock_module.Clock,
        rng: random.Random,
        events: events_module.EventRing,
        settings: settings_module.LedgerSettings | None = None,
        lease_settings: rows.LeaseSettings | None = None,
    ):
        settings = settings or settings_module.LedgerSettings()
        self._liveness = liveness_module.Liveness(members=members, clock=clock)
        builder = _PartBuilder(
            members=members,
            clock=clock,
            rng=rng,
            events=events,
            settings=settings,
            lease_settings=lease_settings or rows.LeaseSettings(),
            liveness=self._liveness,
        )
        self.table_health = builder.health(
            "table service", lambda: self.table.read(_PROBE_KEY)
        )
        self.objects_health = builder.health(
            "object store", lambda: self.objects.get(_PROBE_KEY)
        )
        self.table = store_health.MonitoredTable(
            table=table,
            health=self.table_health,
            clock=clock,
            timeout=settings.store_timeout,
        )
        self.objects = store_health.MonitoredObjects(
            objects=objects,
            health=self.objects_health,
            clock=clock,
            timeout=settings.store_timeout,
        )
        archive = archive_module.BillArchive(
            table=self.table,
            objects=self.objects,
            batch_records=settings.fold_records,
        )
        self.service = service_module.LedgerService(
            writers=tuple(
                builder.writer(
                    partition,
                    table=self.table,
                    health=self.table_health,
                    archive=archive,
                )
                for partition in range(settings.partitions)
            ),
            clock=clock,
        )
        self.service.register(handlers)
        directory = directory_module.HolderDirectory(
            members=members,
            table=self.table,
            clock=clock,
            partitions=settings.partitions,
        )
        senders = builder.senders(
            service=self.service, directory=directory, peer_caller=peer_caller
        )
        self._overflow = overflow_module.BillOverflow(
            incarnation=members.myself.incarnation,
            objects=self.objects,
            table_health=self.table_health,
            append=lambda record: self.client.append_bill(record),
            put_rate=builder.overflow_put_rate,
            is_alive=self._liveness.is_alive,
            should_sweep=lambda: self.service.writers[0].is_serving,
            clock=clock,
            rng=rng,
            events=events,
        )
        self.client = client_module.LedgerClient(
            incarnation=members.myself.incarnation,
            senders=senders,
            directory=directory,
            overflow=self._overflow,
            table_health=self.table_health,
            objects_health=self.objects_health,
            clock=clock,
            rng=rng,
            settings=settings,
        )
        self.pins = session_pins.LedgerSessionPins(
            senders=senders,
            clock=clock,
            capacity=settings.pin_cache_entries,
        )
        self.bill_reader = bills_module.BillReader(
            table=self.table, objects=self.objects
        )

    def accepting_work(self) -> bool:
        """Whether a bill of new work could be made durable."""
        return self.client.accepting_work()

    def bills_waiting(self) -> int:
        """Overflow objects whose bills are not in the log yet."""
        return self._overflow.stored_objects

    async def run(self) -> None:
        """Runs all components until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._liveness.run())
            group.create_task(self.table_health.run())
            group.create_task(self.objects_health.run())
            group.create_task(self.service.run())
            group.create_task(self._overflow.run())
            group.create_task(self.pins.run())

    async def drain(self, *, timeout: datetime.timedelta) -> None:
        """Settles open bills and claims, then releases the partitions."""
        await self.client.drain(timeout=timeout)
        await self.service.drain(timeout=timeout)
