"""Token budgets of templates, of which each instance enforces its share."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import retry_after_schedule
from nutmeghook.internal.membership import members as members_module

_MINUTE = datetime.timedelta(minutes=1)


class _Bucket:
    """What remains of one template's budget; negative while in debt."""

    __slots__ = ("filled_at", "level_tokens")

    def __init__(self, *, level_tokens: float, filled_at: datetime.timedelta):
        self.level_tokens = level_tokens
        self.filled_at = filled_at


class TokenBudgets:
    """One token bucket per template, filled with this instance's share.

    A request of any size is admitted while the bucket is not empty, and the
    bucket may go into debt. Otherwise a budget whose share at one of 420
    instances is smaller than one request would admit nothing at all.
    """

    __slots__ = ("_buckets", "_clock", "_members")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        members: members_module.MemberView,
    ):
        self._clock = clock
        self._members = members
        self._buckets: dict[tuple[str, str], _Bucket] = {}

    def check(
        self,
        request: admission.AdmissionRequest,
        *,
        retry_schedule: retry_after_schedule.RetryAfterSchedule,
    ) -> None:
        """Raises `OVER_BUDGET` with the time to wait, if the budget is spent.

        Raises:
            errors.CodedError: The budget is spent.
        """
        wait = self._wait_needed(request)
        if not wait:
            return
        raise errors.CodedError(
            code=codes.Code.OVER_BUDGET,
            detail=(
                f"template {request.template} has used its "
                f"{request.tokens_per_minute} tokens a minute"
            ),
            retry_after=retry_schedule.jittered(wait),
        )

    def _wait_needed(
        self, request: admission.AdmissionRequest
    ) -> datetime.timedelta:
        if not request.tokens_per_minute:
            return datetime.timedelta()
        bucket = self._filled(request)
        if bucket.level_tokens > 0:
            return datetime.timedelta()
        missing_tokens = 1 - bucket.level_tokens
        return missing_tokens / self._share(request) * _MINUTE

    def charge(self, request: admission.AdmissionRequest, tokens: int) -> None:
        """Takes tokens, or refunds them if negative."""
        if request.tokens_per_minute:
            bucket = self._filled(request)
            bucket.level_tokens = min(
                bucket.level_tokens - tokens, self._share(request)
            )

    def _share(self, request: admission.AdmissionRequest) -> float:
        return request.tokens_per_minute / max(1, len(self._members.members()))

    def _filled(self, request: admission.AdmissionRequest) -> _Bucket:
        now = self._clock.monotonic()
        share = self._share(request)
        key = (request.team, request.template)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = _Bucket(level_tokens=share, filled_at=now)
            self._buckets[key] = bucket
        passed = (now - bucket.filled_at) / _MINUTE
        bucket.level_tokens = min(share, bucket.level_tokens + passed * share)
        bucket.filled_at = now
        return bucket
