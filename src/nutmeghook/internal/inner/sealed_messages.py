"""One-way messages in authenticated datagrams."""

from typing import Any

from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import datagrams as datagrams_module
from nutmeghook.internal.inner import messages
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.observe import logs


class SealedMessages(messages.Messages):
    """Sends messages and dispatches received ones by type.

    A datagram that fails authentication is dropped, and so is a message without
    a handler, which a newer version may send.
    """

    __slots__ = ("_datagrams", "_handlers", "_seal", "_traffic")

    def __init__(
        self,
        *,
        datagrams: datagrams_module.Datagrams,
        seal: datagrams_module.Seal,
        traffic: traffic_module.Traffic | None = None,
    ):
        self._datagrams = datagrams
        self._seal = seal
        self._traffic = traffic or traffic_module.Traffic()
        self._handlers: dict[type, messages.Handler] = {}
        datagrams.set_receiver(self._receive)

    def register(self, message_type: type, handler: messages.Handler) -> None:
        """Registers the handler for messages of a type."""
        self._handlers[message_type] = handler

    def send(self, inner_addresses: list[str], message: Any) -> None:
        """Sends one message to several instances."""
        encoded = codec.encode(message, sequence=0)
        data = self._seal.wrap(encoded.data)
        size_bytes = datagrams_module.HEADER_BYTES + len(data)
        for inner_address in inner_addresses:
            self._traffic.count_sent(encoded.kind, size_bytes)
            self._datagrams.send(inner_address, data)

    def _receive(self, datagram: bytes) -> None:
        try:
            received = codec.decode(self._seal.unwrap(datagram))
        except codec.MalformedError as error:
            self._note_unreadable(error)
            return
        self._traffic.count_received(
            received.kind, datagrams_module.HEADER_BYTES + len(datagram)
        )
        handler = self._handlers.get(type(received.message))
        if handler is None:
            return
        try:
            handler(received.message)
        except Exception as error:
            # Fields may be missing, or hold what no handler expects. The
            # transport closes its socket on an exception.
            self._note_unreadable(error)

    def _note_unreadable(self, error: Exception) -> None:
        """Counts a datagram, and logs it while there are few.

        Anyone who reaches the port can send such datagrams at any rate, so only
        the counts that are powers of two are logged.
        """
        self._traffic.unreadable += 1
        count = self._traffic.unreadable
        if count & (count - 1) == 0:
            logs.note("peer:bad_datagram", error=str(error), count=count)
