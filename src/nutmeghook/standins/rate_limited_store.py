"""Base class of both in-memory stores: faults and rate limits."""

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import faults as faults_module
from nutmeghook.standins import rate_limit

WRITES_PER_S = 400
READS_PER_S = 2000


class RateLimitedStore:
    """Limits reads and writes separately.

    Attributes:
        faults: Faults of its calls.
    """

    __slots__ = ("_read_limit", "_write_limit", "faults")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        faults: faults_module.Faults | None = None,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
    ):
        self.faults = faults or faults_module.Faults(clock=clock)
        self._write_limit = rate_limit.RateLimit(
            clock=clock, name="writes", per_s=writes_per_s
        )
        self._read_limit = rate_limit.RateLimit(
            clock=clock, name="reads", per_s=reads_per_s
        )

    @property
    def writes(self) -> int:
        """Writes counted against the limit so far."""
        return self._write_limit.used

    @property
    def reads(self) -> int:
        """Reads counted against the limit so far."""
        return self._read_limit.used
