"""An instance's datagrams: delivered at once, held or dropped by a test."""

from nutmeghook.internal.inner import datagrams


class LossyDatagrams(datagrams.Datagrams):
    """One instance's socket.

    Attributes:
        loses: Drops everything that is sent.
        holds: Holds what is sent until `deliver` is called.
    """

    def __init__(self, *, receivers: dict, own: str):
        self._receivers = receivers
        self._own = own
        self._held: list[tuple[str, bytes]] = []
        self.loses = False
        self.holds = False

    def set_receiver(self, receiver) -> None:
        self._receivers[self._own] = receiver

    def send(self, inner_address: str, data: bytes) -> None:
        if self.holds:
            self._held.append((inner_address, data))
        elif not self.loses:
            self._receivers[inner_address](data)

    def deliver(self) -> None:
        """Delivers what was held."""
        held, self._held = self._held, []
        for inner_address, data in held:
            self._receivers[inner_address](data)
