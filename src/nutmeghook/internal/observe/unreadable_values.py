"""Counts and logs values on the wire that can't be read.

Such a value is ignored, so without a count nobody would notice that a replica
states its load in a form that this version does not know.
"""

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_limiter
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module

_MAX_LOGGED_CHARACTERS = 200


class UnreadableValues:
    """Values that were ignored."""

    __slots__ = ("_limiter", "_metrics")

    def __init__(
        self, *, metrics: metrics_module.Metrics, clock: clock_module.Clock
    ):
        self._metrics = metrics
        self._limiter = log_limiter.LogLimiter(clock=clock)

    def note(self, field: str, value: str, *, source: str) -> None:
        """Counts a value, and logs one of each field and source a minute.

        Args:
            field: Name of the header or field; a fixed name, since it labels
                the counter.
            value: What can't be read.
            source: Who sent it, such as a replica's id.
        """
        self.count(field)
        if self._limiter.is_due((field, source)):
            logs.note(
                "wire:unreadable_value",
                field=field,
                value=value[:_MAX_LOGGED_CHARACTERS],
                source=source,
            )

    def count(self, field: str) -> None:
        """Counts a value that is logged elsewhere."""
        self._metrics.add("unreadable_values_total", field=field)
