"""Identifiers that are unique over all instances without coordination."""

import itertools
import secrets


class IdentifierSource:
    """Creates ids that contain the incarnation of the process.

    The incarnation is random, so a restarted instance at the same address
    never repeats an id of its predecessor.
    """

    __slots__ = ("_counter", "incarnation")

    def __init__(self, *, incarnation: str | None = None):
        self.incarnation = incarnation or secrets.token_hex(6)
        self._counter = itertools.count(1)

    def mint(self, prefix: str) -> str:
        """Returns a new id, for example `req-3f2a9c1d5e70-17`."""
        return f"{prefix}-{self.incarnation}-{next(self._counter)}"
