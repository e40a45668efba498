"""Decodes entries of the replica list."""

import msgspec

from nutmeghook.internal.replicas import entries

_READY = "ready"


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    address: str
    zone: str = ""
    version: str = ""
    slots: int = 1
    # "ready" or "draining"; anything unknown takes no new work.
    state: str = _READY
    cold_left_ms: float = 0.0


_DECODER = msgspec.json.Decoder(_Entry)


def decode(replica_id: str, value: bytes) -> entries.ReplicaEntry:
    """Returns the entry.

    Raises:
        ValueError: It is malformed.
    """
    try:
        wire = _DECODER.decode(value)
    except msgspec.MsgspecError as error:
        raise ValueError(f"malformed entry {replica_id}: {error}") from error
    return entries.ReplicaEntry(
        replica_id=replica_id,
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        version=wire.version,
        slots=max(1, wire.slots),
        leaving=wire.state != _READY,
        cold_left_s=wire.cold_left_ms / 1000,
    )
