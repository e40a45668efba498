"""Backlogs that peers have at replicas, as they last reported."""

import collections
import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import backlog as backlog_module

# An instance with a backlog reports it five times a second to eight peers. A
# report this old has been processed since, or its sender has gone.
BACKLOG_MAX_AGE = datetime.timedelta(seconds=1)
_NONE = backlog_module.Backlog()


class _PeerReport(msgspec.Struct, frozen=True, kw_only=True):
    at: datetime.timedelta
    by_replica: dict[int, backlog_module.Backlog]


class PeerBacklogs:
    """Sums up the reported backlogs of each replica, by its short id.

    Sums are updated with each report, so that a look-up's cost does not depend
    on the number of peers.
    """

    __slots__ = ("_by_peer", "_clock", "_totals")

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        # The latest report at the end.
        self._by_peer: collections.OrderedDict[str, _PeerReport] = (
            collections.OrderedDict()
        )
        self._totals: dict[int, backlog_module.Backlog] = {}

    def update(
        self, peer_id: str, by_replica: dict[int, backlog_module.Backlog]
    ) -> None:
        """Replaces a peer's report by a new one, which is its whole state."""
        self._drop(peer_id)
        # Less than half a millisecond is rounded to zero in messages.
        by_replica = {
            i: backlog for i, backlog in by_replica.items() if backlog
        }
        if not by_replica:
            return
        self._by_peer[peer_id] = _PeerReport(
            at=self._clock.monotonic(), by_replica=by_replica
        )
        for short_id, backlog in by_replica.items():
            self._totals[short_id] = self._totals.get(short_id, _NONE) + backlog

    def of_replica(self, short_id: int) -> backlog_module.Backlog:
        """Returns a replica's backlog from all peers."""
        self._drop_old()
        return self._totals.get(short_id, _NONE)

    def _drop_old(self) -> None:
        oldest = self._clock.monotonic() - BACKLOG_MAX_AGE
        while self._by_peer:
            peer_id, report = next(iter(self._by_peer.items()))
            if report.at >= oldest:
                return
            self._drop(peer_id)

    def _drop(self, peer_id: str) -> None:
        report = self._by_peer.pop(peer_id, None)
        if report is None:
            return
        for short_id, backlog in report.by_replica.items():
            left = self._totals[short_id] - backlog
            if left:
                self._totals[short_id] = left
            else:
                del self._totals[short_id]
