"""Where this instance's own requests left shared parts of prompts."""

import collections

# Parts remembered. A replica keeps some hundred long ones; a large fleet's
# instance sends 20 requests a second, so these are minutes.
MAX_PREFIXES = 4000


class CachedPrefixes:
    """The last replicas that read a key's shared parts."""

    __slots__ = ("_known",)

    def __init__(self):
        self._known: collections.OrderedDict[tuple[int, str], None] = (
            collections.OrderedDict()
        )

    def note(self, short_id: int, key: str) -> None:
        """Takes in that a replica has read a key's shared parts."""
        self._known[short_id, key] = None
        self._known.move_to_end((short_id, key))
        if len(self._known) > MAX_PREFIXES:
            self._known.popitem(last=False)

    def holds(self, short_id: int, key: str) -> bool:
        """Tells whether a replica is known to have read them."""
        return (short_id, key) in self._known
