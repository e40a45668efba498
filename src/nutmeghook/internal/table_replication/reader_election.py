"""Which instances read the store, without appointing any.

Each instance has a rank by a hash of its id, and reads unless it knows enough
peers of lower rank to live. Digests carry the lowest ranks that their senders
know, so three of a fleet of any size read.
"""

from collections.abc import Iterable
import datetime

import xxhash

from nutmeghook.internal.foundation import clock as clock_module

# Each is a call for each change and each wait of its feed. One that dies is
# replaced within `LIVENESS_WINDOW`; two others read meanwhile. The store may
# turn all of them away at once; then their proofs grow old, and others read
# for themselves in time (see `gossip`).
READER_COUNT = 3
LIVENESS_WINDOW = datetime.timedelta(milliseconds=1300)
# In a fleet of this size each instance hears all others within a second. In a
# larger one word of a reader takes up to three digests to arrive.
_SMALL_FLEET = 12
_LARGE_FLEET_LIVENESS_WINDOW = datetime.timedelta(milliseconds=2200)
# Ranks told: a few more than read, to replace those that die.
_MAX_PRIORITIES_SENT = 8
_MILLISECOND = datetime.timedelta(milliseconds=1)


def priority_of(instance_id: str) -> int:
    """Places an instance among the others; neighbours by name lie apart."""
    return xxhash.xxh32_intdigest(instance_id.encode()) >> 1


def is_large(fleet_size: int) -> bool:
    """Tells whether each instance hears the others by hearsay only."""
    return fleet_size > _SMALL_FLEET


class ReaderElection:
    """Knows which instances of low rank live."""

    __slots__ = ("_clock", "_last_seen", "_priority")

    def __init__(self, *, instance_id: str, clock: clock_module.Clock):
        self._priority = priority_of(instance_id)
        self._clock = clock
        # When the instance of a rank was last known to live; the lowest only.
        self._last_seen: dict[int, datetime.timedelta] = {}

    def is_reader(self, *, fleet_size: int) -> bool:
        """Tells whether too few of lower rank live."""
        live = self.live_priorities(fleet_size=fleet_size)
        lower = sum(priority < self._priority for priority in live)
        return lower < READER_COUNT

    def record_digest(
        self,
        sender_id: str | None,
        priorities: Iterable[int],
        ages_ms: Iterable[int],
        *,
        fleet_size: int,
    ) -> None:
        """Takes in a digest's sender, and whom the sender knows to live.

        A reader that is out of touch with the store does not count (None), and
        is replaced like one that died.
        """
        now = self._clock.monotonic()
        if sender_id is not None:
            self._record_live(priority_of(sender_id), now)
        for priority, age_ms in zip(priorities, ages_ms, strict=False):
            if age_ms >= 0 and priority != self._priority:
                self._record_live(priority, now - age_ms * _MILLISECOND)
        self._last_seen = self.live_priorities(fleet_size=fleet_size)

    def live_priorities(
        self, *, fleet_size: int
    ) -> dict[int, datetime.timedelta]:
        """Returns the lowest ranks known to live and when, lowest first."""
        window = LIVENESS_WINDOW
        if is_large(fleet_size):
            window = _LARGE_FLEET_LIVENESS_WINDOW
        oldest = self._clock.monotonic() - window
        live = sorted(
            (priority, at)
            for priority, at in self._last_seen.items()
            if at >= oldest
        )
        return dict(live[:_MAX_PRIORITIES_SENT])

    def _record_live(self, priority: int, at: datetime.timedelta) -> None:
        known = self._last_seen.get(priority)
        if known is None or at > known:
            self._last_seen[priority] = at
