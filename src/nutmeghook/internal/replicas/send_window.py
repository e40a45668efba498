"""Limits what this instance sends to one replica within any second.

A request is written up to a connection timeout after its replica was chosen,
and the replica's load depends on when it is written. So each request reserves a
slot when its replica is chosen, and until it is written the slot counts as if
it were written at the latest possible time.
"""

import datetime

# The second of the limit, and 100 ms for varying network delay.
_WINDOW = datetime.timedelta(milliseconds=1100)
# Longer than the connection timeout.
_SLOT_LIFETIME = datetime.timedelta(seconds=1)


class SendSlot:
    """Permission to write one request.

    Attributes:
        written_by: Monotonic time at which the request was written, or may be
            at the latest.
    """

    __slots__ = ("written_by",)

    def __init__(self, *, written_by: datetime.timedelta):
        self.written_by = written_by

    def try_use(self, now: datetime.timedelta) -> bool:
        """Records that the request is written now; False if it is too late."""
        if now > self.written_by:
            return False
        self.written_by = now
        return True


class SendWindow:
    """The slots at one replica that may fall into the same second."""

    __slots__ = ("_slots",)

    def __init__(self):
        self._slots: list[SendSlot] = []

    def count(self, now: datetime.timedelta) -> int:
        """Returns how many slots count now."""
        oldest = now - _WINDOW
        self._slots = [p for p in self._slots if p.written_by > oldest]
        return len(self._slots)

    def reserve(self, now: datetime.timedelta) -> SendSlot:
        """Reserves a slot."""
        self.count(now)
        slot = SendSlot(written_by=now + _SLOT_LIFETIME)
        self._slots.append(slot)
        return slot
