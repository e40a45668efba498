"""Where sessions and prompt prefixes belong: a ring of hashed points.

Each backend server has many points on the ring; a key belongs to the next
point after its own hash. All instances that know the same backend servers
agree without talking, and one that goes gives only its own keys away.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator

import xxhash

# More points spread the keys more evenly: with 64, the fullest of 12 backend
# servers has about a quarter more keys than the mean, which the bound on load
# takes off again.
POINTS = 64


class AffinityRing:
    """The addresses of backend servers, in an order that a key decides.

    A look-up costs the logarithm of the number of points; the first one after
    a change, and a removal, cost time in proportion to it.
    """

    __slots__ = ("_hashes", "_is_sorted", "_owners")

    def __init__(self):
        self._hashes: list[int] = []
        # Sorted at the next look-up: a list of replicas that is read whole
        # adds hundreds one after the other.
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
        """Takes a backend server's points away."""
        for point in _points_of(address):
            if self._owners.get(point) == address:
                del self._owners[point]
        self._hashes = [h for h in self._hashes if h in self._owners]

    def owners(self, key: str, *, limit: int) -> Iterator[str]:
        """Yields up to `limit` different addresses, the key's own first."""
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
