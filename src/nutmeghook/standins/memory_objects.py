"""The object store in memory, with its limits."""

import bisect

from nutmeghook.internal.dependencies import objects
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import faults as faults_module
from nutmeghook.standins import rate_limit

WRITES_PER_S = 400
READS_PER_S = 2000


class MemoryObjects(objects.ObjectStore):
    """Blobs in a dict; each call counts as one read or one write."""

    __slots__ = ("_blobs", "_keys", "_read_limit", "_write_limit", "faults")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        faults: faults_module.Faults | None = None,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
    ):
        self.faults = faults or faults_module.Faults(clock=clock)
        self._write_limit = rate_limit.RateLimit(
            clock=clock, name="writes", per_s=writes_per_s
        )
        self._read_limit = rate_limit.RateLimit(
            clock=clock, name="reads", per_s=reads_per_s
        )
        self._blobs: dict[str, bytes] = {}
        self._keys: list[str] = []

    @property
    def writes(self) -> int:
        """Writes counted against the limit so far."""
        return self._write_limit.used

    @property
    def reads(self) -> int:
        """Reads counted against the limit so far."""
        return self._read_limit.used

    async def put_if_absent(self, key: str, content: bytes) -> bool:
        """Stores the blob; returns False where the key exists already."""
        return await self.faults.write(lambda: self._put(key, content))

    async def get(self, key: str) -> bytes | None:
        """Returns the blob, or None where there is none."""
        await self.faults.before_read()
        self._read_limit.spend(1)
        return self._blobs.get(key)

    async def list_keys(
        self, *, prefix: str, after: str = "", limit: int = 1000
    ) -> list[str]:
        """Returns the keys with the prefix greater than `after`, in order."""
        await self.faults.before_read()
        self._read_limit.spend(1)
        start = bisect.bisect_left(self._keys, prefix)
        start = max(start, bisect.bisect_right(self._keys, after))
        found = self._keys[start : start + limit]
        return [key for key in found if key.startswith(prefix)]

    async def delete(self, key: str) -> None:
        """Removes the blob, if it is there."""
        await self.faults.write(lambda: self._delete(key))

    def _put(self, key: str, content: bytes) -> bool:
        self._write_limit.spend(1)
        if key in self._blobs:
            return False
        bisect.insort(self._keys, key)
        self._blobs[key] = content
        return True

    def _delete(self, key: str) -> None:
        self._write_limit.spend(1)
        if self._blobs.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]
