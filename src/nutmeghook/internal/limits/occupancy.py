"""How many places of a service's replicas are taken."""

import msgspec

# Below this part of the slots known from fresh counts, nothing is concluded.
# Counts are told within a data centre. Where one full replica of three is
# known, the others may have free places.
MIN_KNOWN_SHARE = 0.5
# Below this part of the slots taken, places count as free: counts are up to
# two seconds old, and requests are not spread evenly.
FULL_SHARE = 0.9


class Occupancy(msgspec.Struct, frozen=True, kw_only=True):
    """Places of some replicas, by the replicas' own counts.

    Attributes:
        slots: Slots of all the replicas.
        known_slots: Slots of those with fresh counts.
        taken: Slots of those that are taken.
        requests: Requests that run or wait there.
        own_requests: Those of this instance among them.
        has_free: One of them runs fewer than its slots, and nothing waits.
    """

    slots: int = 0
    known_slots: int = 0
    taken: int = 0
    requests: int = 0
    own_requests: float = 0
    has_free: bool = False

    @property
    def is_known(self) -> bool:
        """Tells whether enough counts are fresh to judge by."""
        known = self.known_slots
        return known > 0 and known >= MIN_KNOWN_SHARE * self.slots

    @property
    def is_short(self) -> bool:
        """Tells whether no place is free."""
        return (
            self.is_known
            and not self.has_free
            and self.taken >= FULL_SHARE * self.known_slots
        )

    @property
    def load(self) -> float:
        """Requests that run or wait for each known slot."""
        return self.requests / self.known_slots if self.known_slots else 0.0
