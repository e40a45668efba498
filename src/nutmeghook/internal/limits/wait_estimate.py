"""Estimates whether a request can still end in time."""

import datetime

from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.limits import fair_queue
from nutmeghook.internal.limits import service_rate

_SECOND = datetime.timedelta(seconds=1)
_ZERO = datetime.timedelta()


class WaitEstimate:
    """Estimates waits from the queue, the slots and the service rate."""

    __slots__ = ("_limit", "_queue", "_rate")

    def __init__(
        self,
        *,
        queue: fair_queue.FairQueue,
        limit: concurrency_limit.ConcurrencyLimit,
        rate: service_rate.ServiceRate,
    ):
        self._queue = queue
        self._limit = limit
        self._rate = rate

    def latest_start(
        self, request: admission.AdmissionRequest
    ) -> datetime.timedelta:
        """Returns the monotonic time after which it would end too late."""
        likely = self._rate.likely_duration(request.cost_tokens)
        return request.deadline - likely

    def expected_wait(
        self, request: admission.AdmissionRequest
    ) -> datetime.timedelta:
        """Returns how long a new request would wait; zero while unmeasured."""
        tokens_per_s = self._tokens_per_s()
        if not tokens_per_s:
            return _ZERO
        guaranteed = self._queue.guaranteed_share
        by_priority = self._queue.cost_by_priority(request)
        if self._queue.has_below(request.priority):
            by_priority /= 1 - guaranteed
        seconds = by_priority / tokens_per_s
        if guaranteed:
            by_fairness = self._queue.cost_by_fairness(request) / guaranteed
            seconds = min(seconds, by_fairness / tokens_per_s)
        return seconds * _SECOND

    def team_tokens_per_s(self, request: admission.AdmissionRequest) -> float:
        """Returns the team's share of the service rate; 0 while unmeasured."""
        return self._tokens_per_s() * self._queue.weight_share(request)

    def _tokens_per_s(self) -> float:
        return self._rate.tokens_per_s(self._limit.slots)
