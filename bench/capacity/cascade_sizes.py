"""Sizes of the cascades' rows on the wire."""

from bench.capacity import figures
from bench.capacity import messages
from bench.capacity import planned
from nutmeghook.internal.routing import cascade_reader
from nutmeghook.internal.routing import cascade_rows

_IN_BASE64 = 4 / 3
BUCKET_TEMPLATES = planned.TEMPLATES / cascade_rows.BUCKETS


def bucket_bytes(facts: figures.Facts) -> float:
    """Returns the bytes of one read of a bucket's plans."""
    row_bytes = facts.at("footprint.plans_row_bytes", BUCKET_TEMPLATES)
    return messages.HTTP_BYTES + row_bytes * _IN_BASE64


def reading_bytes(facts: figures.Facts) -> float:
    """Returns the most bytes that an instance reads at a time.

    The limit is checked before each bucket, so the last one may exceed it.
    """
    head_bytes = facts.value("footprint.cascades_head_bytes") * _IN_BASE64
    return (
        messages.HTTP_BYTES
        + head_bytes
        + cascade_reader.MAX_READ_BYTES
        + bucket_bytes(facts)
    )


def tables_bytes(facts: figures.Facts) -> float:
    """Returns the bytes of all tables in the table service."""
    return cascade_rows.BUCKETS * facts.at(
        "footprint.tables_row_bytes", BUCKET_TEMPLATES
    )
