"""Prompt prefixes that replicas have cached from this instance's requests."""

import collections

# Prefixes remembered. A replica caches some hundred long ones; an instance of a
# large fleet sends 20 requests a second, so the limit covers minutes.
MAX_PREFIXES = 4000


class CachedPrefixes:
    """The pairs of replica and affinity key with the latest prefills."""

    __slots__ = ("_known",)

    def __init__(self):
        self._known: collections.OrderedDict[tuple[int, str], None] = (
            collections.OrderedDict()
        )

    def note(self, short_id: int, key: str) -> None:
        """Records that a replica has processed a key's prompt prefix."""
        self._known[short_id, key] = None
        self._known.move_to_end((short_id, key))
        if len(self._known) > MAX_PREFIXES:
            self._known.popitem(last=False)

    def holds(self, short_id: int, key: str) -> bool:
        """Returns whether a replica is known to have processed it."""
        return (short_id, key) in self._known
