"""A followed table's rows as they stand, for peers that ask for them."""

import collections
from collections.abc import Iterable
import dataclasses

from nutmeghook.internal.table_replication import deltas
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import source

# Deletions kept for peers that are a little behind; with fewer they get the
# whole table. A busy minute of 400 replicas is about as many.
MAX_DELETIONS = 400
# Rows smaller than this are sent whole: a replica's entry has some 300 bytes,
# and a difference would save little of it.
_MIN_DELTA_BYTES = 2048
# Steps kept of each large row. Configurations come in series of some twenty
# within a few seconds; a peer further behind gets the row whole.
_MAX_DELTAS = 32


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RowDelta:
    """How a row went from one version to a later one.

    Attributes:
        base_version: The version before.
        version: The version after.
        difference: Of the values; see `deltas`.
    """

    base_version: int
    version: int
    delta: bytes


class TableCopy(follower.TableListener):
    """Keeps the rows and passes everything on to the reader behind it.

    Of a row that changed several times only the newest state is kept and
    given: a peer that missed a series of twenty configurations needs the last
    one. Of large rows the steps are kept too, as differences.
    """

    __slots__ = (
        "_complete_after",
        "_deletions",
        "_listener",
        "_row_deltas",
        "_rows",
    )

    def __init__(self, *, listener: follower.TableListener):
        self._listener = listener
        self._rows: dict[str, source.FollowedRow] = {}
        # By key, in the order of their versions.
        self._deletions: dict[str, source.FollowedRow] = {}
        self._row_deltas: dict[str, collections.deque[RowDelta]] = {}
        # All deletions after this revision are kept.
        self._complete_after = -1

    def replace(
        self, rows: tuple[source.FollowedRow, ...], revision: int
    ) -> None:
        """Takes in the whole table."""
        present = [row for row in rows if not row.deleted]
        keys = {row.key for row in present}
        for key in [key for key in self._rows if key not in keys]:
            self._remove_row(key)
        for row in present:
            self._set_row(row)
        self._deletions.clear()
        self._complete_after = revision
        self._listener.replace(rows, revision)

    def change(self, rows: tuple[source.FollowedRow, ...]) -> None:
        """Takes in changes."""
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

    def row(self, key: str) -> source.FollowedRow | None:
        """Returns a row, or None where there is none."""
        return self._rows.get(key)

    def changes_after(
        self, revision: int
    ) -> tuple[source.FollowedRow, ...] | None:
        """Returns the state of all rows that changed after a revision.

        Deletions among them; None if not all of these are kept.
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
        """Returns the steps from a row's version at a revision to its newest.

        Empty where they are not kept. The base of the first may be another
        version than the one that a peer at that revision has, where this
        instance skipped one; the peer has to compare.
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
        # Steps that are together as long as the row are no gain.
        while sum(len(s.delta) for s in row_deltas) > len(row.value):
            row_deltas.popleft()

    def _remove_row(self, key: str) -> None:
        self._rows.pop(key, None)
        self._row_deltas.pop(key, None)

    def _record_deletion(self, row: source.FollowedRow) -> None:
        self._deletions.pop(row.key, None)
        self._deletions[row.key] = row
        if len(self._deletions) > MAX_DELETIONS:
            oldest = next(iter(self._deletions))
            dropped = self._deletions.pop(oldest)
            self._complete_after = max(self._complete_after, dropped.version)


def _in_order(
    rows: Iterable[source.FollowedRow],
) -> tuple[source.FollowedRow, ...]:
    return tuple(sorted(rows, key=lambda row: (row.version, row.key)))
