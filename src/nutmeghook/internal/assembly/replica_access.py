"""How a router reaches replicas, and helps its peers to reach them."""

import asyncio
from collections.abc import Callable
import random

from nutmeghook.internal.assembly import gossip_members
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.observe import surplus_answers
from nutmeghook.internal.table_replication import gossip as gossip_module
from nutmeghook.internal.tunnels import client as client_module
from nutmeghook.internal.tunnels import server as server_module
from nutmeghook.internal.upstream import dialer as dialer_module
from nutmeghook.internal.upstream import pool as pool_module


class ReplicaAccess:
    """The connection pool, and both ends of tunnels.

    Args:
        is_replica: Returns whether an address is a listed replica's.
        is_leaving: Returns whether this instance was asked to stop.
        data_centre: This instance's.
        region_of: Returns a data centre's region, or None if it is unknown.
        dialer: Opens connections to replicas; None for TCP connections.
        metrics: Counts surplus answers.
        clock: Measures time.
        loop: The event loop.

    Attributes:
        pool: Connections to replicas, some of them tunnels.
        server: Opens tunnels for peers.
        traffic: Traffic between this instance and its peers.
    """

    __slots__ = (
        "_client",
        "_data_centre",
        "_region_of",
        "pool",
        "server",
        "traffic",
    )

    def __init__(
        self,
        *,
        is_replica: Callable[[str], bool],
        is_leaving: Callable[[], bool],
        data_centre: str,
        region_of: Callable[[str], str | None],
        dialer: dialer_module.Dialer | None,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
        loop: asyncio.AbstractEventLoop,
    ):
        dialer = dialer or dialer_module.TcpDialer(loop=loop)
        self._data_centre = data_centre
        self._region_of = region_of
        self.traffic = traffic_module.Traffic()
        self._client = client_module.PeerTunnels(loop=loop, clock=clock)
        self.pool = pool_module.ConnectionPool(
            loop=loop,
            clock=clock,
            dialer=dialer,
            tunnels=self._client,
            surplus=surplus_answers.SurplusAnswers(
                metrics=metrics, clock=clock
            ),
        )
        self.server = server_module.TunnelServer(
            is_replica=is_replica,
            is_leaving=is_leaving,
            dialer=dialer,
            paths=self.pool.paths,
            clock=clock,
            traffic=self.traffic,
        )

    def connect(
        self,
        *,
        gossip: gossip_module.TableGossip,
        credential: str,
        random_source: random.Random,
    ) -> None:
        """Names the peers to ask, once this instance is registered."""
        self._client.connect(
            helpers=gossip_members.GossipHelpers(
                gossip=gossip,
                data_centre=self._data_centre,
                region_of=self._region_of,
                random_source=random_source,
            ),
            credential=credential,
            traffic=self.traffic,
        )
