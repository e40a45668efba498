"""The backend servers that may take one kind of work, by locality."""

import random

from nutmeghook.internal.routing import affinity
from nutmeghook.internal.routing import backends


class BackendPool:
    """Backend servers with one model version, or of one plain service.

    Adding, removing and drawing take constant time: the last backend server
    moves to a removed one's position. The hash ring, which is slower to
    change, is built when the first key is looked up.
    """

    __slots__ = ("_members", "_positions", "_ring", "_tiers")

    def __init__(self):
        self._tiers: tuple[list[backends.Backend], ...] = tuple(
            [] for _ in backends.Locality
        )
        self._positions: dict[str, int] = {}
        self._members: dict[str, backends.Backend] = {}
        self._ring: affinity.AffinityRing | None = None

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, backend: backends.Backend) -> bool:
        return backend.address in self._members

    def add(self, backend: backends.Backend) -> None:
        """Adds a backend server, if it is not in already."""
        if backend in self:
            return
        tier = self._tiers[backend.locality]
        self._members[backend.address] = backend
        self._positions[backend.address] = len(tier)
        tier.append(backend)
        if self._ring is not None and _belongs_on_ring(backend):
            self._ring.add(backend.address)

    def remove(self, backend: backends.Backend) -> None:
        """Removes a backend server, if it is in."""
        if self._members.pop(backend.address, None) is None:
            return
        position = self._positions.pop(backend.address)
        tier = self._tiers[backend.locality]
        last = tier.pop()
        if last is not backend:
            tier[position] = last
            self._positions[last.address] = position
        if self._ring is not None and _belongs_on_ring(backend):
            self._ring.remove(backend.address)

    def draw(
        self,
        *,
        locality: backends.Locality,
        count: int,
        exclude: frozenset[str],
        rng: random.Random,
    ) -> list[backends.Backend]:
        """Draws up to `count` distinct ones that are not excluded.

        It takes `count` draws and one more for each exclusion, of which there
        are only as many as the request had attempts.
        """
        tier = self._tiers[locality]
        wanted = min(len(tier), count + len(exclude))
        if wanted == 0:
            return []
        drawn = rng.sample(tier, wanted)
        if exclude:
            drawn = [b for b in drawn if b.address not in exclude]
        return drawn[:count]

    def owners(self, key: str, *, limit: int) -> list[backends.Backend]:
        """Returns the owners of an affinity key, in ring order."""
        if self._ring is None:
            self._ring = affinity.AffinityRing()
            self._ring.add_all(
                [
                    b.address
                    for b in self._members.values()
                    if _belongs_on_ring(b)
                ]
            )
        return [self._members[a] for a in self._ring.owners(key, limit=limit)]


def _belongs_on_ring(backend: backends.Backend) -> bool:
    """Tells whether affinity may choose it.

    The whole region shares one ring, so that a session's requests reach the
    same backend server through any of the region's instances.
    """
    return backend.locality is not backends.Locality.ELSEWHERE
