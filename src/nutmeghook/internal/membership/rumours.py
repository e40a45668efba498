"""Claims piggybacked on probes, each a bounded number of times."""

import dataclasses
import heapq
import math

from nutmeghook.internal.membership import claims

RUMOURS_PER_MESSAGE = 5
# Times that each instance sends a rumour, per doubling of the fleet. With 2 a
# rumour misses fewer than one instance in a hundred at 5% loss; those notice
# that their members' hash differs, and sync tables.
_REPEATS_PER_DOUBLING = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class _Rumour:
    claim: claims.Claim
    times_sent: int = 0


class RumourQueue:
    """The newest claim about each address that is still to be gossiped."""

    __slots__ = ("_rumours",)

    def __init__(self):
        self._rumours: dict[str, _Rumour] = {}

    def add(self, claim: claims.Claim) -> None:
        """Queues a claim in place of an older one about the same address."""
        self._rumours[claim.member.inner_address] = _Rumour(claim=claim)

    def pick(self, members_count: int) -> list[claims.Claim]:
        """Returns the claims for the next message, least often sent first."""
        limit = repeats(members_count)
        chosen = heapq.nsmallest(
            RUMOURS_PER_MESSAGE,
            self._rumours.values(),
            key=lambda rumour: rumour.times_sent,
        )
        for rumour in chosen:
            rumour.times_sent += 1
            if rumour.times_sent >= limit:
                del self._rumours[rumour.claim.member.inner_address]
        return [rumour.claim for rumour in chosen]

    def __len__(self) -> int:
        return len(self._rumours)


def repeats(members_count: int) -> int:
    """Returns how many times each instance sends a rumour."""
    return math.ceil(_REPEATS_PER_DOUBLING * math.log2(members_count + 1))
