"""Records the speeds of replicas of uneven services, and logs changes."""

import collections
import dataclasses
import datetime
import heapq
import itertools
import math

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import pace_means
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import replica_speed

# Estimates of a lower weight are neither sent nor kept track of.
MIN_WEIGHT = 0.25
# Replicas believed to take longer by over this factor count as slow.
SLOW = 1.5
# A change of the believed slowness by this factor is logged.
_LOGGED_CHANGE = math.log(1.25)
_LOG_PERIOD = datetime.timedelta(seconds=1)
# Updated replicas among which the latest answered ones are searched.
_SEARCHED = 32


@dataclasses.dataclass(slots=True, kw_only=True)
class _Tracked:
    """A replica with an estimate, and its slowness as last logged."""

    replica: replica_module.Replica
    logged: float = 1.0
    logged_at: datetime.timedelta | None = None


class SpeedRegistry:
    """Keeps track of the replicas with an estimate.

    Only replicas of uneven services have one.
    """

    __slots__ = ("_clock", "_directory", "_means", "_tracked")

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        clock: clock_module.Clock,
    ):
        self._directory = directory
        self._clock = clock
        self._means = pace_means.PaceMeans()
        # By short id, the latest updated at the end.
        self._tracked: collections.OrderedDict[int, _Tracked] = (
            collections.OrderedDict()
        )

    def note_pace(
        self, replica: replica_module.Replica, pace: float, *measure: str
    ) -> None:
        """Records a successful answer of a replica.

        Args:
            replica: The replica that answered.
            pace: The time taken over an expectation that is the same for all
                replicas of the service and version.
            *measure: What was measured. Each measure has its own mean.
        """
        entry = replica.entry
        if not self._directory.is_uneven(entry.service):
            return
        if not self._directory.is_current(replica):
            return
        key = (entry.service, entry.version, *measure)
        ratio = self._means.relative(key, pace)
        if ratio is None:
            return
        replica.speed.note(ratio, self._clock.monotonic())
        self._note_update(replica, source="answer")

    def note_peer(
        self, short_id: int, estimate: replica_speed.SpeedEstimate
    ) -> None:
        """Records a peer's estimate, whose weight is of now.

        Where entries do not state their start, all starts under one id have the
        same hash, and an estimate from before the present one is of a former.
        """
        replica = self._directory.by_short_id(short_id)
        if replica is None:
            return
        if not self._directory.is_uneven(replica.entry.service):
            return
        replaced_at = replica.replaced_at
        if replaced_at is not None and estimate.answered_at < replaced_at:
            return
        if replica.speed.note_peer(estimate, self._clock.monotonic()):
            self._note_update(replica, source="peer")

    def latest(self, max_count: int) -> list[replica_module.Replica]:
        """Returns the replicas with the latest answers, the latest first.

        Replicas that are gone or whose estimate has faded are no longer kept
        track of.
        """
        now = self._clock.monotonic()
        self._drop_faded(now)
        updated = itertools.islice(reversed(self._tracked.values()), _SEARCHED)
        return heapq.nlargest(
            max_count,
            (
                tracked.replica
                for tracked in updated
                if self._is_worth_sending(tracked.replica, now)
            ),
            key=lambda replica: replica.speed.estimate(now).answered_at,
        )

    def slow_count(self) -> int:
        """Returns the number of replicas believed to be slow."""
        now = self._clock.monotonic()
        return sum(
            tracked.replica.speed.learnt_slowness(now) > SLOW
            for tracked in self._tracked.values()
            if self._directory.is_current(tracked.replica)
        )

    def _is_worth_sending(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> bool:
        return (
            self._directory.is_current(replica)
            and replica.speed.estimate(now).weight >= MIN_WEIGHT
        )

    def _drop_faded(self, now: datetime.timedelta) -> None:
        while self._tracked:
            short_id, tracked = next(iter(self._tracked.items()))
            if self._is_worth_sending(tracked.replica, now):
                return
            if self._directory.is_current(tracked.replica):
                self._log_change(tracked, now, source="faded")
            del self._tracked[short_id]

    def _note_update(
        self, replica: replica_module.Replica, *, source: str
    ) -> None:
        tracked = self._tracked.get(replica.short_id)
        if tracked is None or tracked.replica is not replica:
            tracked = _Tracked(replica=replica)
            self._tracked[replica.short_id] = tracked
        self._tracked.move_to_end(replica.short_id)
        self._log_change(tracked, self._clock.monotonic(), source=source)

    def _log_change(
        self, tracked: _Tracked, now: datetime.timedelta, *, source: str
    ) -> None:
        """Logs a replica's slowness if it has changed much.

        What a replica states of itself is left out: it changes many times a
        second.
        """
        logged_at = tracked.logged_at
        if logged_at is not None and now - logged_at < _LOG_PERIOD:
            return
        slowness = tracked.replica.speed.learnt_slowness(now)
        if abs(math.log(slowness / tracked.logged)) < _LOGGED_CHANGE:
            return
        tracked.logged = slowness
        tracked.logged_at = now
        logs.note(
            "replica:speed",
            replica=tracked.replica.entry.replica_id,
            slowness=round(slowness, 3),
            weight=round(tracked.replica.speed.estimate(now).weight, 2),
            source=source,
        )
