"""Decodes JSON that another program may have written.

A row or message from outside may hold anything. Whatever is wrong with it, the
reader has to handle one error, for that row alone.
"""

from typing import TypeVar

import msgspec

_T = TypeVar("_T")

# Peers are told numbers in 64 signed bits.
MAX_NUMBER = 2**63 - 1


class UnreadableError(ValueError):
    """The bytes are not what they should be; the text says why."""


def decode(value: bytes, decoder: msgspec.json.Decoder[_T]) -> _T:
    """Returns what a decoder reads.

    Raises:
        UnreadableError: The bytes are malformed, nested too deeply, or hold a
            value that the type does not allow.
    """
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableError(f"malformed: {error}") from error
