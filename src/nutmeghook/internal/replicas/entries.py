"""What the replica list says of a replica."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaEntry:
    """One start of a replica.

    Attributes:
        slots: Requests that it works on at once.
        leaving: It asked for no more work.
        cold_left_s: How much longer it is slow after its start.
        started_ms: Unix time of its start, which tells starts under one id
            apart; 0 if it does not tell.
        row_version: Grows with each word of any replica; 0 if not known.
    """

    replica_id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    leaving: bool
    cold_left_s: float = 0.0
    started_ms: int = 0
    row_version: int = 0

    def is_same_start(self, other: "ReplicaEntry") -> bool:
        """Tells whether another entry is of the same start of the replica.

        A process keeps its service, place and version for as long as it runs,
        so an entry that differs in one of them is of another one.
        """
        return (
            self.replica_id == other.replica_id
            and self.started_ms == other.started_ms
            and self.service == other.service
            and self.address == other.address
            and self.data_centre == other.data_centre
            and self.version == other.version
        )
