"""Retry budgets: a share of recent requests, held in token buckets."""

from nutmeghook.internal.limits import admission

DEFAULT_SHARE = 0.08
DEFAULT_BURST_ATTEMPTS = 2.0


class TokenBucketRetryBudget(admission.RetryBudget):
    """A token bucket that first attempts fill.

    Each first attempt adds `share` of a token and each retry or hedge takes a
    whole one. Instances need not coordinate: if none exceeds its share, the
    fleet does not either.

    The bucket is small: during a healthy hour no retry is needed, and an
    unbounded bucket would accumulate enough to double the load in the first
    minute of a brown-out.
    """

    __slots__ = ("_burst_attempts", "_share", "_tokens")

    def __init__(
        self,
        *,
        share: float = DEFAULT_SHARE,
        burst_attempts: float = DEFAULT_BURST_ATTEMPTS,
    ):
        if not 0 <= share <= 1:
            raise ValueError(f"share is {share}; give a number from 0 to 1")
        if burst_attempts < 1:
            raise ValueError(
                f"burst_attempts is {burst_attempts}; give 1 or more, or no "
                "retry would ever be allowed"
            )
        self._share = share
        self._burst_attempts = burst_attempts
        self._tokens = 1.0

    def note_request(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(self._burst_attempts, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spends one retry or hedge; False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryBudgets(admission.RetryBudgets):
    """One budget for each dependency (a model's pool, a plain service).

    They are separate so that a brown-out of one pool neither uses up the
    retries of a healthy one nor earns retries from its requests.
    """

    __slots__ = ("_budgets", "_burst_attempts", "_share")

    def __init__(
        self,
        *,
        share: float = DEFAULT_SHARE,
        burst_attempts: float = DEFAULT_BURST_ATTEMPTS,
    ):
        self._share = share
        self._burst_attempts = burst_attempts
        self._budgets: dict[str, TokenBucketRetryBudget] = {}

    def budget_for(self, dependency: str) -> TokenBucketRetryBudget:
        """Returns the dependency's budget; names come from the catalogue."""
        budget = self._budgets.get(dependency)
        if budget is None:
            budget = TokenBucketRetryBudget(
                share=self._share, burst_attempts=self._burst_attempts
            )
            self._budgets[dependency] = budget
        return budget
