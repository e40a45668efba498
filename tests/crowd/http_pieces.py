"""The bytes that members of a crowd send to HTTP listeners."""

from collections.abc import Iterable

FIELD_BYTES = 8_000
FIELDS = 120
# A member that sends without end offers this much.
OFFERED_BYTES = 32 * 1024 * 1024
BLOCK_BYTES = 32 * 1024
LONG_FIELD_BYTES = 60_000
LONG_FIELDS = 200
SMALL_FIELDS = 20_000
SMALL_PIECE_BYTES = 3_000


def blocks(data: bytes) -> Iterable[bytes]:
    """Yields data in blocks."""
    for start in range(0, len(data), BLOCK_BYTES):
        yield data[start : start + BLOCK_BYTES]


def without_end(unit: bytes) -> Iterable[bytes]:
    """Yields a unit again and again."""
    block = unit * (BLOCK_BYTES // len(unit))
    for _ in range(OFFERED_BYTES // len(block)):
        yield block


def fields() -> Iterable[bytes]:
    """Yields header fields, far over any limit together."""
    for number in range(FIELDS):
        yield b"X-Field-%d: %b\r\n" % (number, b"v" * FIELD_BYTES)


def long_fields() -> Iterable[bytes]:
    """Yields fields as long as parsers take them."""
    for number in range(LONG_FIELDS):
        yield b"X-Field-%d: %b\r\n" % (number, b"v" * LONG_FIELD_BYTES)


def small_fields() -> Iterable[bytes]:
    """Yields fields of few bytes, whose objects are larger than they."""
    for number in range(SMALL_FIELDS):
        yield b"x%d: 1\r\n" % number


def whole(head: bytes, size_bytes: int) -> Iterable[bytes]:
    """Yields a request with a body."""
    yield _sized(head, size_bytes)
    yield from blocks(b"b" * size_bytes)


def cut_short(head: bytes, size_bytes: int) -> Iterable[bytes]:
    """Yields a request without the last byte of its body."""
    yield _sized(head, size_bytes)
    yield from blocks(b"b" * (size_bytes - 1))


def uneven(head: bytes, number: int, most_bytes: int) -> Iterable[bytes]:
    """Yields a request in small pieces, short of a length of its own."""
    size_bytes = most_bytes - 997 * number
    yield _sized(head, size_bytes)
    for _ in range(size_bytes // SMALL_PIECE_BYTES - 1):
        yield b"b" * SMALL_PIECE_BYTES
    yield b"b" * (size_bytes % SMALL_PIECE_BYTES)


def cut_short_in_chunks(head: bytes, chunk_bytes: int, chunks: int):
    """Yields a request in chunks, without the last chunk."""
    yield _chunked(head)
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"b" * chunk_bytes)
    yield from blocks(chunk * chunks)


def long_extension(head: bytes) -> Iterable[bytes]:
    """Yields a request with an extension of a chunk without end."""
    yield _chunked(head) + b"1;"
    yield from without_end(b"e")


def long_trailers(head: bytes) -> Iterable[bytes]:
    """Yields a request with trailers far over any limit."""
    yield _chunked(head) + b"1\r\nx\r\n0\r\n"
    yield from fields()


def _sized(head: bytes, size_bytes: int) -> bytes:
    return head + b"Content-Length: %d\r\n\r\n" % size_bytes


def _chunked(head: bytes) -> bytes:
    return head + b"Transfer-Encoding: chunked\r\n\r\n"
