"""The backend servers that may take one kind of work, by nearness."""

import random

from nutmeghook.internal.routing import affinity
from nutmeghook.internal.routing import backends


class BackendPool:
    """Backend servers with one model version, or of one plain service.

    Adding, removing and drawing cost the same whatever the pool's size: a
    removed backend server's place is taken by the last one. The ring, which
    costs more to change, is made when the first key is looked up.
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
        """Lets a backend server be drawn; it may be in already."""
        if backend in self:
            return
        tier = self._tiers[backend.locality]
        self._members[backend.address] = backend
        self._positions[backend.address] = len(tier)
        tier.append(backend)
        if self._ring is not None and _belongs_on_ring(backend):
            self._ring.add(backend.address)

    def remove(self, backend: backends.Backend) -> None:
        """Stops a backend server from being drawn, if it is in."""
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
        """Draws up to `count` different ones that are not excluded.

        With none to exclude it costs `count` draws; each exclusion may cost
        one more, and there are only as many as the request had attempts.
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
        """Returns those that an affinity key belongs to, the first first."""
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
    """Tells whether affinity may lead to it.

    The whole region shares one ring, so that a session's requests meet
    whichever of the region's instances they enter by.
    """
    return backend.locality is not backends.Locality.OTHER_REGION
