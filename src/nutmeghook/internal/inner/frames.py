"""Envelopes on a byte stream, each after its length in four bytes."""

import asyncio
import hmac
import struct

from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.inner.generated import ttypes

_LENGTH = struct.Struct(">I")
# The largest frame read before the peer has presented the credential.
MAX_HELLO_BYTES = 4096
# The first envelope's sequence; a reply with it concerns the connection.
HELLO_SEQUENCE = 0


class StreamEndedError(Exception):
    """The peer closed the stream."""


async def read(
    reader: asyncio.StreamReader,
    *,
    traffic: traffic_module.Traffic,
    limit_bytes: int = codec.MAX_FRAME_BYTES,
) -> codec.Received:
    """Returns the next envelope.

    Raises:
        StreamEndedError: The stream ended, between frames or within one.
        MalformedError: The frame is too long or not an envelope.
    """
    try:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > limit_bytes:
            raise codec.MalformedError(
                f"frame of {length} bytes; the limit is {limit_bytes}"
            )
        data = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise StreamEndedError("the peer closed the stream") from error
    received = codec.decode(data)
    traffic.count_received(received.kind, _LENGTH.size + length)
    return received


def write(
    writer: asyncio.StreamWriter,
    envelope: codec.Encoded,
    *,
    traffic: traffic_module.Traffic,
) -> None:
    """Queues an envelope; the caller awaits `drain`.

    Between the end of a connection and its reader's next turn, some event loops
    refuse a write with an exception that is no `ConnectionError`. Unhandled in
    a background task it would end the process, so it is checked for here.

    Raises:
        ConnectionResetError: The connection has ended.
    """
    if writer.is_closing():
        raise ConnectionResetError("the connection has ended")
    writer.write(_LENGTH.pack(len(envelope.data)) + envelope.data)
    traffic.count_sent(envelope.kind, _LENGTH.size + len(envelope.data))


def hello(credential: str) -> codec.Encoded:
    """Returns a connection's first envelope, with the credential."""
    return codec.encode(
        ttypes.Empty(), sequence=HELLO_SEQUENCE, credential=credential
    )


def has_credential(first: codec.Received, credential: str) -> bool:
    """Tells in constant time whether an envelope has the credential."""
    return hmac.compare_digest(first.credential.encode(), credential.encode())


def check_credential(credential: str) -> None:
    """Checks the length of a credential; an empty one would admit everyone.

    Raises:
        ValueError: It is empty or too long for the first frame.
    """
    if not credential or len(credential) > MAX_HELLO_BYTES // 8:
        raise ValueError(
            f"credential has {len(credential)} characters; give 1 to "
            f"{MAX_HELLO_BYTES // 8}, the same on all instances"
        )
