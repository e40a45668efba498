"""Datagrams and calls between the instances of one test."""

from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import peers


class FakeDatagrams(datagrams.Datagrams):
    """Datagrams between the instances of a test; chosen ones are dropped."""

    def __init__(self, *, receivers, dropped):
        self._receivers = receivers
        self._dropped = dropped
        self._own = None

    def bind(self, address: str) -> "FakeDatagrams":
        """Returns the socket of an instance."""
        self._own = address
        return self

    def set_receiver(self, receiver) -> None:
        self._receivers[self._own] = receiver

    def send(self, inner_address: str, data: bytes) -> None:
        if (self._own, inner_address) not in self._dropped:
            self._receivers[inner_address](data)


class FakePeerCaller(peers.PeerCaller):
    """Calls between the instances of a test."""

    def __init__(self, *, handlers, ended=frozenset()):
        self._handlers = handlers
        self._ended = ended
        self.made = 0

    async def call(self, inner_address, request, *, timeout):
        self.made += 1
        if inner_address in self._ended:
            raise peers.PeerNotListeningError("refused")
        if inner_address not in self._handlers:
            raise peers.PeerUnreachableError("no reply")
        handler = self._handlers[inner_address].handler_for(request)
        return await handler(request)
