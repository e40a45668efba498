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
_PLACE_LIFE = datetime.timedelta(seconds=1)


class Place:
    """Leave to write one request.

    Attributes:
        written_by: When it was written, or the latest time it may be.
    """

    __slots__ = ("written_by",)

    def __init__(self, *, written_by: datetime.timedelta):
        self.written_by = written_by

    def write(self, now: datetime.timedelta) -> bool:
        """Takes in that it is written now; False if it is too late for it."""
        if now > self.written_by:
            return False
        self.written_by = now
        return True


class SendWindow:
    """The places taken at one replica that may fall into one second."""

    __slots__ = ("_places",)

    def __init__(self):
        self._places: list[Place] = []

    def taken(self, now: datetime.timedelta) -> int:
        """Returns how many places count now."""
        oldest = now - _WINDOW
        self._places = [p for p in self._places if p.written_by > oldest]
        return len(self._places)

    def take(self, now: datetime.timedelta) -> Place:
        """Takes a place."""
        self.taken(now)
        place = Place(written_by=now + _PLACE_LIFE)
        self._places.append(place)
        return place
