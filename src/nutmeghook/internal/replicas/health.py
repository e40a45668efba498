"""What this instance's own attempts tell of a replica's health."""

import datetime
import math

# What a replica did this long ago counts for a third. A replica that is chosen
# less for its failures makes fewer attempts to show that it is well again: by
# attempts alone its record would never fade, and the others are swamped.
FAILURE_TIME_CONSTANT = datetime.timedelta(seconds=3)
FIRST_EJECTION = datetime.timedelta(seconds=1)
MAX_EJECTION = datetime.timedelta(seconds=8)
# Failures in a row after which a replica is left alone for a while. One alone
# is common where a service fails some requests by its nature.
CONSECUTIVE_FAILURES = 3
# Of one attempt in the failure rate.
_RATE_WEIGHT = 0.12


class ReplicaHealth:
    """Counts failures, and leaves a failing replica alone for a while.

    Attributes:
        ejected_until: Not chosen before this monotonic time if another can be.
    """

    __slots__ = (
        "_consecutive_failures",
        "_counted_at",
        "_ejections",
        "_failure_rate",
        "ejected_until",
    )

    def __init__(self):
        self._consecutive_failures = 0
        self._ejections = 0
        self._failure_rate = 0.0
        self._counted_at = datetime.timedelta()
        self.ejected_until = datetime.timedelta()

    def is_ejected(self, now: datetime.timedelta) -> bool:
        """Tells whether it is being left alone."""
        return now < self.ejected_until

    def note_success(self, now: datetime.timedelta) -> None:
        """Takes in an answer."""
        self._count(0.0, now)
        self._consecutive_failures = 0
        self._ejections = 0

    def note_failure(self, now: datetime.timedelta) -> bool:
        """Takes in a failed attempt; returns whether it ejects."""
        self._count(1.0, now)
        self._consecutive_failures += 1
        if self._consecutive_failures >= CONSECUTIVE_FAILURES:
            self._eject(now)
            return True
        return False

    def note_unreachable(self, now: datetime.timedelta) -> None:
        """Takes in a connection that was not accepted.

        It is left alone at once: the next try would cost a caller the whole
        connection timeout.
        """
        self._consecutive_failures += 1
        self._eject(now)

    def failure_rate(self, now: datetime.timedelta) -> float:
        """Returns the share of recent attempts that failed."""
        age = (now - self._counted_at) / FAILURE_TIME_CONSTANT
        return self._failure_rate * math.exp(-max(0.0, age))

    def _count(self, failed: float, now: datetime.timedelta) -> None:
        rate = self.failure_rate(now)
        self._failure_rate = rate + _RATE_WEIGHT * (failed - rate)
        self._counted_at = now

    def _eject(self, now: datetime.timedelta) -> None:
        duration = min(FIRST_EJECTION * 2**self._ejections, MAX_EJECTION)
        self.ejected_until = now + duration
        self._ejections = min(self._ejections + 1, 8)
        self._consecutive_failures = 0
