"""An instance's datagrams, delivered at once or dropped, as a test sets."""

from nutmeghook.internal.inner import datagrams


class LossyDatagrams(datagrams.Datagrams):
    """One instance's socket.

    Attributes:
        loses: Drops everything that is sent.
    """

    def __init__(self, *, receivers: dict, own: str):
        self._receivers = receivers
        self._own = own
        self.loses = False

    def set_receiver(self, receiver) -> None:
        self._receivers[self._own] = receiver

    def send(self, inner_address: str, data: bytes) -> None:
        if not self.loses:
            self._receivers[inner_address](data)
