"""Opens connections to replicas over this instance's own network."""

import abc
import asyncio
from collections.abc import Callable
from typing import TypeVar

_P = TypeVar("_P", bound=asyncio.BaseProtocol)


class Dialer(abc.ABC):
    """Opens single connections."""

    __slots__ = ()

    @abc.abstractmethod
    async def dial(
        self, address: str, factory: Callable[[], _P]
    ) -> tuple[asyncio.Transport, _P]:
        """Returns a new connection to `ip:port` and its protocol.

        Raises:
            OSError: The address refuses it, or there is no route.
        """


class TcpDialer(Dialer):
    """Opens TCP connections."""

    __slots__ = ("_loop",)

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        self._loop = loop

    async def dial(
        self, address: str, factory: Callable[[], _P]
    ) -> tuple[asyncio.Transport, _P]:
        """Returns a new connection to `ip:port` and its protocol."""
        host, _, port = address.rpartition(":")
        return await self._loop.create_connection(factory, host, int(port))
