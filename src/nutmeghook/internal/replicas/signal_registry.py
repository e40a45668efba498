"""Records what replicas ask of their senders, and logs each change."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import rate_limit
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import signals as signals_module

_MILLISECOND = datetime.timedelta(milliseconds=1)


class SignalRegistry:
    """Applies the signals of replicas to the directory's replicas."""

    __slots__ = ("_clock", "_directory")

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        clock: clock_module.Clock,
    ):
        self._directory = directory
        self._clock = clock

    def note_answer(
        self,
        replica: replica_module.Replica,
        signals: signals_module.ReplicaSignals,
        *,
        sent_at: datetime.timedelta,
    ) -> None:
        """Records the signals of an answer whose head has just arrived.

        Args:
            replica: The replica that gave the answer.
            signals: The answer's signals.
            sent_at: When the request was sent.
        """
        if not self._directory.is_current(replica):
            return
        for description in signals.unreadable:
            logs.note(
                "replica:unreadable_signal",
                replica=replica.entry.replica_id,
                signal=description,
            )
        if signals.unreadable:
            return
        limit = rate_limit.after_answer(
            replica.rate_limit,
            signals.rate_limit_per_s,
            sent_at=sent_at,
            now=self._clock.monotonic(),
        )
        self._set_rate_limit(replica, limit, source="answer")

    def _set_rate_limit(
        self,
        replica: replica_module.Replica,
        limit: rate_limit.RateLimit | None,
        *,
        source: str,
    ) -> None:
        before_per_s = replica.rate_limit_per_s
        replica.rate_limit = limit
        if replica.rate_limit_per_s == before_per_s:
            return
        age = self._clock.monotonic() - limit.heard_at
        logs.note(
            "replica:rate_limit",
            replica=replica.entry.replica_id,
            per_s=limit.per_s,
            before_per_s=before_per_s,
            source=source,
            age_ms=round(age / _MILLISECOND),
        )
