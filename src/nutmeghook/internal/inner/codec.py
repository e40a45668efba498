"""Encodes and decodes messages in thrift's compact protocol.

The generated `Body` is a union. Callers pass and receive the one struct that
it holds, so that a message is identified by its type.
"""

from typing import Any

import msgspec
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from nutmeghook.internal.inner.generated import ttypes

MAX_FRAME_BYTES = 4 * 1024 * 1024
# An empty struct takes one byte in an encoded list and about a hundred once
# decoded: without this limit a frame of the maximum size could use 400 MB.
_MAX_LIST_ITEMS = 65536

_FIELD_OF_TYPE: dict[type, str] = {
    spec[3][0]: spec[2] for spec in ttypes.Body.thrift_spec if spec
}


class MalformedError(ValueError):
    """The bytes are not an envelope with exactly one known message."""


class Encoded(msgspec.Struct, frozen=True, kw_only=True):
    """An envelope's bytes.

    Attributes:
        kind: The message's kind, as used in traffic counts.
    """

    kind: str
    data: bytes


class Received(msgspec.Struct, frozen=True, kw_only=True):
    """A received envelope.

    Attributes:
        message: A struct of `generated`; fields that were not sent are None.
    """

    kind: str
    message: Any
    sequence: int
    wants_reply: bool
    credential: str


def encode(
    message: Any,
    *,
    sequence: int,
    wants_reply: bool = False,
    credential: str | None = None,
) -> Encoded:
    """Returns the bytes of an envelope around a message.

    Raises:
        TypeError: The message is none of `Body`'s structs, or one of its fields
            has the wrong type.
        ValueError: A field is out of range, or the envelope is too long.
    """
    kind = _FIELD_OF_TYPE.get(type(message))
    if kind is None:
        raise TypeError(
            f"message is a {type(message).__name__}; give one of the structs "
            "that Body in messages.thrift lists"
        )
    envelope = ttypes.Envelope(
        sequence=sequence,
        body=ttypes.Body(**{kind: message}),
        wants_reply=wants_reply or None,
        credential=credential,
    )
    transport = TTransport.TMemoryBuffer()
    try:
        envelope.write(TCompactProtocol.TCompactProtocolAccelerated(transport))
    except OverflowError as error:
        raise ValueError(f"{message!r} has a number out of range") from error
    data = transport.getvalue()
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(
            f"the {kind} message has {len(data)} bytes; split it to stay "
            f"under {MAX_FRAME_BYTES}"
        )
    return Encoded(kind=kind, data=data)


def decode(data: bytes) -> Received:
    """Returns the envelope in `data`.

    Raises:
        MalformedError: `data` is not an envelope.
    """
    transport = TTransport.TMemoryBuffer(data)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(
        transport,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=_MAX_LIST_ITEMS,
    )
    envelope = ttypes.Envelope()
    try:
        envelope.read(protocol)
    # The C decoder raises EOFError, TypeError, UnicodeDecodeError,
    # OverflowError, TProtocolException and others.
    except Exception as error:
        raise MalformedError(f"not an envelope: {error!r}") from error
    if envelope.sequence is None:
        raise MalformedError("the envelope has no sequence")
    kind = _kind_in(envelope.body)
    return Received(
        kind=kind,
        message=getattr(envelope.body, kind),
        sequence=envelope.sequence,
        wants_reply=bool(envelope.wants_reply),
        credential=envelope.credential or "",
    )


def _kind_in(body: ttypes.Body | None) -> str:
    kinds = [
        kind
        for kind in _FIELD_OF_TYPE.values()
        if getattr(body, kind, None) is not None
    ]
    if len(kinds) != 1:
        raise MalformedError(f"the body holds {len(kinds)} messages, not one")
    return kinds[0]
