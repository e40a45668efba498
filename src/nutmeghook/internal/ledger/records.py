"""What the ledger's log holds, and what is asked of a partition's holder.

Everything is written as msgpack arrays: at the planned peak each byte of a
record is written 8,400 times a second.
"""

from collections.abc import Sequence
import enum
import sys

import msgspec
import xxhash

from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import pins


class ClaimRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="c"
):
    """A request is claimed for one try.

    Attributes:
        claimant: Incarnation of the instance that will run it.
    """

    team: str
    key: str
    body_digest: str
    request_id: str
    claimant: str


class ReleaseRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="r"
):
    """A try provably did not run, and never will: its claim is void.

    It also voids a claim that arrives later: that is how a claim whose
    outcome was lost is settled.
    """

    team: str
    key: str
    request_id: str


class UnknownRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="u"
):
    """A try was sent to a backend server, and its outcome is lost."""

    team: str
    key: str
    request_id: str


class FinishRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="f"
):
    """A request's bill, and its answer if that is kept."""

    team: str
    key: str
    given_by_caller: bool
    body_digest: str
    request_id: str
    template: str
    model_version: str
    prompt_tokens: int
    output_tokens: int
    cost_micros: int
    spent_micros: int
    answer: ledger.KeptAnswer | None = None


class PinRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="p"
):
    """A session stays on a version (written `model@version`).

    Attributes:
        revision: The configuration's revision under which it was chosen.
    """

    team: str
    template: str
    stage_index: int
    session: str
    model_version: str
    revision: int = 0


class PinRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="q"
):
    """Asks for a session's version, proposing one if it has none usable.

    Attributes:
        revision: The configuration's revision that the sender goes by.
    """

    team: str
    template: str
    stage_index: int
    session: str
    proposed: str
    unusable: tuple[str, ...] = ()
    revision: int = 0


Request = (
    ClaimRecord | ReleaseRecord | UnknownRecord | FinishRecord | PinRequest
)
Record = ClaimRecord | ReleaseRecord | UnknownRecord | FinishRecord | PinRecord


class RefusalReason(enum.IntEnum):
    """Why a holder did not take a request; it surely did not."""

    STORE_OUT = 1
    FULL = 2


class ClaimReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="c"
):
    """What became of a claim."""

    state: ledger.ClaimState
    answer: ledger.KeptAnswer | None = None


class Recorded(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="r"
):
    """The record is durable, now or since before."""


class PinReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="p"
):
    """The session's version.

    Attributes:
        revision: The configuration's revision under which it was chosen.
    """

    model_version: str
    revision: int = 0


class NotHolder(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="n"
):
    """Another instance holds the partition; nothing was recorded.

    Attributes:
        inner_address: Where the holder probably is; empty if unknown.
    """

    inner_address: str = ""


class Refused(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="x"
):
    """The holder did not take the request; nothing was recorded."""

    reason: RefusalReason


Result = ClaimReply | Recorded | PinReply | NotHolder | Refused


class Batch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One commit's records: the value of one row of a partition's log.

    Attributes:
        token: Fencing token of the holder that wrote it.
        sequence: Counts the holder's batches; with the token it gives the
            log's order.
        written_ms: Wall time of the write, for retention only.
    """

    token: int
    sequence: int
    written_ms: int
    records: tuple[Record, ...]


class BillBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Bills kept in one object of the object store."""

    partition: int
    records: tuple[FinishRecord, ...]


encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(Request)
_result_decoder = msgspec.msgpack.Decoder(Result)
_batch_decoder = msgspec.msgpack.Decoder(Batch)
_bills_decoder = msgspec.msgpack.Decoder(BillBatch)


def decode_requests(encoded: Sequence[bytes]) -> list[Request]:
    """Reads requests as they came over the inner protocol."""
    return [_request_decoder.decode(item) for item in encoded]


def decode_results(encoded: Sequence[bytes]) -> list[Result]:
    """Reads results as they came over the inner protocol."""
    return [_result_decoder.decode(item) for item in encoded]


def decode_batch(value: bytes) -> Batch:
    """Reads a row of a partition's log."""
    return _batch_decoder.decode(value)


def decode_bills(content: bytes) -> BillBatch:
    """Reads an object that holds bills."""
    return _bills_decoder.decode(content)


def entry_key(team: str, key: str) -> str:
    """Returns the one string that stands for a request's identity."""
    return f"{team}\n{key}"


def pin_key(record: PinRecord | PinRequest) -> str:
    """Returns the one string that stands for a session and stage."""
    return (
        f"{record.team}\n{record.template}\n{record.stage_index}"
        f"\n{record.session}"
    )


def partition_of(text: str, partitions: int) -> int:
    """Returns the partition that an entry's or a pin's key belongs to."""
    return xxhash.xxh3_64_intdigest(text.encode()) % partitions


def finish_record(
    bill: ledger.Bill, answer: ledger.KeptAnswer | None
) -> FinishRecord:
    """Returns the record of a bill."""
    return FinishRecord(
        team=bill.identity.team,
        key=bill.identity.key,
        given_by_caller=bill.identity.given_by_caller,
        body_digest=bill.identity.body_digest,
        request_id=bill.request_id,
        template=bill.template,
        model_version=bill.model_version,
        prompt_tokens=bill.prompt_tokens,
        output_tokens=bill.output_tokens,
        cost_micros=bill.cost_micros,
        spent_micros=bill.spent_micros,
        answer=answer,
    )


def bill_of(record: FinishRecord) -> ledger.Bill:
    """Returns the bill of a record."""
    return ledger.Bill(
        identity=ledger.RequestIdentity(
            team=sys.intern(record.team),
            key=record.key,
            given_by_caller=record.given_by_caller,
            body_digest=record.body_digest,
        ),
        request_id=record.request_id,
        template=record.template,
        model_version=record.model_version,
        prompt_tokens=record.prompt_tokens,
        output_tokens=record.output_tokens,
        cost_micros=record.cost_micros,
        spent_micros=record.spent_micros,
    )


def pin_request(
    key: pins.SessionKey,
    *,
    proposed: str,
    unusable: tuple[str, ...],
    revision: int,
) -> PinRequest:
    """Returns the request for a session's version."""
    return PinRequest(
        team=key.team,
        template=key.template,
        stage_index=key.stage_index,
        session=key.session,
        proposed=proposed,
        unusable=unusable,
        revision=revision,
    )
