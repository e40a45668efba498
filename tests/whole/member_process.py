"""A process that only runs the membership service.

It prints a JSON line at its start and for each reported change.
"""

import asyncio
import datetime
import json
import os
import random
import sys

import uvloop

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import tcp_client
from nutmeghook.internal.inner import tcp_server
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.membership import local_fleet
from nutmeghook.internal.membership import members
from nutmeghook.internal.membership import service as service_module
from nutmeghook.internal.membership import timing
from nutmeghook.internal.observe import events

CREDENTIAL = "of the test"
TIMING = timing.Timing(
    probe_period=datetime.timedelta(milliseconds=200),
    direct_timeout=datetime.timedelta(milliseconds=300),
    indirect_timeout=datetime.timedelta(milliseconds=600),
    discovery_period=datetime.timedelta(milliseconds=400),
    settle=datetime.timedelta(seconds=1),
    sync_period=datetime.timedelta(seconds=2),
)


def say(kind: str, **facts: str) -> None:
    """Prints one line."""
    print(json.dumps({"kind": kind, **facts}), flush=True)


async def bind(
    server: tcp_server.TcpServer, udp: datagrams.UdpDatagrams, port: int
) -> str:
    """Listens on one port over TCP and UDP, and returns the address.

    TCP is bound first, so that the system chooses a port that no TCP connection
    uses as its local port; for UDP it does not check that, and one process in
    24 failed when UDP was bound first. The retry is for a restart at a given
    port, which such a connection may use meanwhile.
    """
    while True:
        try:
            address = await server.start(host="127.0.0.1", port=port)
            taken = int(address.rpartition(":")[2])
            return await udp.start(host="127.0.0.1", port=taken)
        except OSError:
            await asyncio.sleep(0.1)


async def main(port: int, seed_addresses: tuple[str, ...]) -> None:
    """Runs until killed."""
    clock = clock_module.SystemClock()
    traffic = traffic_module.Traffic()
    handlers = peers.PeerHandlers()
    server = tcp_server.TcpServer(
        clock=clock, handlers=handlers, credential=CREDENTIAL, traffic=traffic
    )
    udp = datagrams.UdpDatagrams()
    address = await bind(server, udp, port)
    instance_list = local_fleet.SettableInstanceList()
    instance_list.is_out = True
    service = service_module.MembershipService(
        myself=members.Member(
            inner_address=address,
            incarnation=os.urandom(6).hex(),
            region="r",
            data_centre="d",
        ),
        clock=clock,
        random=random.Random(),
        instance_list=instance_list,
        seed_addresses=seed_addresses,
        caller=tcp_client.TcpPeerCaller(
            clock=clock,
            credential=CREDENTIAL,
            traffic=traffic,
            random=random.Random(),
        ),
        handlers=handlers,
        datagrams=udp,
        credential=CREDENTIAL,
        traffic=traffic,
        events=events.EventRing(clock=clock),
        timing=TIMING,
    )
    service.on_change(
        lambda member: say(
            "change",
            address=member.inner_address,
            health=member.health.name,
            incarnation=member.incarnation,
        )
    )
    say("ready", address=address, incarnation=service.myself.incarnation)
    await service.run()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), tuple(sys.argv[2:])))
