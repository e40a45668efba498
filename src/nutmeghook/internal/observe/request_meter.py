"""Records the dispatcher's measurements in the metrics."""

import datetime

from nutmeghook.internal.dispatch import meter
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.routing import backends


class MetricsMeter(meter.Meter):
    """A meter that updates one instance's metrics."""

    __slots__ = ("_metrics",)

    def __init__(self, *, metrics: metrics_module.Metrics):
        self._metrics = metrics

    def request_finished(
        self,
        *,
        team: str,
        target: str,
        code: codes.Code,
        duration: datetime.timedelta,
    ) -> None:
        """Counts the request and how long it took."""
        self._metrics.add(
            "requests_total", team=team, target=target, code=code.name
        )
        self._metrics.observe(
            "answer_seconds",
            duration.total_seconds(),
            team=team,
            target=target,
        )

    def first_token(
        self, *, team: str, template: str, duration: datetime.timedelta
    ) -> None:
        """Records the time to the first token."""
        self._metrics.observe(
            "first_token_seconds",
            duration.total_seconds(),
            team=team,
            template=template,
        )

    def answer_billed(
        self, *, output_tokens: int, cost_micros: int, spent_micros: int
    ) -> None:
        """Adds up tokens and cost."""
        self._metrics.add("output_tokens_total", output_tokens)
        self._metrics.add("cost_micros_total", cost_micros)
        self._metrics.add("spent_micros_total", spent_micros)

    def attempt_finished(self, outcome: backends.AttemptOutcome) -> None:
        """Counts an attempt's end."""
        self._metrics.add("attempts_total", outcome=outcome.value)

    def attempt_repeated(self, *, hedged: bool) -> None:
        """Counts a retry or a hedge."""
        self._metrics.add("attempts_repeated_total", hedged=str(hedged).lower())

    def stream_resumed(self) -> None:
        """Counts a resumed stream."""
        self._metrics.add("streams_resumed_total")

    def chunk_dropped(self) -> None:
        """Counts a dropped chunk."""
        self._metrics.add("chunks_dropped_total")

    def rating_dropped(self) -> None:
        """Counts a dropped rating."""
        self._metrics.add("ratings_dropped_total")
