"""Records of the ledger's log, and requests to a partition's holder.

Everything is encoded as msgpack arrays, for size: at the planned peak each
byte of a record costs 8,400 bytes a second.
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
    """Claims a request for one try.

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
    """Voids the claim of a try that provably did not and will not run.

    It also voids a claim that arrives later, which settles a claim whose
    outcome was lost.
    """

    team: str
    key: str
    request_id: str


class UnknownRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="u"
):
    """Marks a try that was sent to a backend server, outcome unknown."""

    team: str
    key: str
    request_id: str


class FinishRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="f"
):
    """Holds a request's bill, and its answer if that is kept."""

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
    """Pins a session to a version (written `model@version`).

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
        revision: The sender's configuration revision.
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
    """Why a holder refused a request; nothing was recorded."""

    STORE_OUT = 1
    FULL = 2


class ClaimReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="c"
):
    """The outcome of a claim."""

    state: ledger.ClaimState
    answer: ledger.KeptAnswer | None = None


class Recorded(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="r"
):
    """The record is durable, from this request or an earlier one."""


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
    """The holder refused the request; nothing was recorded."""

    reason: RefusalReason


Result = ClaimReply | Recorded | PinReply | NotHolder | Refused


class Batch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One commit's records: the value of one row of a partition's log.

    Attributes:
        token: Fencing token of the holder that wrote it.
        sequence: Number of the holder's batch; token and sequence order the
            log.
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
    """Decodes requests from the inner protocol."""
    return [_request_decoder.decode(item) for item in encoded]


def decode_results(encoded: Sequence[bytes]) -> list[Result]:
    """Decodes results from the inner protocol."""
    return [_result_decoder.decode(item) for item in encoded]


def decode_batch(value: bytes) -> Batch:
    """Decodes a row of a partition's log."""
    return _batch_decoder.decode(value)


def decode_bills(content: bytes) -> BillBatch:
    """Decodes an object that holds bills."""
    return _bills_decoder.decode(content)


def entry_key(team: str, key: str) -> str:
    """Returns the index key of a request's identity."""
    return f"{team}\n{key}"


def pin_key(record: PinRecord | PinRequest) -> str:
    """Returns the index key of a session and stage."""
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
