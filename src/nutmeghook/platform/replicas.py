"""Decodes entries of the replica list.

Anyone who may write to the store may write such a row, so each is validated: a
row that lacks a field, or in which one has another type or an absurd value, is
rejected. No field has a default that would let a row pass for a ready replica.
"""

import re
from typing import Annotated

import msgspec

from nutmeghook.internal.foundation import stored_json
from nutmeghook.internal.replicas import entries

_READY = "ready"
_STATES = frozenset({_READY, "draining"})
_ADDRESS = re.compile(r"(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}", re.ASCII)
_MAX_PORT = 65535
# Far beyond any engine's batch. Loads are divided by the slots, so an absurd
# number would make a replica look empty under any load.
_MAX_SLOTS = 1_000_000
# One day; no replica stays cold for that long after its start.
_MAX_COLD_MS = 86_400_000.0
# The year 2100. An entry with an earlier start than the last known one is
# ignored, so one far in the future would hide all later entries of its replica.
_MAX_START_MS = 4_102_444_800_000

# Ids and versions are written into headers of requests and into logs.
_PRINTABLE = re.compile(r"[^\x00-\x1f\x7f]+")
_Text = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=200, pattern=rf"^{_PRINTABLE.pattern}\Z"
    ),
]


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: _Text
    # "ip:port".
    address: _Text
    # The data centre.
    zone: _Text
    version: _Text
    # Requests that it serves concurrently.
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: str
    # How much longer it stays cold (slow after its start).
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_COLD_MS)]
    # The replica's counter of its updates. Not used, but every replica writes
    # it, so a row without it is rejected.
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    # Start time in Unix milliseconds; not every replica gives it.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_START_MS)] | None = None


class _Report(msgspec.Struct, frozen=True):
    """What a replica answers about itself, as far as it is used."""

    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_START_MS)] = 0


_DECODER = msgspec.json.Decoder(_Entry)
_REPORT_DECODER = msgspec.json.Decoder(_Report)


def decode(
    replica_id: str, value: bytes, row_version: int = 0
) -> entries.ReplicaEntry:
    """Returns the entry.

    Raises:
        ValueError: The row is rejected; the text says why.
    """
    wire = stored_json.decode(value, _DECODER)
    if not _PRINTABLE.fullmatch(replica_id):
        raise ValueError(f"an entry has the id {replica_id!r}")
    if wire.state not in _STATES:
        raise ValueError(f"entry {replica_id} has the state {wire.state!r}")
    if not _is_address(wire.address):
        raise ValueError(f"entry {replica_id} has the address {wire.address!r}")
    return entries.ReplicaEntry(
        replica_id=replica_id,
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        version=wire.version,
        slots=wire.slots,
        leaving=wire.state != _READY,
        cold_left_s=wire.cold_left_ms / 1000,
        started_ms=wire.born or 0,
        row_version=row_version,
    )


def decode_start_ms(body: bytes) -> int:
    """Returns the start that a replica states of itself; 0 if it does not."""
    try:
        return stored_json.decode(body, _REPORT_DECODER).born
    except stored_json.UnreadableError:
        return 0


def _is_address(text: str) -> bool:
    if not _ADDRESS.fullmatch(text):
        return False
    ip, _, port = text.partition(":")
    return (
        all(int(part) <= 255 for part in ip.split("."))
        and 1 <= int(port) <= _MAX_PORT
    )
