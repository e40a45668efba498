"""How much of an instance's link its peers may have."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module

# Of the link, for tables. Callers' answers come first: on a link of 5 Mbit/s
# the other half still carries some 300 KB/s of them. The more is left to
# tables, the sooner a large change is everywhere; peers pass it on, so half
# doubles the fleet's reach with each copy that is through.
_TABLE_SHARE = 0.5
# What may be sent at once after a pause. Any more would wait in the link's
# queue, before callers' answers.
_BURST = datetime.timedelta(milliseconds=100)
_BITS_A_BYTE = 8
_BYTES_PER_MBIT = 1_000_000 / _BITS_A_BYTE


class BandwidthLimiter:
    """A token bucket of bytes, filled with a share of the link.

    Args:
        link_mbit_per_s: The instance's own link, from its settings.
        clock: Measures time.
    """

    __slots__ = ("_bytes_per_s", "_clock", "_filled_at", "_level_bytes")

    def __init__(self, *, link_mbit_per_s: float, clock: clock_module.Clock):
        if link_mbit_per_s <= 0:
            raise ValueError(
                f"link_mbit_per_s is {link_mbit_per_s}; give a positive number"
            )
        self._bytes_per_s = link_mbit_per_s * _BYTES_PER_MBIT * _TABLE_SHARE
        self._clock = clock
        self._level_bytes = self._capacity_bytes
        self._filled_at = clock.monotonic()

    @property
    def _capacity_bytes(self) -> float:
        return self._bytes_per_s * _BURST.total_seconds()

    def try_take(self, size_bytes: int) -> bool:
        """Takes bytes, and tells whether they may be sent now.

        Something is always allowed while the bucket is not empty, whatever its
        size, and the bucket goes into debt then: the burst of a slow link may
        be smaller than one piece.
        """
        now = self._clock.monotonic()
        passed_s = (now - self._filled_at).total_seconds()
        self._filled_at = now
        self._level_bytes = min(
            self._capacity_bytes,
            self._level_bytes + passed_s * self._bytes_per_s,
        )
        if self._level_bytes <= 0:
            return False
        self._level_bytes -= size_bytes
        return True
