"""A router's connection to its peers: registration, sockets, gossip."""

import asyncio
from collections.abc import Callable
import datetime
import random

from nutmeghook.internal.assembly import gossip_members
from nutmeghook.internal.assembly import replica_access
from nutmeghook.internal.clients import bounds
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import addresses
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner import tcp_client
from nutmeghook.internal.inner import tcp_server
from nutmeghook.internal.limits import share_gossip
from nutmeghook.internal.limits import team_shares as team_shares_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.relay import admission
from nutmeghook.internal.replicas import backlog_gossip
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import load_gossip
from nutmeghook.internal.replicas import loan_gossip
from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.replicas import share_loans
from nutmeghook.internal.replicas import signal_gossip
from nutmeghook.internal.replicas import signal_registry
from nutmeghook.internal.replicas import speed_gossip
from nutmeghook.internal.replicas import speed_registry
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.routes import peer_configurations
from nutmeghook.internal.suspects import gossip as suspect_gossip
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.table_replication import bandwidth_limiter
from nutmeghook.internal.table_replication import gossip as gossip_module
from nutmeghook.internal.table_replication import registration
from nutmeghook.internal.table_replication import shared_table
from nutmeghook.internal.version_plans import gossip as rollout_gossip
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.internal.version_plans import rollouts as rollouts_module

# One log line each; negligible beside the lines of requests.
_TRAFFIC_LOG_PERIOD = datetime.timedelta(seconds=10)
_CLOSE_GRACE = datetime.timedelta(milliseconds=200)


class RouterPeers:
    """Gossips with the peers, once this instance is registered.

    Until the store has answered once, an instance has no peers. It works
    without them, with more calls to the store.

    Attributes:
        registry: This instance's rows in the store.
        traffic: Traffic between this instance and its peers.
    """

    __slots__ = (
        "_access",
        "_bounds",
        "_change_time",
        "_clock",
        "_configuration",
        "_configurations",
        "_data_centre",
        "_decode_configuration",
        "_directory",
        "_gossip",
        "_inner_address",
        "_instance_id",
        "_link_mbit_per_s",
        "_loans",
        "_orders",
        "_random",
        "_rollouts",
        "_senders",
        "_signals",
        "_speeds",
        "_suspects",
        "_tables",
        "_team_shares",
        "registry",
        "traffic",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        inner_address: str,
        client_bounds: bounds.ClientBounds,
        data_centre: str,
        link_mbit_per_s: float,
        change_time: datetime.timedelta,
        table: table_module.TableService,
        tables: dict[str, shared_table.SharedTable],
        configuration: in_force_module.ConfigurationInForce,
        decode_configuration: Callable[[bytes], model.Configuration],
        directory: directory_module.ReplicaDirectory,
        senders: sender_election.SenderElection,
        loans: share_loans.ShareLoans,
        rollouts: rollouts_module.RollOuts,
        orders: orders_module.OrderRegistry,
        signals: signal_registry.SignalRegistry,
        speeds: speed_registry.SpeedRegistry,
        suspects: registry_module.SuspectRegistry,
        team_shares: team_shares_module.TeamShares,
        access: replica_access.ReplicaAccess,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._access = access
        self._bounds = client_bounds
        self._instance_id = instance_id
        self._inner_address = inner_address
        self.registry = registration.InstanceRegistry(
            table=table,
            instance_id=instance_id,
            inner_address=inner_address,
            data_centre=data_centre,
        )
        self._tables = tables
        self._data_centre = data_centre
        self._link_mbit_per_s = link_mbit_per_s
        self._change_time = change_time
        self._configuration = configuration
        self._decode_configuration = decode_configuration
        self._configurations: peer_configurations.PeerConfigurations | None = (
            None
        )
        self._directory = directory
        self._senders = senders
        self._loans = loans
        self._rollouts = rollouts
        self._orders = orders
        self._signals = signals
        self._speeds = speeds
        self._suspects = suspects
        self._team_shares = team_shares
        team_shares.fleet_size = lambda: self.fleet_size
        signals.brittle.fleet_size = lambda: self.fleet_size
        self._clock = clock
        self._random = random_source
        self._gossip: gossip_module.TableGossip | None = None
        self.traffic = access.traffic

    @property
    def fleet_size(self) -> int:
        """Number of instances seen recently, this one included."""
        if self._gossip is None:
            return 1
        return self._gossip.live_fleet_size()

    def is_unconfirmed(self, name: str) -> bool:
        """Tells whether nothing young proves that a table is the newest."""
        return self._gossip is not None and self._gossip.is_unconfirmed(name)

    def configuration_behind_for(self, name: str) -> datetime.timedelta | None:
        """Returns for how long a newer configuration has been known.

        Args:
            name: The table of the configuration.

        Returns:
            None if no peer has one.
        """
        if self._gossip is None or self._configurations is None:
            return None
        lags = (
            self._gossip.behind_for(name),
            self._configurations.behind_for(),
        )
        return max((lag for lag in lags if lag is not None), default=None)

    async def follow_once(self, name: str) -> None:
        """Reads a table once, or waits briefly if peers read it."""
        await gossip_module.follow_once(
            self._tables[name], self._gossip, self._clock
        )

    async def run(self) -> None:
        """Registers this instance and gossips until cancelled."""
        registered = await registration.register_eventually(
            self.registry, clock=self._clock, random_source=self._random
        )
        udp = datagrams.UdpDatagrams()
        handlers = peers.PeerHandlers()
        caller = tcp_client.TcpPeerCaller(
            clock=self._clock,
            credential=registered.credential,
            traffic=self.traffic,
            random=self._random,
        )
        server = tcp_server.TcpServer(
            clock=self._clock,
            handlers=handlers,
            credential=registered.credential,
            traffic=self.traffic,
            max_connections=self._bounds.peers,
            max_strangers=self._bounds.strangers,
            tunnels=self._access.server,
        )
        host, port = addresses.split(self._inner_address)
        await server.start(host=host, port=port)
        await udp.start(host=host, port=port)
        messages = sealed_messages.SealedMessages(
            datagrams=udp,
            seal=datagrams.Seal(credential=registered.credential),
            traffic=self.traffic,
        )
        self._gossip = gossip_module.TableGossip(
            instance_id=self._instance_id,
            inner_address=self._inner_address,
            data_centre=self._data_centre,
            tables=self._tables,
            messages=messages,
            caller=caller,
            handlers=handlers,
            deletion_grace=self._directory,
            limiter=bandwidth_limiter.BandwidthLimiter(
                link_mbit_per_s=self._link_mbit_per_s, clock=self._clock
            ),
            change_time=self._change_time,
            clock=self._clock,
            random_source=self._random,
            opens_tunnels=lambda: self._access.server.is_able,
        )
        self._access.connect(
            gossip=self._gossip,
            credential=registered.credential,
            random_source=self._random,
        )
        self._gossip.add_registered(registered.peers)
        self._senders.register(
            gossip_members.GossipMembers(gossip=self._gossip)
        )
        self._configurations = peer_configurations.PeerConfigurations(
            inner_address=self._inner_address,
            configuration=self._configuration,
            decode=self._decode_configuration,
            registered_addresses=lambda: list(self._gossip.peers.values()),
            sample_peers=lambda: self._gossip.sample_live_addresses(
                local=peer_configurations.LOCAL_FANOUT,
                remote=peer_configurations.REMOTE_FANOUT,
            ),
            caller=caller,
            handlers=handlers,
            messages=messages,
            clock=self._clock,
            random_source=self._random,
        )
        logs.note("peer:registered", peers=sorted(registered.peers))
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._gossip.run())
                tasks.create_task(self._configurations.run())
                tasks.create_task(self._note_traffic())
                for sender in self._build_senders(messages, self._gossip):
                    tasks.create_task(sender.run())
        finally:
            udp.close()
            await asyncio.gather(
                caller.close(grace=_CLOSE_GRACE),
                server.close(grace=_CLOSE_GRACE),
            )

    async def _note_traffic(self) -> None:
        """Logs the bytes sent to peers periodically, until cancelled."""
        while True:
            await self._clock.sleep(_TRAFFIC_LOG_PERIOD)
            kinds = self.traffic.kinds()
            logs.note(
                "peer:traffic",
                sent_bytes={k: c.sent_bytes for k, c in kinds.items()},
                peers_known=len(self._gossip.peers),
                peers_live=self._gossip.live_fleet_size() - 1,
            )

    def _build_senders(
        self,
        messages: sealed_messages.SealedMessages,
        gossip: gossip_module.TableGossip,
    ) -> tuple[gossip_senders.GossipSender, ...]:
        """Returns the senders of state that is not in tables."""
        common = {
            "messages": messages,
            "clock": self._clock,
            "random_source": self._random,
        }
        return (
            load_gossip.ReplicaLoadGossip(
                directory=self._directory,
                local_addresses=gossip.local_addresses,
                **common,
            ),
            backlog_gossip.BacklogGossip(
                instance_id=self._instance_id,
                directory=self._directory,
                sample_peers=lambda: gossip.sample_live_addresses(
                    local=backlog_gossip.LOCAL_FANOUT,
                    remote=backlog_gossip.REMOTE_FANOUT,
                ),
                **common,
            ),
            share_gossip.ShareGossip(
                instance_id=self._instance_id,
                shares=self._team_shares,
                sample_peers=lambda: gossip.sample_live_addresses(
                    local=share_gossip.LOCAL_FANOUT,
                    remote=share_gossip.REMOTE_FANOUT,
                ),
                observe=admission.ServiceOccupancy(
                    configuration=self._configuration,
                    directory=self._directory,
                    shares=self._team_shares,
                    clock=self._clock,
                ).observe_all,
                **common,
            ),
            rollout_gossip.RollOutGossip(
                instance_id=self._instance_id,
                rollouts=self._rollouts,
                orders=self._orders,
                addresses=lambda: list(gossip.peers.values()),
                **common,
            ),
            signal_gossip.SignalGossip(
                registry=self._signals,
                sample_peers=gossip.sample_live_addresses,
                **common,
            ),
            speed_gossip.SpeedGossip(
                registry=self._speeds,
                sample_peers=lambda: gossip.sample_live_addresses(
                    local=speed_gossip.LOCAL_FANOUT,
                    remote=speed_gossip.REMOTE_FANOUT,
                ),
                **common,
            ),
            loan_gossip.LoanGossip(
                instance_id=self._instance_id,
                loans=self._loans,
                senders=self._senders,
                directory=self._directory,
                addresses=lambda: gossip.peers,
                **common,
            ),
            suspect_gossip.SuspectGossip(
                registry=self._suspects,
                sample_peers=gossip.sample_live_addresses,
                **common,
            ),
        )
