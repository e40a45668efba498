"""A followed table's rows as they came, for peers that ask for them."""

import collections

from nutmeghook.internal.following import follower
from nutmeghook.internal.following import source

# Changes kept for peers that are a little behind; with fewer they get the
# whole table. A busy minute of 400 replicas is about as many.
MOST_CHANGES = 400


class TableCopy(follower.TableReader):
    """Keeps the rows and passes everything on to the reader behind it."""

    __slots__ = ("_changes", "_complete_after", "_reader", "_rows")

    def __init__(self, *, reader: follower.TableReader):
        self._reader = reader
        self._rows: dict[str, source.FollowedRow] = {}
        self._changes: collections.deque[source.FollowedRow] = (
            collections.deque()
        )
        # All changes after this revision are kept.
        self._complete_after = -1

    def replace(
        self, rows: tuple[source.FollowedRow, ...], revision: int
    ) -> None:
        """Takes in the whole table."""
        self._rows = {row.key: row for row in rows if not row.deleted}
        self._changes.clear()
        self._complete_after = revision
        self._reader.replace(rows, revision)

    def change(self, rows: tuple[source.FollowedRow, ...]) -> None:
        """Takes in changes."""
        for row in rows:
            if row.deleted:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
            self._changes.append(row)
            if len(self._changes) > MOST_CHANGES:
                dropped = self._changes.popleft()
                self._complete_after = max(
                    self._complete_after, dropped.version
                )
        self._reader.change(rows)

    def rows(self) -> tuple[source.FollowedRow, ...]:
        """Returns all rows."""
        return tuple(self._rows.values())

    def changes_after(
        self, revision: int
    ) -> tuple[source.FollowedRow, ...] | None:
        """Returns the changes after a revision, or None if not all are kept."""
        if revision < self._complete_after:
            return None
        return tuple(row for row in self._changes if row.version > revision)
