"""Limits the share of an instance's link that table transfers use."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module

# Of the link, for tables. Responses to callers come first: on a link of
# 5 Mbit/s the other half still carries some 300 KB/s of them. A larger share
# would spread a large change sooner; since peers pass it on, the number of
# copies in the fleet doubles with each completed transfer even so.
_TABLE_SHARE = 0.5
# The burst that may be sent after a pause. A larger one would queue on the link
# ahead of responses to callers.
_BURST = datetime.timedelta(milliseconds=100)
_BITS_A_BYTE = 8
_BYTES_PER_MBIT = 1_000_000 / _BITS_A_BYTE


class BandwidthLimiter:
    """A token bucket of bytes, refilled at a share of the link's rate.

    Args:
        link_mbit_per_s: The instance's link, from its settings.
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

        While the bucket is not empty any size is allowed, and the level may
        become negative: a slow link's burst may be smaller than one piece.
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
