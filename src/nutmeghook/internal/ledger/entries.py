"""What a partition's log says of one request with a caller's key."""

import dataclasses
import enum
import sys

from nutmeghook.internal.ledger import records

# Tries of one key that were given up; older ones' late claims are long past.
_CLOSED_KEPT = 8


class EntryState(enum.IntEnum):
    """What the log says of a request."""

    OPEN = 0
    CLAIMED = 1
    UNKNOWN = 2
    FINISHED = 3


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Entry:
    """One request with a caller's key.

    Attributes:
        closed: Tries that were given up; a claim of theirs is void.
        row_key: Row that holds the answer, once finished.
        written_ms: Wall time of the last record.
    """

    state: EntryState
    request_id: str = ""
    claimant: str = ""
    body_digest: str = ""
    closed: tuple[str, ...] = ()
    row_key: str = ""
    written_ms: int = 0


NOTHING = Entry(state=EntryState.OPEN)


def after(
    entry: Entry, record: records.Record, row_key: str, written_ms: int
) -> Entry:
    """Returns the entry as it is after a record."""
    if isinstance(record, records.ClaimRecord):
        return Entry(
            state=EntryState.CLAIMED,
            request_id=record.request_id,
            claimant=sys.intern(record.claimant),
            body_digest=record.body_digest,
            closed=entry.closed,
            written_ms=written_ms,
        )
    if isinstance(record, records.FinishRecord):
        return Entry(
            state=EntryState.FINISHED,
            request_id=record.request_id,
            body_digest=record.body_digest,
            row_key=row_key,
            written_ms=written_ms,
        )
    return _after_close(entry, record, written_ms)


def _after_close(
    entry: Entry,
    record: records.ReleaseRecord | records.UnknownRecord,
    written_ms: int,
) -> Entry:
    mine = entry.request_id == record.request_id
    if isinstance(record, records.UnknownRecord):
        if entry.state is EntryState.OPEN or mine:
            return dataclasses.replace(
                entry,
                state=EntryState.UNKNOWN,
                request_id=record.request_id,
                written_ms=written_ms,
            )
        return entry
    closed = (*entry.closed, record.request_id)[-_CLOSED_KEPT:]
    if mine and entry.state is EntryState.CLAIMED:
        return Entry(
            state=EntryState.OPEN, closed=closed, written_ms=written_ms
        )
    return dataclasses.replace(entry, closed=closed, written_ms=written_ms)
