"""Counts what this instance sends to one replica, in any second.

A request is written up to a connection's time-out after its replica was
chosen, and what reaches the replica depends on when it was written. So each
request takes a place when its replica is chosen, and the place counts as if it
could still be written until it is.
"""

import datetime

# The second of the bound, and what the way to the replica may vary by.
_WINDOW = datetime.timedelta(milliseconds=1100)
# Longer than a connection takes at most.
_SLOT_LIFETIME = datetime.timedelta(seconds=1)


class SendSlot:
    """Leave to write one request.

    Attributes:
        written_by: When it was written, or the latest time it may be.
    """

    __slots__ = ("written_by",)

    def __init__(self, *, written_by: datetime.timedelta):
        self.written_by = written_by

    def try_use(self, now: datetime.timedelta) -> bool:
        """Takes in that it is written now; False if it is too late for it."""
        if now > self.written_by:
            return False
        self.written_by = now
        return True


class SendWindow:
    """The places taken at one replica that may fall into one second."""

    __slots__ = ("_slots",)

    def __init__(self):
        self._slots: list[SendSlot] = []

    def count(self, now: datetime.timedelta) -> int:
        """Returns how many places count now."""
        oldest = now - _WINDOW
        self._slots = [p for p in self._slots if p.written_by > oldest]
        return len(self._slots)

    def reserve(self, now: datetime.timedelta) -> SendSlot:
        """Takes a place."""
        self.count(now)
        slot = SendSlot(written_by=now + _SLOT_LIFETIME)
        self._slots.append(slot)
        return slot
