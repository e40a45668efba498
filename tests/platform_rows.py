"""Rows as the users' platform writes them."""

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import metrics
from nutmeghook.internal.observe import unreadable_values as unreadable_module

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


def unreadable_values() -> unreadable_module.UnreadableValues:
    """Returns a count of rows and headers that can't be read."""
    return unreadable_module.UnreadableValues(
        metrics=metrics.Metrics(), clock=clock_module.FakeClock()
    )
