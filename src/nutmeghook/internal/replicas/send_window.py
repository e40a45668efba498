"""Counts what this instance sends to one replica within a span of time.

A request is written up to a connection timeout after its replica was chosen,
and the replica's load depends on when it is written. So each request reserves a
slot when its replica is chosen, and until it is written the slot counts as if
it were written at the latest possible time.
"""

import datetime

# Longer than the connection timeout.
_SLOT_LIFETIME = datetime.timedelta(seconds=1)
# Longer than the window of any limit that allows more than one request in it.
_RETENTION = datetime.timedelta(seconds=5)


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
    """The recent slots at one replica."""

    __slots__ = ("_slots",)

    def __init__(self):
        self._slots: list[SendSlot] = []

    def count(self, now: datetime.timedelta, window: datetime.timedelta) -> int:
        """Returns how many slots count within the window that ends now."""
        oldest = now - window
        return sum(slot.written_by > oldest for slot in self._slots)

    def room_at(
        self, now: datetime.timedelta, window: datetime.timedelta, most: int
    ) -> datetime.timedelta:
        """Returns when fewer than `most` slots will count, if none is added."""
        oldest = now - window
        counted = sorted(
            slot.written_by for slot in self._slots if slot.written_by > oldest
        )
        if len(counted) < most:
            return now
        return counted[-most] + window

    def reserve(self, now: datetime.timedelta) -> SendSlot:
        """Reserves a slot."""
        self._drop_old(now)
        slot = SendSlot(written_by=now + _SLOT_LIFETIME)
        self._slots.append(slot)
        return slot

    def _drop_old(self, now: datetime.timedelta) -> None:
        """Drops slots that no limit counts, but never the latest one.

        A limit of one request in a longer window needs the latest only.
        """
        oldest = now - _RETENTION
        latest = max(
            self._slots, key=lambda slot: slot.written_by, default=None
        )
        self._slots = [
            slot
            for slot in self._slots
            if slot.written_by > oldest or slot is latest
        ]
