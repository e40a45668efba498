"""What the replica list says of a replica."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaEntry:
    """One start of a replica; a restart is another replica.

    Attributes:
        slots: Requests that it works on at once.
        leaving: It asked for no more work.
        cold_left_s: How much longer it is slow after its start.
    """

    replica_id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    leaving: bool
    cold_left_s: float = 0.0
