"""The Retry-After of refused callers."""

from collections.abc import Set
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module

DEFAULT_MAX_DELAY = datetime.timedelta(seconds=60)
_MIN_DELAY = datetime.timedelta(milliseconds=200)
_JITTER_SHARE = 0.25


class RetryAfterSchedule:
    """Spreads retries of refused callers to a rate that can be served.

    Callers refused together that all got the same Retry-After would retry
    together and be refused again (a thundering herd). Each gets the next free
    time instead, which advances by the refused cost over a share of the
    measured service rate. The rest of the rate is left to new requests.
    """

    __slots__ = ("_clock", "_free_at", "_max_delay", "_random", "_share")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        randomness: random.Random,
        share: float = 0.5,
        max_delay: datetime.timedelta = DEFAULT_MAX_DELAY,
    ):
        if not 0 < share <= 1:
            raise ValueError(f"share is {share}; give a number over 0, up to 1")
        self._clock = clock
        self._random = randomness
        self._share = share
        self._max_delay = max_delay
        self._free_at: dict[str, datetime.timedelta] = {}

    def next_retry_after(
        self,
        *,
        team: str,
        cost_tokens: int,
        tokens_per_s: float,
        earliest: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how long a refused caller should wait.

        Args:
            team: Each team has its own schedule, so that the many refusals of
                a large team do not delay the retries of a small one.
            cost_tokens: The refused request's cost.
            tokens_per_s: The service rate of the team; 0 if unknown.
            earliest: The least to wait, for example until the backlog has been
                worked off.
        """
        now = self._clock.monotonic()
        start = max(
            self._free_at.get(team, now), now + max(earliest, _MIN_DELAY)
        )
        start = min(start, now + self._max_delay)
        if tokens_per_s > 0:
            seconds = cost_tokens / (self._share * tokens_per_s)
            self._free_at[team] = start + datetime.timedelta(seconds=seconds)
        return self.jittered(start - now)

    def keep(self, teams: Set[str]) -> None:
        """Drops the schedules of all other teams."""
        for team in self._free_at.keys() - teams:
            del self._free_at[team]

    def jittered(self, wait: datetime.timedelta) -> datetime.timedelta:
        """Returns the wait with jitter, which only lengthens it."""
        return wait * (1 + _JITTER_SHARE * self._random.random())
