"""What other instances have under way at replicas, as they last told."""

import dataclasses
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import backlog as backlog_module

# An instance that has something under way tells it five times a second to
# eight peers. What it told this long ago has been read since, or the instance
# has gone.
BACKLOG_LIFE = datetime.timedelta(seconds=1)
_NONE = backlog_module.Backlog()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Told:
    at: datetime.timedelta
    by_replica: dict[int, backlog_module.Backlog]


class PeerBacklogs:
    """Sums up what peers told of each replica, by the replicas' short ids."""

    __slots__ = ("_by_peer", "_clock")

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._by_peer: dict[str, _Told] = {}

    def note(
        self, peer_id: str, by_replica: dict[int, backlog_module.Backlog]
    ) -> None:
        """Takes in all that a peer has under way; it told no more than this."""
        if not by_replica:
            self._by_peer.pop(peer_id, None)
            return
        self._by_peer[peer_id] = _Told(
            at=self._clock.monotonic(), by_replica=by_replica
        )

    def at(self, short_id: int) -> backlog_module.Backlog:
        """Returns the sum for a replica."""
        self._drop_old()
        total = _NONE
        for told in self._by_peer.values():
            total += told.by_replica.get(short_id, _NONE)
        return total

    def _drop_old(self) -> None:
        oldest = self._clock.monotonic() - BACKLOG_LIFE
        for peer_id in [p for p, t in self._by_peer.items() if t.at < oldest]:
            del self._by_peer[peer_id]
