"""Records what replicas ask of their senders, and logs each change."""

import asyncio
import datetime
import itertools

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_limiter
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import brittle_replicas
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import rate_limit
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import signals as signals_module

_MILLISECOND = datetime.timedelta(milliseconds=1)
# For so long the end of a limit is told to peers: enough for each instance of a
# fleet of 420 to hear of it.
_END_RETENTION = datetime.timedelta(seconds=30)
# A fall of a limit to this share of it or less is told to peers at once.
_SHARP_FALL = 0.5


class SignalRegistry:
    """Applies the signals of replicas to the directory's replicas.

    Attributes:
        brittle: The brittle replicas.
        updates: Set while `take_updates` has something to return.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_directory",
        "_limiter",
        "_resting",
        "_stated",
        "brittle",
        "updates",
    )

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        clock: clock_module.Clock,
    ):
        self.brittle = brittle_replicas.BrittleReplicas(
            directory=directory, clock=clock
        )
        self._directory = directory
        self._clock = clock
        self._limiter = log_limiter.LogLimiter(clock=clock)
        # By id: replicas with a statement for all instances, those whose change
        # is to be told to peers, and those that rest from this instance.
        self._stated: dict[str, replica_module.Replica] = {}
        self._changed: dict[str, replica_module.Replica] = {}
        self._resting: dict[str, replica_module.Replica] = {}
        self.updates = asyncio.Event()

    def note_answer(
        self,
        replica: replica_module.Replica,
        signals: signals_module.ReplicaSignals,
        *,
        sent_at: datetime.timedelta,
        refused: bool = False,
    ) -> None:
        """Records the signals of an answer whose head has just arrived.

        Args:
            replica: The replica that gave the answer.
            signals: The answer's signals.
            sent_at: When the request was sent.
            refused: The replica turned the request away.
        """
        if not self._directory.is_current(replica):
            return
        self.brittle.note_answer(
            replica, signals.refusals_per_s, sent_at=sent_at, refused=refused
        )
        for description in signals.unreadable:
            if not self._limiter.is_due(
                (replica.entry.replica_id, description)
            ):
                continue
            logs.note(
                "replica:unreadable_signal",
                replica=replica.entry.replica_id,
                signal=description,
            )
        if signals.is_rate_limit_readable:
            limit = rate_limit.after_answer(
                replica.rate_limit,
                signals.rate_limit_per_s,
                sent_at=sent_at,
                now=self._clock.monotonic(),
            )
            self._set_rate_limit(replica, limit, source="answer")
        if signals.leaving:
            self._note_leaving(
                replica, self._clock.monotonic(), source="answer"
            )
        if signals.rest is not None:
            self._note_rest(replica, signals.rest)

    def note_peer(self, short_id: int, reported: rate_limit.RateLimit) -> None:
        """Records a peer's report of a statement."""
        replica = self._reported_replica(short_id, reported.heard_at)
        if replica is None:
            return
        limit = rate_limit.after_peer(replica.rate_limit, reported)
        self._set_rate_limit(replica, limit, source="peer")

    def note_peer_leaving(
        self, short_id: int, heard_at: datetime.timedelta
    ) -> None:
        """Records a peer's report that a replica said it leaves."""
        replica = self._reported_replica(short_id, heard_at)
        if replica is not None:
            self._note_leaving(replica, heard_at, source="peer")

    def _reported_replica(
        self, short_id: int, heard_at: datetime.timedelta
    ) -> replica_module.Replica | None:
        """Returns the replica of a peer's report; None if it is of none.

        Where entries do not state their start, all starts under one id have the
        same hash, and a report from before the present one is of a former one.
        """
        replica = self._directory.by_short_id(short_id)
        if replica is None:
            return None
        is_of_former = (
            replica.replaced_at is not None and heard_at < replica.replaced_at
        )
        return None if is_of_former else replica

    def asking(self) -> list[replica_module.Replica]:
        """Returns the replicas that ask their senders for something."""
        if not self._stated and not self._resting:
            return []
        now = self._clock.monotonic()
        return [
            replica
            for replica in (self._stated | self._resting).values()
            if self._directory.is_current(replica)
            and (
                replica.rate_limit_per_s is not None
                or replica.is_leaving
                or replica.is_resting(now)
            )
        ]

    def latest(self, max_count: int) -> list[replica_module.Replica]:
        """Returns the replicas with the latest statements, the latest first."""
        self._drop_old()
        stated = sorted(self._stated.values(), key=_last_heard_at, reverse=True)
        return stated[:max_count]

    def take_updates(self, max_count: int) -> list[replica_module.Replica]:
        """Returns and forgets replicas whose change is to be told to peers."""
        taken = list(itertools.islice(self._changed, max_count))
        found = [self._changed.pop(replica_id) for replica_id in taken]
        if not self._changed:
            self.updates.clear()
        return found

    def _drop_old(self) -> None:
        """Drops replicas that are gone or whose limit ended long ago."""
        oldest = self._clock.monotonic() - _END_RETENTION
        self._stated = {
            replica_id: replica
            for replica_id, replica in self._stated.items()
            if self._directory.is_current(replica)
            and (
                replica.said_leaving_at is not None
                or replica.rate_limit_per_s is not None
                or replica.rate_limit.heard_at > oldest
            )
        }

    def _note_leaving(
        self,
        replica: replica_module.Replica,
        heard_at: datetime.timedelta,
        *,
        source: str,
    ) -> None:
        """Records that a replica leaves, which no later statement undoes."""
        if replica.said_leaving_at is not None:
            return
        was_known = replica.is_leaving
        replica.said_leaving_at = heard_at
        self._stated[replica.entry.replica_id] = replica
        self._note_change(replica)
        if not was_known:
            logs.note(
                "replica:leaving",
                replica=replica.entry.replica_id,
                source=source,
                age_ms=self._age_ms(heard_at),
            )

    def _note_rest(
        self, replica: replica_module.Replica, rest: datetime.timedelta
    ) -> None:
        now = self._clock.monotonic()
        self._resting = {
            replica_id: known
            for replica_id, known in self._resting.items()
            if known.is_resting(now)
        }
        self._resting[replica.entry.replica_id] = replica
        if not replica.is_resting(now):
            logs.note(
                "replica:rest",
                replica=replica.entry.replica_id,
                rest_s=rest.total_seconds(),
            )
        replica.note_rest(now + rest)

    def _set_rate_limit(
        self,
        replica: replica_module.Replica,
        limit: rate_limit.RateLimit | None,
        *,
        source: str,
    ) -> None:
        if limit is None:
            return
        before_per_s = replica.rate_limit_per_s
        replica.rate_limit = limit
        self._stated[replica.entry.replica_id] = replica
        if limit.per_s == before_per_s:
            return
        if _is_urgent(before_per_s, limit.per_s):
            self._note_change(replica)
        logs.note(
            "replica:rate_limit",
            replica=replica.entry.replica_id,
            per_s=limit.per_s,
            before_per_s=before_per_s,
            source=source,
            age_ms=self._age_ms(limit.heard_at),
        )

    def _note_change(self, replica: replica_module.Replica) -> None:
        """Has a change told to peers."""
        self._changed[replica.entry.replica_id] = replica
        self.updates.set()

    def _age_ms(self, heard_at: datetime.timedelta) -> int:
        return round((self._clock.monotonic() - heard_at) / _MILLISECOND)


def _is_urgent(before_per_s: float | None, per_s: float | None) -> bool:
    """Tells whether peers are told of a change at once."""
    if before_per_s is None or per_s is None:
        return True
    return per_s <= _SHARP_FALL * before_per_s


def _last_heard_at(replica: replica_module.Replica) -> datetime.timedelta:
    """Returns when a replica's latest statement was heard."""
    heard_at = [replica.said_leaving_at]
    if replica.rate_limit is not None:
        heard_at.append(replica.rate_limit.heard_at)
    return max(at for at in heard_at if at is not None)
