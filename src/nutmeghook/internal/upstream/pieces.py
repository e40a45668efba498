"""Bytes in pieces, each after its length in four bytes.

A piece of no length is the end. So the end of what is carried can be told from
that of the connection.
"""

from collections.abc import Iterator
import struct

_LENGTH = struct.Struct(">I")
END = _LENGTH.pack(0)


def encode(data: bytes) -> bytes:
    """Returns a piece; the data must not be empty."""
    return _LENGTH.pack(len(data)) + data


class PieceReader:
    """Takes a byte stream apart into pieces that follow their lengths.

    Attributes:
        is_ended: The piece of no length has come, after which nothing counts.
    """

    __slots__ = ("_header", "_left_bytes", "is_ended")

    def __init__(self):
        self._header = b""
        self._left_bytes = 0
        self.is_ended = False

    @property
    def is_within(self) -> bool:
        """Tells whether the present piece is not complete yet."""
        return self._left_bytes > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the bytes of pieces, as far as they have come."""
        while data and not self.is_ended:
            if not self._left_bytes:
                data = self._read_length(data)
                continue
            part, data = data[: self._left_bytes], data[self._left_bytes :]
            self._left_bytes -= len(part)
            yield part

    def _read_length(self, data: bytes) -> bytes:
        """Reads a piece's length; returns what follows."""
        missing = _LENGTH.size - len(self._header)
        self._header += data[:missing]
        if len(self._header) == _LENGTH.size:
            (self._left_bytes,) = _LENGTH.unpack(self._header)
            self._header = b""
            self.is_ended = not self._left_bytes
        return data[missing:]
