"""Encodes rows of a table as one compressed block of bytes.

An instance's link may carry 5 Mbit/s, shared with responses to callers. Rows
are JSON and similar to each other: compressed they have a sixth to a tenth of
their size. A large row of which the peer has an earlier version is sent as the
deltas from that version. The same rows give the same bytes on every instance,
so that a transfer that one peer broke off can be resumed from another.
"""

import zlib

import msgspec

from nutmeghook.internal.table_replication import deltas
from nutmeghook.internal.table_replication import source
from nutmeghook.internal.table_replication import table_copy

# 300 KB of routes take 4 ms of a core; higher levels save a tenth of the size
# at twice the time.
_COMPRESSION_LEVEL = 4
# More than any table has: rows of the store are limited to 64 KB to 1 MB, and
# a list has up to 4,400 entries.
MAX_BYTES = 16 * 1024 * 1024


class InvalidPageError(ValueError):
    """The bytes are no page, or need a row version that is missing here."""


class _SentRow(msgspec.Struct, frozen=True, array_like=True):
    key: str
    version: int
    deleted: bool = False
    value: bytes = b""
    # If not 0, `steps` lead from this version to the value.
    base_version: int = 0
    steps: list[bytes] = []


_DECODER = msgspec.msgpack.Decoder(list[_SentRow])


def encode(
    rows: tuple[source.FollowedRow, ...],
    *,
    table: table_copy.TableCopy,
    known_revision: int | None,
) -> bytes:
    """Returns rows as bytes.

    Args:
        rows: What to send.
        table: Has the deltas of large rows.
        known_revision: The receiver has all rows as of this revision; None to
            send every value whole.
    """
    sent = [_sent(row, table=table, revision=known_revision) for row in rows]
    return zlib.compress(msgspec.msgpack.encode(sent), _COMPRESSION_LEVEL)


def decode(
    content: bytes, *, table: table_copy.TableCopy
) -> tuple[source.FollowedRow, ...]:
    """Returns the rows.

    Raises:
        InvalidPageError: They are malformed, or a row's deltas start from a
            version that `table` does not have.
    """
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(content, MAX_BYTES)
        sent = _DECODER.decode(data)
    except (zlib.error, msgspec.MsgspecError, RecursionError) as error:
        raise InvalidPageError(f"malformed: {error!r}") from error
    return tuple(_row(row, table=table) for row in sent)


def _sent(
    row: source.FollowedRow,
    *,
    table: table_copy.TableCopy,
    revision: int | None,
) -> _SentRow:
    row_deltas = (
        () if revision is None else table.deltas_after(row.key, revision)
    )
    if not row_deltas or row.deleted:
        return _SentRow(
            key=row.key,
            version=row.version,
            deleted=row.deleted,
            value=row.value,
        )
    return _SentRow(
        key=row.key,
        version=row.version,
        base_version=row_deltas[0].base_version,
        steps=[row_delta.delta for row_delta in row_deltas],
    )


def _row(sent: _SentRow, *, table: table_copy.TableCopy) -> source.FollowedRow:
    value = sent.value
    if sent.base_version:
        value = _apply_deltas(sent, table.row(sent.key))
    return source.FollowedRow(
        key=sent.key, value=value, version=sent.version, deleted=sent.deleted
    )


def _apply_deltas(sent: _SentRow, former: source.FollowedRow | None) -> bytes:
    if former is None or former.version != sent.base_version:
        raise InvalidPageError(
            f"deltas of {sent.key} need version {sent.base_version}"
        )
    value = former.value
    try:
        for row_delta in sent.steps:
            value = deltas.apply(value, row_delta)
    except deltas.InvalidDeltaError as error:
        raise InvalidPageError(f"{sent.key}: {error}") from error
    return value
