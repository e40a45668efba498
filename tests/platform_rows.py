"""Rows as the users' platform writes them."""

import msgspec

REPLICA_FIELDS = {
    "service": "service",
    "address": "10.0.0.1:80",
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 1,
}


def replica_row(**changes) -> bytes:
    """Returns a replica's entry with changed fields; None omits a field.

    Names are those on the wire.
    """
    fields = REPLICA_FIELDS | changes
    return msgspec.json.encode(
        {name: value for name, value in fields.items() if value is not None}
    )
