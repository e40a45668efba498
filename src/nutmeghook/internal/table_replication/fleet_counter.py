"""Counts the live instances of a fleet, most of which are heard of by others.

In a large fleet an instance hears from a given peer seldom: from those of its
own data centre every few seconds, from distant ones every few minutes. So each
instance marks the peers that it hears from in a bitmap, by a hash of their ids,
and digests carry the bitmap now and then; receivers add it to their own. The
bitmap is cleared at the start of each epoch, so that an instance that has died
is not counted for long. Epochs need no common clock: an instance begins the
next one when its own has lasted long enough, or when a peer has begun it.

At an epoch's end the number of bits that are set tells how many instances there
are, corrected for ids that share a bit (linear counting). Peers tell each other
that number too, and the median counts, so that an instance that was cut off, or
tells nonsense, does not mislead the others.
"""

import collections
import datetime
import math
import statistics

import xxhash

from nutmeghook.internal.foundation import clock as clock_module

# In this time the bitmaps of 420 instances in nine data centres agree.
EPOCH = datetime.timedelta(seconds=10)
# An instance that was stalled has missed digests; it relies on its peers.
_LONGEST_EPOCH = 1.5 * EPOCH
# The standard error of the count is 2% for 24 to 420 instances.
SLOTS = 1024
SLOT_BYTES = SLOTS // 8
# A fuller bitmap is none of a fleet's that these slots suffice for.
_MAX_FILL = 0.7
# Reported counts beyond this are not of any fleet.
_MAX_COUNT = 2000
# Higher epochs are not reached in a year; the limit leaves the rest of the
# message's 32 bits unused.
_MAX_EPOCH = 1 << 28


class FleetCounter:
    """Counts live instances by the digests that they send.

    Attributes:
        epoch: Number of the current epoch.
    """

    __slots__ = (
        "_began_at",
        "_clock",
        "_counts",
        "_own_count",
        "_own_slot",
        "_slots",
        "epoch",
    )

    def __init__(self, *, instance_id: str, clock: clock_module.Clock):
        self._clock = clock
        self._own_slot = _slot_of(instance_id)
        self._slots = self._own_slot
        self._began_at = clock.monotonic()
        # Of the epoch before: this instance's count, and how often each count
        # was heard from peers.
        self._own_count: int | None = None
        self._counts: collections.Counter[int] = collections.Counter()
        self.epoch = 0

    def own_count(self) -> int | None:
        """Returns what this instance counted in the epoch before, if it did."""
        self._advance()
        return self._own_count

    def slots(self) -> bytes:
        """Returns the bitmap of the current epoch."""
        self._advance()
        return self._slots.to_bytes(SLOT_BYTES, "little")

    def size(self) -> int | None:
        """Returns the number of live instances; None while not known."""
        self._advance()
        counts = self._counts.copy()
        if self._own_count is not None:
            counts[self._own_count] += 1
        if not counts:
            return None
        return statistics.median_low(sorted(counts.elements()))

    def note_digest(
        self,
        sender_id: str,
        *,
        epoch: int | None,
        count: int | None,
        slots: bytes | None,
    ) -> None:
        """Records a peer's digest.

        Args:
            sender_id: The peer, which lives.
            epoch: Its epoch; None if it is of an earlier release.
            count: What it counted in the epoch before.
            slots: Its bitmap, if the digest has one.
        """
        self._advance()
        if epoch is not None and self.epoch < epoch < _MAX_EPOCH:
            self._begin(epoch, is_complete=epoch == self.epoch + 1)
        self._slots |= _slot_of(sender_id)
        if epoch != self.epoch:
            return
        if count is not None and 0 < count <= _MAX_COUNT:
            self._counts[count] += 1
        if slots is not None and len(slots) == SLOT_BYTES:
            heard = int.from_bytes(slots, "little")
            if heard.bit_count() <= _MAX_FILL * SLOTS:
                self._slots |= heard

    def _advance(self) -> None:
        elapsed = self._clock.monotonic() - self._began_at
        if elapsed >= EPOCH:
            is_complete = elapsed < _LONGEST_EPOCH
            self._begin(self.epoch + 1, is_complete=is_complete)

    def _begin(self, epoch: int, *, is_complete: bool) -> None:
        """Begins an epoch.

        Args:
            epoch: Its number.
            is_complete: The bitmap covers the whole epoch before.
        """
        self._own_count = _estimate(self._slots) if is_complete else None
        self._counts.clear()
        self._slots = self._own_slot
        self._began_at = self._clock.monotonic()
        self.epoch = epoch


def _slot_of(instance_id: str) -> int:
    """Returns the bitmap in which only an instance's bit is set."""
    return 1 << (xxhash.xxh32_intdigest(instance_id.encode()) % SLOTS)


def _estimate(slots: int) -> int:
    """Returns how many ids have set the bits of a bitmap, most likely."""
    clear = SLOTS - slots.bit_count()
    return round(-SLOTS * math.log(max(1, clear) / SLOTS))
