"""In-memory object store with rate limits."""

import bisect

from nutmeghook.internal.dependencies import objects
from nutmeghook.standins import rate_limited_store


class MemoryObjects(rate_limited_store.RateLimitedStore, objects.ObjectStore):
    """Blobs in a dict; each call counts as one read or one write."""

    __slots__ = ("_blobs", "_keys")

    def __init__(self, **limits):
        super().__init__(**limits)
        self._blobs: dict[str, bytes] = {}
        self._keys: list[str] = []

    async def put_if_absent(self, key: str, content: bytes) -> bool:
        """Stores the blob; returns False if the key exists already."""
        return await self.faults.write(lambda: self._put(key, content))

    async def get(self, key: str) -> bytes | None:
        """Returns the blob, or None if there is none."""
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
