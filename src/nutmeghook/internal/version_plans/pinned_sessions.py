"""Sessions that are pinned to the old version in the first half of a roll-out.

A session that was under way on the old version when a roll-out began may not
change its version in the first half. Its requests reach different instances,
and an instance that it reaches for the first time can't tell that it is not
new. If each instance relied on its own records, one session could change its
version four times. So instances gossip which sessions under way the canary
would take; they are few, since the canary is small.
"""

from collections.abc import Iterable

import xxhash

_DIGEST_BITS = 63


def digest_of(order_id: int, session: str) -> int:
    """Returns a digest, equal on all instances and different for each order."""
    digest = xxhash.xxh64_intdigest(f"{order_id}/{session}".encode())
    return digest >> (64 - _DIGEST_BITS)


def fraction_of(digest: int) -> float:
    """Maps a digest to a fraction between 0 and 1."""
    return digest / 2.0**_DIGEST_BITS


class PinnedSessions:
    """Digests of the sessions that stay on the old version during one order."""

    __slots__ = ("_known", "_own", "order_id")

    def __init__(self, *, order_id: int):
        self.order_id = order_id
        self._known: set[int] = set()
        self._own: list[int] = []

    def pin(self, digest: int) -> None:
        """Pins a session that is under way at this instance."""
        if digest not in self._known:
            self._known.add(digest)
            self._own.append(digest)

    def receive(self, digests: Iterable[int]) -> None:
        """Adds sessions that a peer has pinned."""
        self._known.update(digests)

    def is_pinned(self, digest: int) -> bool:
        """Tells whether a session is pinned."""
        return digest in self._known

    def own_since(self, position: int) -> list[int]:
        """Returns the sessions pinned here, from a position in the list on."""
        return self._own[position:]
