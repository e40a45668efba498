"""What changed from one value of a row to the next.

A configuration is one row. Each change of it writes all of it again, though
most changes touch one route or one key. Sent as a difference, a change costs
about its own size: a few hundred bytes in place of some 300 KB where a fleet
has 1,500 routes.

A difference knows nothing of what the value says. It cuts values into blocks
at a byte that ends a record in the usual formats, and names the blocks that the
former value had already.
"""

import msgspec

# Ends an object in JSON; of values without it nothing is found again.
_BLOCK_END = b"}"


class InvalidDeltaError(ValueError):
    """The difference does not fit the value that it is applied to."""


class _Delta(msgspec.Struct, frozen=True, array_like=True):
    # Each is new bytes, or first and end of what the former value had.
    parts: list[bytes | tuple[int, int]]


_DECODER = msgspec.msgpack.Decoder(_Delta)


def compute(former: bytes, value: bytes) -> bytes:
    """Returns what makes `value` of `former`."""
    known = _blocks_by_content(former)
    parts: list[bytes | tuple[int, int]] = []
    new_bytes = bytearray()
    for block in _blocks(value):
        first = known.get(block)
        if first is None:
            new_bytes += block
            continue
        if new_bytes:
            parts.append(bytes(new_bytes))
            new_bytes.clear()
        _append_range(parts, first, first + len(block))
    if new_bytes:
        parts.append(bytes(new_bytes))
    return msgspec.msgpack.encode(_Delta(parts=parts))


def apply(former: bytes, delta: bytes) -> bytes:
    """Returns the value that a difference makes of `former`.

    Raises:
        UnusableDifferenceError: It is malformed, or made for another value.
    """
    try:
        parts = _DECODER.decode(delta).parts
    except msgspec.MsgspecError as error:
        raise InvalidDeltaError(f"malformed: {error}") from error
    value = bytearray()
    for part in parts:
        if isinstance(part, bytes):
            value += part
            continue
        first, end = part
        if not 0 <= first < end <= len(former):
            raise InvalidDeltaError(
                f"bytes {first} to {end} of a value of {len(former)}"
            )
        value += former[first:end]
    return bytes(value)


def _append_range(
    parts: list[bytes | tuple[int, int]], first: int, end: int
) -> None:
    """Adds a range; one that continues the last range lengthens it."""
    if parts and isinstance(parts[-1], tuple) and parts[-1][1] == first:
        parts[-1] = (parts[-1][0], end)
    else:
        parts.append((first, end))


def _blocks_by_content(value: bytes) -> dict[bytes, int]:
    positions: dict[bytes, int] = {}
    first = 0
    for block in _blocks(value):
        positions.setdefault(block, first)
        first += len(block)
    return positions


def _blocks(value: bytes) -> list[bytes]:
    pieces = value.split(_BLOCK_END)
    blocks = [piece + _BLOCK_END for piece in pieces[:-1]]
    if pieces[-1]:
        blocks.append(pieces[-1])
    return blocks
