"""Consistent hashing of sessions and prompt prefixes onto backend servers.

Each backend server has many points on the ring; a key belongs to the next
point after its own hash. Instances that know the same backend servers agree
without communicating, and removing one moves only its own keys.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator

import xxhash

# More points spread the keys more evenly: with 64, the fullest of 12 backend
# servers has about a quarter more keys than the mean, which the chooser's
# bound on load evens out.
POINTS = 64


class AffinityRing:
    """A consistent-hash ring of the addresses of backend servers.

    A look-up takes time logarithmic in the number of points; a removal, and
    the first look-up after an addition, take time proportional to it.
    """

    __slots__ = ("_hashes", "_is_sorted", "_owners")

    def __init__(self):
        self._hashes: list[int] = []
        # Sorting is deferred to the next look-up, because reading a whole
        # list adds hundreds of replicas one after the other.
        self._is_sorted = True
        self._owners: dict[int, str] = {}

    def add(self, address: str) -> None:
        """Puts a backend server's points on the ring."""
        self.add_all([address])

    def add_all(self, addresses: Iterable[str]) -> None:
        """Puts the points of several backend servers on the ring."""
        for address in addresses:
            for point in _points_of(address):
                if point not in self._owners:
                    self._owners[point] = address
                    self._hashes.append(point)
        self._is_sorted = False

    def remove(self, address: str) -> None:
        """Removes a backend server's points from the ring."""
        for point in _points_of(address):
            if self._owners.get(point) == address:
                del self._owners[point]
        self._hashes = [h for h in self._hashes if h in self._owners]

    def owners(self, key: str, *, limit: int) -> Iterator[str]:
        """Yields up to `limit` distinct addresses, the key's owner first."""
        if not self._is_sorted:
            self._hashes.sort()
            self._is_sorted = True
        seen: set[str] = set()
        start = bisect.bisect(
            self._hashes, xxhash.xxh64_intdigest(key.encode())
        )
        for step in range(min(len(self._hashes), 8 * limit)):
            point = self._hashes[(start + step) % len(self._hashes)]
            owner = self._owners[point]
            if owner in seen:
                continue
            seen.add(owner)
            yield owner
            if len(seen) == limit:
                return


def _points_of(address: str) -> list[int]:
    return [
        xxhash.xxh64_intdigest(f"{address}#{number}".encode())
        for number in range(POINTS)
    ]
