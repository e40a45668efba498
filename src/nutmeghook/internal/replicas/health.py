"""What this instance's own attempts tell of a replica's health."""

import datetime

FIRST_EJECTION = datetime.timedelta(seconds=1)
LONGEST_EJECTION = datetime.timedelta(seconds=8)
# Failures in a row after which a replica is left alone for a while. One alone
# is common where a service fails some requests by its nature.
FAILURES_IN_A_ROW = 3
# An unreachable replica is left alone at once: the next try would cost a
# caller the whole connection timeout.
_RATE_WEIGHT = 0.12


class ReplicaHealth:
    """Counts failures, and leaves a failing replica alone for a while.

    Attributes:
        failure_rate: Moving share of attempts that failed.
        ejected_until: Not chosen before this monotonic time if another can be.
    """

    __slots__ = (
        "_ejections",
        "_in_a_row",
        "attempts",
        "ejected_until",
        "failure_rate",
    )

    def __init__(self):
        self._in_a_row = 0
        self._ejections = 0
        self.attempts = 0
        self.failure_rate = 0.0
        self.ejected_until = datetime.timedelta()

    def is_ejected(self, now: datetime.timedelta) -> bool:
        """Tells whether it is being left alone."""
        return now < self.ejected_until

    def note_success(self) -> None:
        """Takes in an answer."""
        self._count(0.0)
        self._in_a_row = 0
        self._ejections = 0

    def note_failure(self, now: datetime.timedelta) -> bool:
        """Takes in a failed attempt; returns whether it ejects."""
        self._count(1.0)
        self._in_a_row += 1
        if self._in_a_row >= FAILURES_IN_A_ROW:
            self._eject(now)
            return True
        return False

    def note_unreachable(self, now: datetime.timedelta) -> None:
        """Takes in a connection that was not accepted."""
        self._in_a_row += 1
        self._eject(now)

    def _count(self, failed: float) -> None:
        self.attempts += 1
        self.failure_rate += _RATE_WEIGHT * (failed - self.failure_rate)

    def _eject(self, now: datetime.timedelta) -> None:
        duration = min(FIRST_EJECTION * 2**self._ejections, LONGEST_EJECTION)
        self.ejected_until = now + duration
        self._ejections = min(self._ejections + 1, 8)
        self._in_a_row = 0
