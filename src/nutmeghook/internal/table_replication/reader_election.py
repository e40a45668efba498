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
# replaced within `HEARD_RECENTLY`; two others read meanwhile. The store may
# turn all of them away at once; then their proofs grow old, and others read
# for themselves in time (see `gossip`).
ENOUGH_READERS = 3
HEARD_RECENTLY = datetime.timedelta(milliseconds=1300)
# In a fleet of this size each instance hears all others within a second. In a
# larger one word of a reader takes up to three digests to arrive.
_SMALL_FLEET = 12
_HEARD_RECENTLY_IN_A_LARGE_FLEET = datetime.timedelta(milliseconds=2200)
# Ranks told: a few more than read, to replace those that die.
_RANKS_TOLD = 8
_MILLISECOND = datetime.timedelta(milliseconds=1)


def priority_of(instance_id: str) -> int:
    """Places an instance among the others; neighbours by name lie apart."""
    return xxhash.xxh32_intdigest(instance_id.encode()) >> 1


def is_large(fleet_size: int) -> bool:
    """Tells whether each instance hears the others by hearsay only."""
    return fleet_size > _SMALL_FLEET


class ReaderElection:
    """Knows which instances of low rank live."""

    __slots__ = ("_clock", "_lived_at", "_rank")

    def __init__(self, *, instance_id: str, clock: clock_module.Clock):
        self._rank = priority_of(instance_id)
        self._clock = clock
        # When the instance of a rank was last known to live; the lowest only.
        self._lived_at: dict[int, datetime.timedelta] = {}

    def is_reader(self, *, fleet_size: int) -> bool:
        """Tells whether too few of lower rank live."""
        living = self.living(fleet_size=fleet_size)
        lower = sum(rank < self._rank for rank in living)
        return lower < ENOUGH_READERS

    def note(
        self,
        sender_id: str | None,
        ranks: Iterable[int],
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
            self._note_living(priority_of(sender_id), now)
        for rank, age_ms in zip(ranks, ages_ms, strict=False):
            if age_ms >= 0 and rank != self._rank:
                self._note_living(rank, now - age_ms * _MILLISECOND)
        self._lived_at = self.living(fleet_size=fleet_size)

    def living(self, *, fleet_size: int) -> dict[int, datetime.timedelta]:
        """Returns the lowest ranks known to live and when, lowest first."""
        recently = HEARD_RECENTLY
        if is_large(fleet_size):
            recently = _HEARD_RECENTLY_IN_A_LARGE_FLEET
        oldest = self._clock.monotonic() - recently
        living = sorted(
            (rank, at) for rank, at in self._lived_at.items() if at >= oldest
        )
        return dict(living[:_RANKS_TOLD])

    def _note_living(self, rank: int, at: datetime.timedelta) -> None:
        known = self._lived_at.get(rank)
        if known is None or at > known:
            self._lived_at[rank] = at
