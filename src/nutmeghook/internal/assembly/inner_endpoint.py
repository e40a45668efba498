"""An instance's endpoint for other instances: TCP, UDP and membership."""

import datetime
import random

from nutmeghook.internal.clients import bounds
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import identifiers
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import tcp_client
from nutmeghook.internal.inner import tcp_server
from nutmeghook.internal.inner import traffic
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import service as membership_service
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.settings import loading

_CLOSE_GRACE = datetime.timedelta(seconds=2)
_PORT_TRIES = 20


class InnerEndpoint:
    """Listens on one port number over TCP and UDP, and runs the membership.

    Attributes:
        membership: Set by `start`, as it needs the instance's address.
        address: `ip:port` of both sockets; set by `start`.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_datagrams",
        "_server",
        "_settings",
        "address",
        "caller",
        "handlers",
        "membership",
        "traffic",
    )

    def __init__(
        self,
        *,
        settings: loading.Settings,
        client_bounds: bounds.ClientBounds,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._settings = settings
        self._bounds = client_bounds
        self._clock = clock
        self.traffic = traffic.Traffic()
        self.handlers = peers.PeerHandlers()
        self.caller = tcp_client.TcpPeerCaller(
            clock=clock,
            credential=settings.text("inner_credential"),
            traffic=self.traffic,
            random=random_source,
        )

    async def start(
        self,
        *,
        ids: identifiers.IdentifierSource,
        instance_list: instances.InstanceList,
        random_source: random.Random,
        events: events_module.EventRing,
    ) -> None:
        """Binds both sockets and builds the membership."""
        await self._bind()
        self.membership = membership_service.MembershipService(
            myself=members_module.Member(
                inner_address=self.address,
                incarnation=ids.incarnation,
                region=self._settings.text("region"),
                data_centre=self._settings.text("data_centre"),
            ),
            clock=self._clock,
            random=random_source,
            instance_list=instance_list,
            seed_addresses=tuple(self._settings.addresses("seed_addresses")),
            caller=self.caller,
            handlers=self.handlers,
            datagrams=self._datagrams,
            credential=self._settings.text("inner_credential"),
            traffic=self.traffic,
            events=events,
        )

    async def _bind(self) -> None:
        """Binds TCP and UDP to the same port number.

        If the system chooses it (port 0), the number that TCP got may be in use
        over UDP; another is tried then.
        """
        host, _, port = self._settings.text("inner_address").rpartition(":")
        for tries_left in reversed(range(_PORT_TRIES)):
            self._server = tcp_server.TcpServer(
                clock=self._clock,
                handlers=self.handlers,
                credential=self._settings.text("inner_credential"),
                traffic=self.traffic,
                max_connections=self._bounds.peers,
                max_strangers=self._bounds.strangers,
            )
            self.address = await self._server.start(host=host, port=int(port))
            self._datagrams = datagrams.UdpDatagrams()
            bound_port = int(self.address.rpartition(":")[2])
            try:
                await self._datagrams.start(host=host, port=bound_port)
            except OSError:
                await self._server.close(grace=_CLOSE_GRACE)
                if int(port) or not tries_left:
                    raise
            else:
                return

    async def close(self) -> None:
        """Announces the end to the others and closes all connections."""
        self.membership.announce_end()
        await self._server.close(grace=_CLOSE_GRACE)
        await self.caller.close(grace=_CLOSE_GRACE)
        self._datagrams.close()
