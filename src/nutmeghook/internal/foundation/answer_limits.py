"""Bounds on bytes that a server sends and that never become an answer.

HTTP parsers skip empty lines before an answer, interim answers, leading zeros
of a chunk's size and a chunk's extensions without keeping them. A server may
send these for good: memory does not grow, but the connection is read at full
speed until the call's deadline.
"""

# The head of an answer, or framing between two bytes of its body. Heads have
# some hundred bytes.
MAX_FRAMING_BYTES = 64 * 1024
# All framing of an answer, beyond as many bytes as its body has. A chunk of one
# byte has five bytes of framing. The parser may hold some 256 KB back.
MAX_EXCESS_BYTES = 1024 * 1024


class TooMuchFramingError(ValueError):
    """Bytes came that are no part of an answer's body, and no end of them."""


class FramingLimit:
    """Counts the bytes of one answer that are not its body's."""

    __slots__ = ("_body_bytes", "_received_bytes", "_without_body_bytes")

    def __init__(self):
        # -1: the head is not complete.
        self._body_bytes = -1
        self._received_bytes = 0
        self._without_body_bytes = 0

    def note(
        self, received_bytes: int, *, body_bytes: int, is_parsed: bool
    ) -> None:
        """Records received bytes.

        Args:
            received_bytes: How many.
            body_bytes: The size of the body so far; -1 before the head is
                complete.
            is_parsed: The parser holds none of the bytes back, as it does while
                the body is not read.

        Raises:
            TooMuchFramingError: Too many brought the answer no further.
        """
        self._received_bytes += received_bytes
        self._without_body_bytes += received_bytes
        if body_bytes != self._body_bytes:
            self._body_bytes = body_bytes
            self._without_body_bytes = 0
        excess_bytes = self._received_bytes - 2 * max(0, body_bytes)
        if excess_bytes > MAX_EXCESS_BYTES or (
            is_parsed and self._without_body_bytes > MAX_FRAMING_BYTES
        ):
            raise TooMuchFramingError(
                f"of {self._received_bytes} bytes {max(0, body_bytes)} are of"
                " an answer"
            )
