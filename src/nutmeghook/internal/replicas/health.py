"""Outlier detection: a replica's health by this instance's own attempts."""

import datetime
import math

# Time constant with which the failure rate decays; after it, a third is left. A
# replica that is chosen less for its failures gets fewer attempts: without the
# decay its rate would stay high, and the other replicas would be overloaded.
FAILURE_TIME_CONSTANT = datetime.timedelta(seconds=3)
FIRST_EJECTION = datetime.timedelta(seconds=1)
MAX_EJECTION = datetime.timedelta(seconds=8)
# Consecutive failures after which a replica is ejected. A single one is common,
# as some services fail a share of their requests in normal operation.
CONSECUTIVE_FAILURES = 3
# Weight of one attempt in the moving average of failures.
_RATE_WEIGHT = 0.12


class ReplicaHealth:
    """Counts failures and ejects a failing replica for a while.

    Attributes:
        ejected_until: Monotonic time before which the replica is chosen only if
            there is no other.
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
        """Returns whether the replica is ejected."""
        return now < self.ejected_until

    def note_success(self, now: datetime.timedelta) -> None:
        """Records a successful attempt."""
        self._count(0.0, now)
        self._consecutive_failures = 0
        self._ejections = 0

    def note_failure(self, now: datetime.timedelta) -> bool:
        """Records a failed attempt; returns whether it ejects the replica."""
        self._count(1.0, now)
        self._consecutive_failures += 1
        if self._consecutive_failures >= CONSECUTIVE_FAILURES:
            self._eject(now)
            return True
        return False

    def note_unreachable(self, now: datetime.timedelta) -> None:
        """Records a failed connection attempt.

        The replica is ejected at once: the next attempt would cost a caller the
        whole connection timeout.
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
