"""The speed of a replica relative to an average one of its service.

An estimate is the mean of the log ratios of answers (time taken over time
expected), with a weight in answers that decays with age. Each answer is in an
estimate at most once: a new answer is folded into the estimate that is held,
and a peer's estimate replaces that one as a whole or not at all.
"""

import datetime
import math

import msgspec

# Slowness stays between 1 / MAX_SLOWNESS and MAX_SLOWNESS.
MAX_SLOWNESS = 8.0
MAX_LOG = math.log(MAX_SLOWNESS)
HALF_LIFE = datetime.timedelta(seconds=5)
# Bounds the weight of busy replicas, so that a recovered replica is believed to
# have recovered after about so many answers (design/replica-speeds.md).
MAX_WEIGHT = 20.0
# Weight of the prior belief that a replica is an average one, in answers. The
# log ratios of one replica's answers have a standard deviation of 0.85 to 1.06,
# replicas differ by 0.47 to 0.50. With a smaller weight what is believed is
# mostly noise, which all instances share.
PRIOR_WEIGHT = 4.0
# Time constant with which a stated work time loses its influence: stated times
# vary with a period of several hundred milliseconds.
STATED_TIME_CONSTANT = datetime.timedelta(milliseconds=60)


class SpeedEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """What answers say of a replica's speed.

    Attributes:
        log_ratio: Mean log ratio of the answers.
        weight: In answers, after decay.
        answered_at: Monotonic time of the latest answer.
    """

    log_ratio: float
    weight: float
    answered_at: datetime.timedelta


class ReplicaSpeed:
    """The believed speed of one start of a replica."""

    __slots__ = (
        "_answered_at",
        "_log_ratio",
        "_stated_at",
        "_stated_log",
        "_stated_mean_log",
        "_weighed_at",
        "_weight",
    )

    def __init__(self):
        self._log_ratio = 0.0
        self._weight = 0.0
        # When `_weight` was valid.
        self._weighed_at = datetime.timedelta()
        self._answered_at = datetime.timedelta()
        self._stated_log = 0.0
        self._stated_mean_log = 0.0
        self._stated_at: datetime.timedelta | None = None

    def note(self, ratio: float, now: datetime.timedelta) -> None:
        """Records an answer.

        Args:
            ratio: The time that it took over the time expected of an average
                replica of the same service and version at the same load.
            now: Monotonic time.
        """
        if not 0.0 < ratio < math.inf:
            return
        weight = self._weight_at(now) + 1.0
        self._log_ratio += (_bounded(math.log(ratio)) - self._log_ratio) / (
            weight
        )
        self._weight = min(weight, MAX_WEIGHT)
        self._weighed_at = now
        self._answered_at = now

    def note_peer(
        self, estimate: SpeedEstimate, now: datetime.timedelta
    ) -> bool:
        """Replaces the estimate by a peer's if that has the greater weight.

        Args:
            estimate: The peer's estimate; its weight is of now.
            now: Monotonic time.

        Returns:
            Whether it was replaced.
        """
        # No estimate whose latest answer is so old has a greater weight.
        age = now - estimate.answered_at
        weight = min(estimate.weight, MAX_WEIGHT * _decay(age))
        if weight <= self._weight_at(now):
            return False
        self._log_ratio = _bounded(estimate.log_ratio)
        self._weight = weight
        self._weighed_at = now
        self._answered_at = estimate.answered_at
        return True

    def note_stated(
        self, work_time_percent: float, at: datetime.timedelta
    ) -> None:
        """Records how long work takes by the replica's own statement.

        Args:
            work_time_percent: 100 as usual.
            at: When the replica stated it.
        """
        if work_time_percent <= 0:
            return
        stated_log = _bounded(math.log(work_time_percent / 100.0))
        if self._stated_at is None:
            self._stated_mean_log = stated_log
        else:
            kept = _decay(at - self._stated_at)
            self._stated_mean_log += (1.0 - kept) * (
                stated_log - self._stated_mean_log
            )
        self._stated_log = stated_log
        self._stated_at = at

    def estimate(self, now: datetime.timedelta) -> SpeedEstimate:
        """Returns what is learnt from answers."""
        return SpeedEstimate(
            log_ratio=self._log_ratio,
            weight=self._weight_at(now),
            answered_at=self._answered_at,
        )

    def learnt_slowness(self, now: datetime.timedelta) -> float:
        """Returns the slowness without what the replica states of itself."""
        return math.exp(self._certainty(now) * self._log_ratio)

    def slowness(self, now: datetime.timedelta) -> float:
        """Returns by which factor its work takes longer than an average one's.

        A fresh statement changes it by how far the stated work time is from its
        recent mean, since the learnt estimate contains that mean already.

        Args:
            now: Monotonic time.

        Returns:
            From 1/8 to 8; 1.0 if nothing is known.
        """
        certainty = self._certainty(now)
        log_slowness = certainty * self._log_ratio
        if self._stated_at is not None:
            age = max(now - self._stated_at, datetime.timedelta())
            freshness = math.exp(-age / STATED_TIME_CONSTANT)
            log_slowness += freshness * (
                self._stated_log - certainty * self._stated_mean_log
            )
        return math.exp(_bounded(log_slowness))

    def _weight_at(self, now: datetime.timedelta) -> float:
        if not self._weight:
            return 0.0
        return self._weight * _decay(now - self._weighed_at)

    def _certainty(self, now: datetime.timedelta) -> float:
        weight = self._weight_at(now)
        return weight / (weight + PRIOR_WEIGHT)


def _decay(age: datetime.timedelta) -> float:
    return 0.5 ** max(0.0, age / HALF_LIFE)


def _bounded(log_ratio: float) -> float:
    return max(-MAX_LOG, min(MAX_LOG, log_ratio))
