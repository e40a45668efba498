"""Datagrams inside one process, over the links of a `LocalNetwork`.

For tests, benchmarks and the experiment tool, as `inner/local.py` is.
"""

import asyncio
import random as random_module

from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import local


class LocalDatagramNetwork:
    """Passes datagrams between instances of a `LocalNetwork`.

    Cuts, delays, freezes and crashes are those of the network; datagrams may
    also be lost at random.
    """

    __slots__ = (
        "_network",
        "_random",
        "_sockets",
        "_tasks",
        "lost_percent",
    )

    def __init__(
        self,
        *,
        network: local.LocalNetwork,
        random: random_module.Random,
        lost_percent: float = 0,
    ):
        self._network = network
        self._random = random
        self._sockets: dict[str, LocalDatagrams] = {}
        self._tasks: set[asyncio.Task] = set()
        self.lost_percent = lost_percent

    def attach(self, inner_address: str) -> "LocalDatagrams":
        """Returns the socket of an instance, replacing an earlier one."""
        socket = LocalDatagrams(network=self, inner_address=inner_address)
        self._sockets[inner_address] = socket
        return socket

    def detach(self, inner_address: str) -> None:
        """Removes an instance's socket; datagrams in transit to it are lost."""
        self._sockets.pop(inner_address, None)

    def send(self, source: str, target: str, data: bytes) -> None:
        """Sends a datagram, or drops it at random."""
        if self._random.uniform(0, 100) < self.lost_percent:
            return
        task = asyncio.create_task(self._transmit(source, target, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _transmit(self, source: str, target: str, data: bytes) -> None:
        if not await self._network.transmit(source, target):
            return
        socket = self._sockets.get(target)
        if socket is not None:
            socket.receive(data)


class LocalDatagrams(datagrams.Datagrams):
    """One instance's socket."""

    __slots__ = ("_inner_address", "_network", "_receiver")

    def __init__(self, *, network: LocalDatagramNetwork, inner_address: str):
        self._network = network
        self._inner_address = inner_address
        self._receiver: datagrams.Receiver | None = None

    def set_receiver(self, receiver: datagrams.Receiver) -> None:
        """Sets the callback for received datagrams."""
        self._receiver = receiver

    def send(self, inner_address: str, data: bytes) -> None:
        """Sends to another instance of the network."""
        self._network.send(self._inner_address, inner_address, data)

    def receive(self, data: bytes) -> None:
        """Passes a datagram to the receiver."""
        if self._receiver is not None:
            self._receiver(data)
