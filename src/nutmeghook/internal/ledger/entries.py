"""The state of one request with a caller's key, from a partition's log."""

import dataclasses
import enum
import sys

from nutmeghook.internal.ledger import records

# Voided tries remembered for each key. A claim that arrives late belongs to a
# recent try, so older ones can be forgotten.
_MAX_VOIDED = 8


class EntryState(enum.IntEnum):
    """A request's state by the log."""

    OPEN = 0
    CLAIMED = 1
    UNKNOWN = 2
    FINISHED = 3


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Entry:
    """One request with a caller's key.

    Attributes:
        voided: Request ids of released tries; their claims are void.
        row_key: Row that holds the answer, once finished.
        written_ms: Wall time of the last record.
    """

    state: EntryState
    request_id: str = ""
    claimant: str = ""
    body_digest: str = ""
    voided: tuple[str, ...] = ()
    row_key: str = ""
    written_ms: int = 0


EMPTY_ENTRY = Entry(state=EntryState.OPEN)


def apply_record(
    entry: Entry, record: records.Record, row_key: str, written_ms: int
) -> Entry:
    """Returns the entry with a record applied."""
    if isinstance(record, records.ClaimRecord):
        return Entry(
            state=EntryState.CLAIMED,
            request_id=record.request_id,
            claimant=sys.intern(record.claimant),
            body_digest=record.body_digest,
            voided=entry.voided,
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
    return _apply_close(entry, record, written_ms)


def _apply_close(
    entry: Entry,
    record: records.ReleaseRecord | records.UnknownRecord,
    written_ms: int,
) -> Entry:
    same_try = entry.request_id == record.request_id
    if isinstance(record, records.UnknownRecord):
        if entry.state is EntryState.OPEN or same_try:
            return dataclasses.replace(
                entry,
                state=EntryState.UNKNOWN,
                request_id=record.request_id,
                written_ms=written_ms,
            )
        return entry
    voided = (*entry.voided, record.request_id)[-_MAX_VOIDED:]
    if same_try and entry.state is EntryState.CLAIMED:
        return Entry(
            state=EntryState.OPEN, voided=voided, written_ms=written_ms
        )
    return dataclasses.replace(entry, voided=voided, written_ms=written_ms)
