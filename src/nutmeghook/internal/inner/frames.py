"""Envelopes on a byte stream: four bytes of length, then the envelope."""

import asyncio
import hmac
import struct

from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.inner.generated import ttypes

_LENGTH = struct.Struct(">I")
# What a stranger may make the server read before it has shown the credential.
MAX_HELLO_BYTES = 4096
# The first envelope each way; a reply with it speaks of the connection.
HELLO_SEQUENCE = 0


class StreamEndedError(Exception):
    """The other side closed the stream."""


async def read(
    reader: asyncio.StreamReader,
    *,
    traffic: traffic_module.Traffic,
    limit_bytes: int = codec.MAX_FRAME_BYTES,
) -> codec.Received:
    """Returns the next envelope.

    Raises:
        StreamEndedError: The stream ended, between frames or within one.
        MalformedError: The frame is too long or is no envelope.
    """
    try:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > limit_bytes:
            raise codec.MalformedError(
                f"a frame of {length} bytes; at most {limit_bytes} are taken"
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

    The failure: a connection has ended, and whoever reads from it has not had
    its turn. Some event loops refuse to write with an error that is none of a
    connection; it went up through a background part, and ended the process.

    Raises:
        ConnectionResetError: The connection has ended.
    """
    if writer.is_closing():
        raise ConnectionResetError("the connection has ended")
    writer.write(_LENGTH.pack(len(envelope.data)) + envelope.data)
    traffic.count_sent(envelope.kind, _LENGTH.size + len(envelope.data))


def hello(credential: str) -> codec.Encoded:
    """Returns the first envelope of a connection."""
    return codec.encode(
        ttypes.Empty(), sequence=HELLO_SEQUENCE, credential=credential
    )


def has_credential(first: codec.Received, credential: str) -> bool:
    """Tells, in constant time, whether an envelope holds the credential."""
    return hmac.compare_digest(first.credential.encode(), credential.encode())


def check_credential(credential: str) -> None:
    """Refuses a credential that would let everyone in.

    Raises:
        ValueError: It is empty or too long for a first frame.
    """
    if not credential or len(credential) > MAX_HELLO_BYTES // 8:
        raise ValueError(
            f"credential has {len(credential)} characters; give 1 to "
            f"{MAX_HELLO_BYTES // 8}, the same on all instances"
        )
