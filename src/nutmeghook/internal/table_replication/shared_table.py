"""A table that an instance replicates from the store and from peers."""

import abc
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import source
from nutmeghook.internal.table_replication import table_copy

_MILLISECOND = datetime.timedelta(milliseconds=1)
_NEVER_MS = -1
# Entries expire while the store is unreachable and are written again within two
# seconds of its return. A missing entry proves nothing until 200 ms after that.
LAPSE_GRACE = datetime.timedelta(milliseconds=2200)


class DeletionGrace(abc.ABC):
    """A time in which missing rows are not treated as deletions."""

    @abc.abstractmethod
    def remaining(self) -> datetime.timedelta:
        """Returns how much of it remains, at least 0."""

    @abc.abstractmethod
    def hold_deletions(self, until: datetime.timedelta) -> None:
        """Delays deletions until a monotonic time."""


class SharedTable:
    """A table whose revisions instances exchange by gossip.

    Attributes:
        copy: Its rows, to be served to peers.
        follower: Reads it from the store.
    """

    __slots__ = ("_clock", "_confirmed_at", "copy", "follower")

    def __init__(
        self,
        *,
        copy: table_copy.TableCopy,
        table_follower: follower.TableFollower,
        clock: clock_module.Clock,
    ):
        self.copy = copy
        self.follower = table_follower
        self._clock = clock
        self._confirmed_at: datetime.timedelta | None = None

    @property
    def revision(self) -> int:
        """All changes up to here were applied; -1 before the first."""
        return self.follower.revision

    def confirmed_at(self) -> datetime.timedelta | None:
        """Returns when the revision was last known to be the newest."""
        known = [
            moment
            for moment in (self._confirmed_at, self.follower.confirmed_at)
            if moment is not None
        ]
        return max(known, default=None)

    def confirmed_age_ms(self) -> int:
        """Returns the age of that confirmation; -1 if there is none."""
        confirmed_at = self.confirmed_at()
        if confirmed_at is None:
            return _NEVER_MS
        return round((self._clock.monotonic() - confirmed_at) / _MILLISECOND)

    def note_peer(self, revision: int, age_ms: int) -> None:
        """Records a peer's confirmation; it counts at the same revision."""
        if age_ms < 0:
            return
        proven_at = self._clock.monotonic() - age_ms * _MILLISECOND
        self.follower.note_contact(proven_at)
        if revision != self.revision:
            return
        if self._confirmed_at is None or proven_at > self._confirmed_at:
            self._confirmed_at = proven_at

    def note_same_rows(self, revision: int) -> None:
        """Records that a peer's table of a later revision has the same rows."""
        if revision > self.revision:
            self.copy.note_same_rows(revision)
            self.follower.skip_to(revision)

    def apply_update(
        self,
        rows: tuple[source.FollowedRow, ...],
        revision: int,
        *,
        whole: bool,
    ) -> None:
        """Applies rows from a peer."""
        if revision <= self.revision:
            return
        if whole:
            self.copy.replace(rows, revision)
        else:
            self.copy.change(rows)
        self.follower.skip_to(revision)
