"""Limits how often a repeated event is logged."""

import collections
from collections.abc import Hashable
import datetime

from nutmeghook.internal.foundation import clock as clock_module

# Each key is logged once in this time.
PERIOD = datetime.timedelta(minutes=1)
# Keys that are remembered; the oldest is forgotten first. A fleet of 4,400
# replicas that all send one value that can't be read logs at most 74 lines a
# second over all instances.
_MAX_KEYS = 1000


class LogLimiter:
    """Tells whether an event is to be logged again."""

    __slots__ = ("_clock", "_logged_at")

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        # The latest at the end.
        self._logged_at: collections.OrderedDict[
            Hashable, datetime.timedelta
        ] = collections.OrderedDict()

    def is_due(self, key: Hashable) -> bool:
        """Tells whether an event is to be logged now; then it counts."""
        now = self._clock.monotonic()
        logged_at = self._logged_at.get(key)
        if logged_at is not None and now - logged_at < PERIOD:
            return False
        self._logged_at[key] = now
        self._logged_at.move_to_end(key)
        if len(self._logged_at) > _MAX_KEYS:
            self._logged_at.popitem(last=False)
        return True
