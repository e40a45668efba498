"""Envelopes to bytes and back, in thrift's compact protocol.

The generated `Body` is a union; callers hand over and receive the one struct
that it holds, so that a message's type says what it is.
"""

from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from nutmeghook.internal.inner.generated import ttypes

MAX_FRAME_BYTES = 4 * 1024 * 1024
# A few bytes can declare a list of millions, for which the decoder would
# take memory before it notices the end of the frame.
_MAX_LIST_ITEMS = 65536

_FIELD_OF_TYPE: dict[type, str] = {
    spec[3][0]: spec[2] for spec in ttypes.Body.thrift_spec if spec
}


class MalformedError(ValueError):
    """Bytes that are no envelope with exactly one known message."""


def envelope_of(
    message: Any,
    *,
    sequence: int,
    wants_reply: bool = False,
    credential: str | None = None,
) -> ttypes.Envelope:
    """Wraps a message.

    Raises:
        TypeError: The message's type is not one of `Body`'s.
    """
    field = _FIELD_OF_TYPE.get(type(message))
    if field is None:
        raise TypeError(
            f"message is a {type(message).__name__}; give one of the structs "
            "that Body in messages.thrift lists"
        )
    return ttypes.Envelope(
        sequence=sequence,
        body=ttypes.Body(**{field: message}),
        wants_reply=wants_reply or None,
        credential=credential,
    )


def message_of(envelope: ttypes.Envelope) -> Any:
    """Returns the one message in an envelope.

    Raises:
        MalformedError: There is none, or more than one.
    """
    held = [
        message
        for field in _FIELD_OF_TYPE.values()
        if (message := getattr(envelope.body, field, None)) is not None
    ]
    if len(held) != 1:
        raise MalformedError(f"the body holds {len(held)} messages, not one")
    return held[0]


def encode(envelope: ttypes.Envelope) -> bytes:
    """Returns an envelope's bytes."""
    transport = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocolAccelerated(transport)
    envelope.write(protocol)
    return transport.getvalue()


def decode(data: bytes) -> ttypes.Envelope:
    """Returns the envelope in `data`.

    Fields that the sender left out are None: a handler that needs them all
    fails on its own request alone.

    Raises:
        MalformedError: `data` is no envelope.
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
    # The decoder raises whatever the C level met: EOFError, TypeError,
    # UnicodeDecodeError, OverflowError, TProtocolException and kin.
    except Exception as error:
        raise MalformedError(f"no envelope: {error!r}") from error
    if envelope.sequence is None or envelope.body is None:
        raise MalformedError("an envelope needs a sequence and a body")
    message_of(envelope)
    return envelope


def kind_of(message: Any) -> str:
    """Returns a message's kind as traffic counts name it."""
    return _FIELD_OF_TYPE.get(type(message), "unknown")
