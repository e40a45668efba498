"""Instances, and a stand-in store that tests restore from an older copy."""

import asyncio
import datetime
import json
import random
import unittest

import aiohttp

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import evacuations as evacuations_module
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.table_replication import bandwidth_limiter
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import gossip as gossip_module
from nutmeghook.internal.table_replication import shared_table
from nutmeghook.internal.table_replication import table_copy
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.platform import store
from nutmeghook.platform import tables
from nutmeghook.standins import users_store
from tests import configuration_rows
from tests import fake_peers
from tests import platform_rows

OPERATOR = tables.OPERATOR_TABLE
REPLICAS = tables.REPLICA_TABLE
SEAL = datagrams.Seal(credential="shared")
SECOND = datetime.timedelta(seconds=1)
# A configuration of this many routes takes more than the bytes of the smallest
# row that peers send deltas of.
ROUTES = 20


class Instance:
    """The tables of one instance, and what they decide."""

    def __init__(
        self,
        *,
        name: str,
        client: store.StoreClient,
        clock: clock_module.Clock,
        handlers: dict[str, peers.PeerHandlers],
        caller: peers.PeerCaller,
        socket: datagrams.Datagrams,
    ):
        self.clock = clock
        self.configuration = in_force_module.ConfigurationInForce()
        self.orders = orders_module.OrderRegistry()
        self.evacuations = evacuations_module.EvacuationRegistry()
        self.directory = directory_module.ReplicaDirectory(clock=clock)
        self.store_monitor = follower.StoreMonitor(clock=clock)
        unreadable = platform_rows.unreadable_values()
        listeners = {
            OPERATOR: tables.OperatorRows(
                configuration=self.configuration,
                orders=self.orders,
                evacuations=self.evacuations,
                unreadable=unreadable,
            ),
            REPLICAS: tables.ReplicaRows(
                directory=self.directory, unreadable=unreadable
            ),
        }
        self.tables = {
            table: self._shared(table, listener, client)
            for table, listener in listeners.items()
        }
        handlers[name] = peers.PeerHandlers()
        self.gossip = gossip_module.TableGossip(
            instance_id=name,
            inner_address=name,
            data_centre="here",
            tables=self.tables,
            messages=sealed_messages.SealedMessages(
                datagrams=socket.bind(name), seal=SEAL
            ),
            caller=caller,
            handlers=handlers[name],
            deletion_grace=self.directory,
            limiter=bandwidth_limiter.BandwidthLimiter(
                link_mbit_per_s=100.0, clock=clock
            ),
            change_time=3 * SECOND,
            clock=clock,
            random_source=random.Random(name),
        )

    def _shared(
        self,
        table: str,
        listener: follower.TableListener,
        client: store.StoreClient,
    ) -> shared_table.SharedTable:
        copy = table_copy.TableCopy(
            listener=listener,
            ordered_keys=tables.ORDERED_KEYS.get(table, frozenset()),
            is_written_again=lambda: (
                table != OPERATOR or not self.configuration.is_lost_by_store
            ),
            clock=self.clock,
        )
        return shared_table.SharedTable(
            copy=copy,
            table_follower=follower.TableFollower(
                table=store.PlatformTable(client=client, name=table),
                listener=copy,
                store_monitor=self.store_monitor,
                clock=self.clock,
                random_source=random.Random(1),
                wait=datetime.timedelta(),
            ),
            clock=self.clock,
        )

    async def read(self, *, steps: int = 3) -> None:
        """Reads the tables from the store.

        The default is enough to notice that history is gone and read all.
        """
        for _ in range(steps):
            for table in self.tables.values():
                await table.follower.step()

    def settle(self) -> None:
        """Applies what was held back after a restore, if its time is over."""
        for table in self.tables.values():
            table.copy.settle()

    async def hear_from(self, peer: "Instance") -> None:
        """Receives a peer's digest and fetches what it has."""
        peer.gossip._send_digest(local=5, remote=0)
        catching_up = [
            asyncio.ensure_future(self.gossip._keep_caught_up(table))
            for table in self.tables
        ]
        await self.clock.advance(SECOND / 2)
        for task in catching_up:
            task.cancel()

    @property
    def version(self) -> int:
        """The version of the configuration in force."""
        return self.configuration.current.version

    def listed(self) -> list[str]:
        """Returns the known replicas."""
        return sorted(
            replica.entry.replica_id
            for replica in self.directory.of_service("service")
        )


class RestoredStoreCase(unittest.IsolatedAsyncioTestCase):
    """A stand-in store and instances that know each other."""

    async def asyncSetUp(self):
        self.store = users_store.StandInStore()
        await self.store.start()
        self.session = aiohttp.ClientSession()
        self.clock = clock_module.FakeClock()
        self.handlers = {}
        self.receivers = {}
        self.put_configuration(ROUTES)
        self.put_replica("i-1")

    async def asyncTearDown(self):
        await self.session.close()
        await self.store.stop()

    def instance(self, name: str) -> Instance:
        """Returns an instance that has read nothing."""
        return Instance(
            name=name,
            client=store.StoreClient(
                session=self.session, address=self.store.address
            ),
            clock=self.clock,
            handlers=self.handlers,
            caller=fake_peers.FakePeerCaller(handlers=self.handlers),
            socket=fake_peers.FakeDatagrams(
                receivers=self.receivers, dropped=set()
            ),
        )

    def connect(self, *instances: Instance) -> None:
        """Adds all instances to each other's peers."""
        for instance in instances:
            instance.gossip.peers.update(
                {
                    other.gossip._instance_id: other.gossip._instance_id
                    for other in instances
                    if other is not instance
                }
            )

    def put_configuration(self, routes: int) -> None:
        """Writes a configuration, whose version is its number of routes."""
        self.store.put(
            OPERATOR,
            tables.CONFIGURATION_KEY,
            configuration_rows.configuration(routes=routes),
        )

    def put_order(self, version: str) -> None:
        """Orders a roll-out."""
        self.store.put(
            OPERATOR,
            "rollout/service",
            json.dumps(
                {"service": "service", "to": version, "withinS": 20}
            ).encode(),
        )

    def put_replica(self, name: str, **changes) -> None:
        """Writes a replica's entry."""
        number = name.rpartition("-")[2]
        self.store.put(
            REPLICAS,
            name,
            platform_rows.replica_row(address=f"10.0.0.{number}:80", **changes),
        )

    def put_heartbeats(self, count: int) -> None:
        """Has the version grow by writes that change nothing else."""
        for number in range(count):
            self.store.put("other", "key", str(number).encode())
