"""Answers that are none in HTTP/1.1, by what is wrong with each.

`WELL_FORMED` has odd ones that are answers all the same.
"""

import dataclasses
import enum


class Framing(enum.Enum):
    """How the end of a body is told."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RawAnswer:
    """An answer, as the bytes that are sent.

    Attributes:
        before: What precedes the status line.
        fields: Lines of the head beside those that the framing needs.
        length_name: The name of the field that states a length.
        trailers: Lines behind the last chunk.
    """

    before: bytes = b""
    status_line: bytes = b"HTTP/1.1 200 OK"
    fields: tuple[bytes, ...] = ()
    framing: Framing = Framing.LENGTH
    length_name: bytes = b"Content-Length"
    trailers: tuple[bytes, ...] = ()

    def encode(self, body: bytes, *fields: bytes) -> bytes:
        """Returns the answer with a body and further lines of the head."""
        lines = [self.status_line, *fields]
        if self.framing is Framing.LENGTH:
            lines.append(b"%b: %d" % (self.length_name, len(body)))
        if self.framing is Framing.CHUNKS:
            body = b"%x\r\n%b\r\n0\r\n" % (len(body), body)
            body += b"".join(line + b"\r\n" for line in self.trailers) + b"\r\n"
        head = b"\r\n".join([*lines, *self.fields])
        return self.before + head + b"\r\n\r\n" + body


STATUSES = {
    status: RawAnswer(status_line=b"HTTP/1.1 %b Odd" % status.encode())
    for status in ("000", "001", "099", "600", "999")
} | {"interim 000": RawAnswer(before=b"HTTP/1.1 000 Odd\r\n\r\n")}
FIELD_NAMES = {
    repr(name): RawAnswer(fields=(name + b": x",))
    for name in (
        b"",
        b"X Y",
        b"X ",
        b" X",
        b"X\tY",
        b"X\x00Y",
        b"X\x01Y",
        b"X\x7fY",
        b"X\xe9Y",
        b"X(Y",
        b"Connection ",
        b"Proxy-Connection ",
        b"Upgrade ",
        b"X: 1\r\nno colon",
    )
} | {
    "length with a blank": RawAnswer(length_name=b"Content-Length "),
    "length with a tab": RawAnswer(length_name=b"Content-Length\t"),
    "length with a NUL": RawAnswer(length_name=b"Content-Length\x00"),
    "length with a blank in it": RawAnswer(length_name=b"Content Length"),
    "coding with a blank": RawAnswer(
        fields=(b"Transfer-Encoding : chunked",), framing=Framing.CHUNKS
    ),
    "interim": RawAnswer(before=b"HTTP/1.1 103 Hints\r\nUpgrade : x\r\n\r\n"),
}
CONTROL_BYTES = {
    repr(value): RawAnswer(fields=(b"X-Field: a" + value + b"b",))
    for value in (
        b"\x00",
        b"\x01",
        b"\x07",
        b"\x08",
        b"\x0b",
        b"\x1b",
        b"\x1f",
        b"\x7f",
        b"\r",
        b"\r\r\n",
    )
} | {
    f"reason {value!r}": RawAnswer(status_line=b"HTTP/1.1 200 O" + value + b"K")
    for value in (b"\x00", b"\x07", b"\x7f", b"\r")
}
LENGTHS = {
    length: RawAnswer(
        fields=(b"Content-Length: " + length.encode(),),
        framing=Framing.CONNECTION,
    )
    for length in (
        "18446744073709551615",
        "18446744073709551616",
        "-1",
        "+3",
        "0x3",
        "3.0",
        "3, 3",
        "3 3",
        "",
        "3\r\nContent-Length: 3",
        "3\r\nContent-Length: 4",
        "3\r\nTransfer-Encoding: chunked",
    )
}
CODINGS = {
    coding.decode(): RawAnswer(
        fields=(b"Transfer-Encoding: " + coding,), framing=framing
    )
    for coding, framing in (
        (b"gzip", Framing.CONNECTION),
        (b"identity", Framing.CONNECTION),
        (b"xchunked", Framing.CHUNKS),
        (b"chunked;q=1", Framing.CHUNKS),
        (b'"chunked"', Framing.CHUNKS),
        (b"gzip, chunked", Framing.CHUNKS),
        (b"chunked, gzip", Framing.CHUNKS),
        (b"chunked, chunked", Framing.CHUNKS),
        (b"chunked\r\nTransfer-Encoding: chunked", Framing.CHUNKS),
        (b"gzip\r\nTransfer-Encoding: chunked", Framing.CHUNKS),
        (b"odd, chunked", Framing.CHUNKS),
        (b"\x0bchunked", Framing.CHUNKS),
        (b"", Framing.LENGTH),
        (b"chunked", Framing.LENGTH),
    )
} | {
    "chunks in HTTP/1.0": RawAnswer(
        status_line=b"HTTP/1.0 200 OK",
        fields=(b"Transfer-Encoding: chunked",),
        framing=Framing.CHUNKS,
    )
}
PROTOCOLS = {
    line: RawAnswer(status_line=line.encode())
    for line in (
        "HTTP/0.9 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/1.10 200 OK",
        "http/1.1 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 200OK",
        "RTSP/1.0 200 OK",
        "ICE/1.0 200 OK",
        "\r\nRTSP/1.0 200 OK",
        "HTTP/1.1 103 Hints\r\n\r\nRTSP/1.0 200 OK",
        "HTTP/1.1 200 OK\r\n X-Field: 1",
        "HTTP/1.1 200 OK\r\n\tX-Field: 1",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade",
        "HTTP/1.1 101 S\r\n\r\nHTTP/1.1 200 OK",
    )
}
BARE_CRS = {
    repr(line): RawAnswer(fields=(line,))
    for line in (
        b"X-Field:\rX-Other: b",
        b"X-Field:\r b",
        b"X-Field: a\r b",
        b"X-Field\r: b",
        b"X-Field:\r",
        b"X-Field: a\r\r\nX-Other: b",
        b"X-Field: a\r\n\rX-Other: b",
    )
} | {
    "length behind a CR": RawAnswer(
        fields=(b"X-Field:\rContent-Length: 2",), framing=Framing.CONNECTION
    )
}
WELL_FORMED = {
    "no reason": RawAnswer(status_line=b"HTTP/1.1 200"),
    "an empty reason": RawAnswer(status_line=b"HTTP/1.1 200 "),
    "a reason with bytes over 127": RawAnswer(
        status_line=b"HTTP/1.1 200 O\xe9"
    ),
    "HTTP/1.0": RawAnswer(status_line=b"HTTP/1.0 200 OK"),
    "a folded line": RawAnswer(fields=(b"X-Field: a\r\n b",)),
    "a line folded by a tab": RawAnswer(fields=(b"X-Field: a\r\n\tb",)),
    "a value with bytes over 127": RawAnswer(fields=(b"X-Field: a\xe9",)),
    "a value with a tab": RawAnswer(fields=(b"X-Field: a\tb",)),
    "an empty value": RawAnswer(fields=(b"X-Field:",)),
    "blanks around a value": RawAnswer(fields=(b"X-Field: \t a \t",)),
    "odd names": RawAnswer(fields=(b"!#$%&'*+-.^_`|~9: a",)),
    "many fields": RawAnswer(fields=(b"X-Field: %b" % (b"x" * 400),) * 100),
    "an empty line before": RawAnswer(before=b"\r\n"),
    "interim": RawAnswer(before=b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"),
    "chunks": RawAnswer(
        fields=(b"Transfer-Encoding: Chunked",), framing=Framing.CHUNKS
    ),
    "trailers": RawAnswer(
        fields=(b"Transfer-Encoding: chunked",),
        framing=Framing.CHUNKS,
        trailers=(b"X-Sum: 1",),
    ),
}
