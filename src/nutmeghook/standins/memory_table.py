"""In-memory table service with rate limits."""

import bisect

from nutmeghook.internal.dependencies import table
from nutmeghook.standins import rate_limited_store

ROWS_PER_READ = 100


class MemoryTable(rate_limited_store.RateLimitedStore, table.TableService):
    """Rows in a dict; a commit happens in one step of the event loop.

    A commit costs one write for each put and delete, even if its conditions
    fail, or one read if it has neither. A scan costs one read for each 100
    rows, rounded up.

    Attributes:
        commits: Commits that took effect.
    """

    __slots__ = ("_keys", "_last_version", "_rows", "commits")

    def __init__(self, **limits):
        super().__init__(**limits)
        self._rows: dict[str, table.Row] = {}
        self._keys: list[str] = []
        self._last_version = table.ABSENT_VERSION
        self.commits = 0

    async def read(self, key: str) -> table.Row | None:
        """Returns the row, or None if there is none."""
        await self.faults.before_read()
        self._read_limit.spend(1)
        return self._rows.get(key)

    async def scan(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[table.Row]:
        """Returns rows whose key has the prefix, in key order."""
        await self.faults.before_read()
        rows = self._scan(prefix, after, limit)
        self._read_limit.spend(max(1, -(-len(rows) // ROWS_PER_READ)))
        return rows

    async def commit(
        self, transaction: table.Transaction
    ) -> table.CommitResult:
        """Applies the transaction if all its conditions hold."""
        return await self.faults.write(lambda: self._commit(transaction))

    def _scan(self, prefix: str, after: str, limit: int) -> list[table.Row]:
        start = bisect.bisect_left(self._keys, prefix)
        start = max(start, bisect.bisect_right(self._keys, after))
        rows = []
        for index in range(start, min(start + limit, len(self._keys))):
            key = self._keys[index]
            if not key.startswith(prefix):
                break
            rows.append(self._rows[key])
        return rows

    def _commit(self, transaction: table.Transaction) -> table.CommitResult:
        self._spend(transaction)
        failed = [
            condition.key
            for condition in transaction.conditions
            if self._version(condition.key) != condition.version
        ]
        if failed:
            current = [self._rows[key] for key in failed if key in self._rows]
            return table.CommitResult(committed=False, current=tuple(current))
        for key in transaction.deletes:
            self._delete(key)
        versions = tuple(self._put(put) for put in transaction.puts)
        self.commits += 1
        return table.CommitResult(committed=True, versions=versions)

    def _spend(self, transaction: table.Transaction) -> None:
        writes = len(transaction.puts) + len(transaction.deletes)
        if writes:
            self._write_limit.spend(writes)
        else:
            self._read_limit.spend(1)

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else table.ABSENT_VERSION

    def _put(self, put: table.Put) -> int:
        # One counter for all rows: a row that is deleted and created again
        # never gets a version that it had before.
        self._last_version += 1
        if put.key not in self._rows:
            bisect.insort(self._keys, put.key)
        self._rows[put.key] = table.Row(
            key=put.key, value=put.value, version=self._last_version
        )
        return self._last_version

    def _delete(self, key: str) -> None:
        if self._rows.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]
