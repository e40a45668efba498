"""The measured service rate of admitted work."""

import datetime

_SECOND = datetime.timedelta(seconds=1)
_SMOOTHING = 0.05
# With the mean alone, half of the requests would take longer than expected.
_DEVIATIONS = 2.0


class ServiceRate:
    """Exponentially weighted averages of durations, costs and deviations.

    The rate of one slot is the ratio of two averages (cost over duration), not
    the average of ratios, in which short requests would weigh too much.
    """

    __slots__ = ("_cost_tokens", "_deviation", "_duration_s")

    def __init__(self):
        self._cost_tokens = 0.0
        self._duration_s = 0.0
        self._deviation = 0.0

    def note(
        self,
        *,
        cost_tokens: int,
        duration: datetime.timedelta,
        completed: bool,
    ) -> None:
        """Records one request that released its slot.

        One that did not complete gives only a lower bound of its duration. It
        counts if that is longer than expected: in a brown-out there may be
        nothing to learn from but requests cut at their deadline.
        """
        if not completed and duration <= self._mean_duration(cost_tokens):
            return
        duration_s = max(duration / _SECOND, 1e-6)
        if not self._cost_tokens:
            self._cost_tokens = float(cost_tokens)
            self._duration_s = duration_s
            return
        expected_s = cost_tokens * self._duration_s / self._cost_tokens
        deviation = abs(duration_s - expected_s) / expected_s
        self._deviation += _SMOOTHING * (deviation - self._deviation)
        self._cost_tokens += _SMOOTHING * (cost_tokens - self._cost_tokens)
        self._duration_s += _SMOOTHING * (duration_s - self._duration_s)

    @property
    def measured(self) -> bool:
        """Whether any request has finished yet."""
        return self._cost_tokens > 0

    def tokens_per_s(self, slots: int) -> float:
        """Returns the rate of so many slots; 0 before the first measurement."""
        if not self.measured:
            return 0.0
        return slots * self._cost_tokens / self._duration_s

    def likely_duration(self, cost_tokens: int) -> datetime.timedelta:
        """Returns a duration that most requests of this cost do not exceed."""
        if not self.measured:
            return datetime.timedelta()
        mean = self._mean_duration(cost_tokens)
        return (1 + _DEVIATIONS * self._deviation) * mean

    def _mean_duration(self, cost_tokens: int) -> datetime.timedelta:
        if not self.measured:
            return datetime.timedelta.max
        return cost_tokens * self._duration_s / self._cost_tokens * _SECOND
