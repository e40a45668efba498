"""Entries of the replica list."""

import msgspec


class ReplicaEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One start of a replica.

    Attributes:
        slots: Number of requests that it runs concurrently.
        leaving: It is draining and takes no new requests.
        cold_left_s: How much longer it is cold after its start.
        started_ms: Unix time of its start, which distinguishes starts under one
            id; 0 if the entry does not state it.
        row_version: Grows with each write by any replica; 0 if not known.
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
        """Returns whether another entry is of the same start of the replica.

        A process keeps its service, address, data centre and version for as
        long as it runs, so an entry that differs in one is of another process.
        """
        return (
            self.replica_id == other.replica_id
            and self.started_ms == other.started_ms
            and self.service == other.service
            and self.address == other.address
            and self.data_centre == other.data_centre
            and self.version == other.version
        )
