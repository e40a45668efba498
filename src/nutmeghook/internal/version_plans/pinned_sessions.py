"""Sessions that may not move to a new version yet.

A session that was under way on the old version when a roll-out began may not
change its version in the first half. It goes from instance to instance, and
the next one can't tell whether it has just begun. In one trial, where each
instance went by what it remembered, a session went to and fro four times. So
instances tell each other which of the sessions that the trial would take were
under way: a few, since the trial is small.
"""

from collections.abc import Iterable

import xxhash

_DIGEST_BITS = 63


def digest_of(order_id: int, session: str) -> int:
    """Returns a session's digest, the same everywhere, other for each order."""
    digest = xxhash.xxh64_intdigest(f"{order_id}/{session}".encode())
    return digest >> (64 - _DIGEST_BITS)


def fraction_of(digest: int) -> float:
    """Places a digest between 0 and 1."""
    return digest / 2.0**_DIGEST_BITS


class PinnedSessions:
    """Digests of the sessions that one order leaves where they are."""

    __slots__ = ("_known", "_own", "order_id")

    def __init__(self, *, order_id: int):
        self.order_id = order_id
        self._known: set[int] = set()
        self._own: list[int] = []

    def pin(self, digest: int) -> None:
        """Takes in a session that this instance saw under way."""
        if digest not in self._known:
            self._known.add(digest)
            self._own.append(digest)

    def receive(self, digests: Iterable[int]) -> None:
        """Takes in sessions that a peer saw under way."""
        self._known.update(digests)

    def is_pinned(self, digest: int) -> bool:
        """Tells whether a session was under way."""
        return digest in self._known

    def own_since(self, position: int) -> list[int]:
        """Returns what this instance saw, from a position in its list on."""
        return self._own[position:]
