"""A copy of a replicated table's current rows, to be served to peers."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import datetime

import msgspec
import xxhash

from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import deltas
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import source

# Tombstones kept. A peer that is further behind than these gets the whole
# table; 400 replicas cause about as many deletions in a busy minute.
MAX_DELETIONS = 400
# Smaller rows are sent whole: a replica's entry has some 300 bytes, of which a
# delta would save little.
_MIN_DELTA_BYTES = 2048
# For so long after a restore of the store from an older copy its writers write
# again what it has lost. Replicas do so with their next heartbeats.
RESTORE_GRACE = datetime.timedelta(milliseconds=2200)
# Deltas kept of each large row. Configurations change in series of some twenty
# within a few seconds; a peer that is further behind gets the whole row.
_MAX_DELTAS = 32


class RowDelta(msgspec.Struct, frozen=True, kw_only=True):
    """The change of a row from one version to a later one.

    Attributes:
        base_version: The version that the delta applies to.
        version: The version that results.
        delta: Of the row's value; see `deltas`.
    """

    base_version: int
    version: int
    delta: bytes


class TableCopy(follower.TableListener):
    """Keeps the rows and passes all changes on to another listener.

    Only the newest state of each row is kept and served: a peer that missed a
    series of twenty configurations needs only the last one. Deltas of large
    rows are kept too.

    A store that was restored from an older copy lacks rows, and has others that
    were changed or deleted since the copy. The listener keeps what it knows,
    with the changes that follow, and gets the whole table once what was lost
    has been written again: after a while, and not while something is known to
    be missing.

    Args:
        listener: Gets the changes.
        ordered_keys: Rows whose values tell by themselves which is the newer.
            The listener gets them from a restored store at once.
        is_written_again: Tells whether nothing is known to be missing still
            from the table of a restored store.
        clock: Measures the time since a restore.
    """

    __slots__ = (
        "_clock",
        "_complete_after",
        "_deletions",
        "_is_written_again",
        "_listener",
        "_ordered_keys",
        "_revision",
        "_row_deltas",
        "_rows",
        "_rows_hash",
        "_settles_at",
    )

    def __init__(
        self,
        *,
        listener: follower.TableListener,
        ordered_keys: frozenset[str] = frozenset(),
        is_written_again: Callable[[], bool] = lambda: True,
        clock: clock_module.Clock,
    ):
        self._listener = listener
        self._is_written_again = is_written_again
        self._ordered_keys = ordered_keys
        self._clock = clock
        self._rows: dict[str, source.FollowedRow] = {}
        self._rows_hash = 0
        # By key, in the order of their versions.
        self._deletions: dict[str, source.FollowedRow] = {}
        self._row_deltas: dict[str, collections.deque[RowDelta]] = {}
        # All tombstones after this revision are kept.
        self._complete_after = -1
        # Of the last whole table; -1 before the first.
        self._revision = -1
        # When the listener gets the table of a restored store; None if it has
        # it.
        self._settles_at: datetime.timedelta | None = None

    def replace(
        self, rows: tuple[source.FollowedRow, ...], revision: int
    ) -> None:
        """Replaces the whole table."""
        former_epoch = revisions.epoch_of(self._revision)
        is_restored = self._revision >= 0 and (
            revisions.epoch_of(revision) > former_epoch
        )
        self._revision = revision
        present = [row for row in rows if not row.deleted]
        keys = {row.key for row in present}
        for key in [key for key in self._rows if key not in keys]:
            self._remove_row(key)
        for row in present:
            self._set_row(row)
        self._deletions.clear()
        self._complete_after = revision
        if is_restored:
            self._settles_at = self._clock.monotonic() + RESTORE_GRACE
        if self._settles_at is None:
            self._listener.replace(rows, revision)
            return
        self._listener.change(
            tuple(row for row in present if row.key in self._ordered_keys)
        )

    def note_same_rows(self, revision: int) -> None:
        """Records that the rows are those of a later revision.

        A row may have come and gone before it, of which no tombstone is kept
        here. Peers that have that row need the whole table.
        """
        self._complete_after = max(self._complete_after, revision)

    def settle(self) -> None:
        """Gives the listener the table that was held back after a restore.

        Does nothing before its time, if something is known to be missing, or
        if nothing is held back.
        """
        if self._settles_at is None or not self._is_written_again():
            return
        if self._clock.monotonic() < self._settles_at:
            return
        self._settles_at = None
        self._listener.replace(self.rows(), self._revision)

    def change(self, rows: tuple[source.FollowedRow, ...]) -> None:
        """Applies changes."""
        for row in rows:
            if row.deleted:
                self._remove_row(row.key)
                self._record_deletion(row)
            else:
                self._deletions.pop(row.key, None)
                self._set_row(row)
        self._listener.change(rows)

    def rows(self) -> tuple[source.FollowedRow, ...]:
        """Returns all rows, by version."""
        return _in_order(self._rows.values())

    @property
    def rows_hash(self) -> int:
        """A hash of the rows' keys and versions, in 63 bits.

        Copies with the same hash hold the same rows: a row that is written
        gets a new version.
        """
        return self._rows_hash

    def row(self, key: str) -> source.FollowedRow | None:
        """Returns a row, or None where there is none."""
        return self._rows.get(key)

    def changes_after(
        self, revision: int
    ) -> tuple[source.FollowedRow, ...] | None:
        """Returns the current state of all rows changed after a revision.

        Tombstones included; None if some of these are no longer kept.
        """
        if revision < self._complete_after:
            return None
        changed = [
            row
            for rows in (self._rows, self._deletions)
            for row in rows.values()
            if row.version > revision
        ]
        return _in_order(changed)

    def deltas_after(self, key: str, revision: int) -> tuple[RowDelta, ...]:
        """Returns the deltas from a row's version at a revision to its newest.

        Empty where they are not kept. If this instance skipped a version, the
        first delta's base may differ from the version that a peer at that
        revision has, so the peer has to compare them.
        """
        row_deltas = self._row_deltas.get(key, ())
        before = [s for s in row_deltas if s.base_version <= revision]
        if not before or before[-1].version <= revision:
            return ()
        base_version = before[-1].base_version
        return tuple(s for s in row_deltas if s.base_version >= base_version)

    def _set_row(self, row: source.FollowedRow) -> None:
        former = self._rows.get(row.key)
        self._rows[row.key] = row
        self._rows_hash ^= _hash_of(row) ^ _hash_of(former)
        if former is None or former.version == row.version:
            return
        if min(len(former.value), len(row.value)) < _MIN_DELTA_BYTES:
            self._row_deltas.pop(row.key, None)
            return
        row_deltas = self._row_deltas.setdefault(
            row.key, collections.deque(maxlen=_MAX_DELTAS)
        )
        row_deltas.append(
            RowDelta(
                base_version=former.version,
                version=row.version,
                delta=deltas.compute(former.value, row.value),
            )
        )
        # Deltas that are longer than the row in sum save nothing.
        while sum(len(s.delta) for s in row_deltas) > len(row.value):
            row_deltas.popleft()

    def _remove_row(self, key: str) -> None:
        self._rows_hash ^= _hash_of(self._rows.pop(key, None))
        self._row_deltas.pop(key, None)

    def _record_deletion(self, row: source.FollowedRow) -> None:
        self._deletions.pop(row.key, None)
        self._deletions[row.key] = row
        if len(self._deletions) > MAX_DELETIONS:
            oldest = next(iter(self._deletions))
            dropped = self._deletions.pop(oldest)
            self._complete_after = max(self._complete_after, dropped.version)


def _hash_of(row: source.FollowedRow | None) -> int:
    """Returns a hash of a row's key and version; 0 for no row."""
    if row is None:
        return 0
    # 63 bits, since thrift's integers are signed.
    return xxhash.xxh3_64_intdigest(f"{row.version} {row.key}".encode()) >> 1


def _in_order(
    rows: Iterable[source.FollowedRow],
) -> tuple[source.FollowedRow, ...]:
    return tuple(sorted(rows, key=lambda row: (row.version, row.key)))
