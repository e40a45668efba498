"""Elects the instances that read the store, without coordination.

Each instance has a priority, a hash of its id as in rendezvous hashing; lower
numbers come first. An instance reads unless it knows `READER_COUNT` live peers
with lower numbers. Digests carry the lowest ones that their senders know to be
live, so three instances read in a fleet of any size.
"""

from collections.abc import Iterable
import datetime

import xxhash

from nutmeghook.internal.foundation import clock as clock_module

# Each reader makes a call for each change and each wait of its feed. One that
# dies is replaced within `LIVENESS_WINDOW`; two others read meanwhile. If the
# store refuses all of them at once, their confirmations age until others read
# for themselves (see `gossip`).
READER_COUNT = 3
LIVENESS_WINDOW = datetime.timedelta(milliseconds=1300)
# Up to this size an instance receives digests from all others within a second.
# In a larger fleet a reader's liveness takes up to three hops to spread.
_SMALL_FLEET = 12
_LARGE_FLEET_LIVENESS_WINDOW = datetime.timedelta(milliseconds=2200)
# More than there are readers, to know who replaces those that die.
_MAX_PRIORITIES_SENT = 8
_MILLISECOND = datetime.timedelta(milliseconds=1)


def priority_of(instance_id: str) -> int:
    """Returns an instance's priority, a hash of its id; lower comes first."""
    return xxhash.xxh32_intdigest(instance_id.encode()) >> 1


def is_large(fleet_size: int) -> bool:
    """Tells whether most instances are known only through other peers."""
    return fleet_size > _SMALL_FLEET


class ReaderElection:
    """Tracks which instances with the lowest priority numbers are live."""

    __slots__ = ("_clock", "_last_seen", "_priority")

    def __init__(self, *, instance_id: str, clock: clock_module.Clock):
        self._priority = priority_of(instance_id)
        self._clock = clock
        # By priority, when its instance was last known to be live; only the
        # lowest numbers.
        self._last_seen: dict[int, datetime.timedelta] = {}

    def is_reader(self, *, fleet_size: int) -> bool:
        """Tells whether too few instances with lower numbers are live."""
        return self._rank(fleet_size) < READER_COUNT

    def time_until_turn(
        self,
        store_time: datetime.timedelta,
        *,
        period: datetime.timedelta,
        fleet_size: int,
    ) -> datetime.timedelta:
        """Returns how long until this instance's call is to return.

        The readers' calls return in turn by the store's clock, which all of
        them know. After a change all return together, and would go on so.

        Args:
            store_time: The store's monotonic time now.
            period: In which each reader has one turn.
            fleet_size: The number of instances.
        """
        turns = min(READER_COUNT, fleet_size)
        phase = period * (self._rank(fleet_size) % turns) / turns
        return period - (store_time - phase) % period

    def _rank(self, fleet_size: int) -> int:
        """Returns how many live instances have lower numbers."""
        live = self.live_priorities(fleet_size=fleet_size)
        return sum(priority < self._priority for priority in live)

    def note_digest(
        self,
        sender_id: str | None,
        priorities: Iterable[int],
        ages_ms: Iterable[int],
        *,
        fleet_size: int,
    ) -> None:
        """Records a digest's sender and the live instances that it lists.

        A sender that can't reach the store is passed as None; it does not count
        and is replaced like one that died.
        """
        now = self._clock.monotonic()
        if sender_id is not None:
            self._note_live(priority_of(sender_id), now)
        for priority, age_ms in zip(priorities, ages_ms, strict=False):
            if age_ms >= 0 and priority != self._priority:
                self._note_live(priority, now - age_ms * _MILLISECOND)
        self._last_seen = self.live_priorities(fleet_size=fleet_size)

    def live_priorities(
        self, *, fleet_size: int
    ) -> dict[int, datetime.timedelta]:
        """Returns the lowest live priorities and when each was last seen."""
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

    def _note_live(self, priority: int, at: datetime.timedelta) -> None:
        known = self._last_seen.get(priority)
        if known is None or at > known:
            self._last_seen[priority] = at
