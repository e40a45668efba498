"""Counts traffic between instances by message kind, to check its budget."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class KindTraffic:
    """Messages and bytes of one kind, framing included."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


class Traffic:
    """Counts of one process since its start; replies have their own kinds.

    Attributes:
        unreadable: Datagrams that were dropped unread.
    """

    __slots__ = ("_kinds", "unreadable")

    def __init__(self):
        self.unreadable = 0
        self._kinds: dict[str, KindTraffic] = {}

    def count_sent(self, kind: str, size_bytes: int) -> None:
        """Counts a message that was passed to the network."""
        entry = self._kinds.setdefault(kind, KindTraffic())
        entry.sent_messages += 1
        entry.sent_bytes += size_bytes

    def count_received(self, kind: str, size_bytes: int) -> None:
        """Counts a message that was received and decoded."""
        entry = self._kinds.setdefault(kind, KindTraffic())
        entry.received_messages += 1
        entry.received_bytes += size_bytes

    def kinds(self) -> dict[str, KindTraffic]:
        """Returns copies of the counts, by kind."""
        return {
            kind: dataclasses.replace(entry)
            for kind, entry in self._kinds.items()
        }

    def total(self) -> KindTraffic:
        """Returns the sum over all kinds."""
        total_traffic = KindTraffic()
        for entry in self._kinds.values():
            total_traffic.sent_messages += entry.sent_messages
            total_traffic.sent_bytes += entry.sent_bytes
            total_traffic.received_messages += entry.received_messages
            total_traffic.received_bytes += entry.received_bytes
        return total_traffic
