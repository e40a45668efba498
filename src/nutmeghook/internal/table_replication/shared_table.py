"""A table as an instance knows it, from the store and from its peers."""

import abc
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import source
from nutmeghook.internal.table_replication import table_copy

_MILLISECOND = datetime.timedelta(milliseconds=1)
_NEVER_MS = -1


class DeletionGrace(abc.ABC):
    """Knows for how long missing rows are not taken for deletions."""

    @abc.abstractmethod
    def remaining(self) -> datetime.timedelta:
        """Returns for how much longer, 0 at least."""

    @abc.abstractmethod
    def hold_deletions(self, until: datetime.timedelta) -> None:
        """Holds deletions back until a monotonic time."""


class SharedTable:
    """A table that instances tell each other of.

    Attributes:
        copy: Its rows, for peers.
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
        """All changes up to here were taken in; -1 before the first."""
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
        """Returns the age of that knowledge; -1 without any."""
        confirmed_at = self.confirmed_at()
        if confirmed_at is None:
            return _NEVER_MS
        return round((self._clock.monotonic() - confirmed_at) / _MILLISECOND)

    def record_peer(self, revision: int, age_ms: int) -> None:
        """Takes in a peer's proof; it holds if the peer knows no more."""
        if age_ms < 0:
            return
        proven_at = self._clock.monotonic() - age_ms * _MILLISECOND
        self.follower.record_contact(proven_at)
        if revision != self.revision:
            return
        if self._confirmed_at is None or proven_at > self._confirmed_at:
            self._confirmed_at = proven_at

    def apply_update(
        self,
        rows: tuple[source.FollowedRow, ...],
        revision: int,
        *,
        whole: bool,
    ) -> None:
        """Takes in what a peer gave."""
        if revision <= self.revision:
            return
        if whole:
            self.copy.replace(rows, revision)
        else:
            self.copy.change(rows)
        self.follower.skip_to(revision)
