"""The backend servers that may take one kind of work, by nearness."""

import random

from nutmeghook.internal.routing import backends


class BackendPool:
    """Backend servers with one model version, or of one plain service.

    Adding, removing and drawing cost the same whatever the pool's size: a
    removed backend server's place is taken by the last one.
    """

    __slots__ = ("_places", "_tiers")

    def __init__(self):
        self._tiers: tuple[list[backends.Backend], ...] = tuple(
            [] for _ in backends.Nearness
        )
        self._places: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, backend: backends.Backend) -> bool:
        return backend.address in self._places

    def add(self, backend: backends.Backend) -> None:
        """Lets a backend server be drawn; it may be in already."""
        if backend in self:
            return
        tier = self._tiers[backend.nearness]
        self._places[backend.address] = len(tier)
        tier.append(backend)

    def remove(self, backend: backends.Backend) -> None:
        """Stops a backend server from being drawn, if it is in."""
        place = self._places.pop(backend.address, None)
        if place is None:
            return
        tier = self._tiers[backend.nearness]
        last = tier.pop()
        if last is not backend:
            tier[place] = last
            self._places[last.address] = place

    def tier(self, nearness: backends.Nearness) -> list[backends.Backend]:
        """Returns those of one nearness, in no particular order."""
        return self._tiers[nearness]

    def draw(
        self,
        *,
        nearness: backends.Nearness,
        count: int,
        exclude: frozenset[str],
        rng: random.Random,
    ) -> list[backends.Backend]:
        """Draws up to `count` different ones that are not excluded.

        With none to exclude it costs `count` draws; each exclusion may cost
        one more, and there are only as many as the request had attempts.
        """
        tier = self._tiers[nearness]
        wanted = count + len(exclude)
        if len(tier) > wanted:
            drawn = rng.sample(tier, wanted)
        else:
            drawn = rng.sample(tier, len(tier))
        if exclude:
            drawn = [b for b in drawn if b.address not in exclude]
        return drawn[:count]
