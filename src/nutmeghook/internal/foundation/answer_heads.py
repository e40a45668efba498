"""Tells which heads are those of an answer in HTTP/1.1.

aiohttp's parser takes more than the protocol allows. What follows such a head
can't be relied on: neither where its body ends, nor that the server meant to
answer.
"""

import re

import aiohttp
from aiohttp import hdrs
from aiohttp import http_parser

# RFC 9110, 15: others are invalid.
_STATUSES = range(100, 600)
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
# A status line of HTTP/1, which no line follows that begins with a blank. The
# parser also reads RTSP and ICE, and does not tell which protocol it was.
_START = re.compile(rb"[\r\n]*(HTTP/1\.[01]) \d{3}(?: [^\n]*|\r?)\n(?![ \t])")
_END = re.compile(rb"\n\r?\n")
# RFC 9112, 2.2. The parser ends a line without a value there, so that the rest
# of the line becomes another field.
_BARE_CR = re.compile(rb"\r(?!\n)")
# RFC 9110, 5.6.2. The parser lets a blank pass before the colon, also behind
# the names that tell where a body ends.
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# RFC 9110, 5.5 and RFC 9112, 4.
_CONTROL = r"[\x00-\x08\x0a-\x1f\x7f]"
_CONTROL_BYTE = re.compile(_CONTROL.encode())
_CONTROL_CHARACTER = re.compile(_CONTROL)
_DIGITS = re.compile(r"[0-9]+")
# The parser's mark of an answer without a length. It takes an answer that
# states it for one without a body.
_NO_LENGTH_BYTES = 2**64 - 1
# More digits than any length has, which `int` need not read.
_MAX_LENGTH_DIGITS = 20


class MalformedHeadError(ValueError):
    """A head is not that of an answer in HTTP/1.1."""


class AnswerHeads:
    """Checks the heads that one request is answered with.

    The bytes are looked at up to the end of the first final head: where a head
    behind it begins is not known.
    """

    __slots__ = ("_is_in_heads", "_received")

    def __init__(self):
        self._is_in_heads = True
        self._received = b""

    def feed(self, data: bytes) -> None:
        """Takes what was received, before the parser does."""
        if self._is_in_heads:
            self._received += data

    def check(self, message: http_parser.RawResponseMessage) -> None:
        """Checks the next head.

        Args:
            message: The head as aiohttp's parser has read it.

        Raises:
            MalformedHeadError: It is not that of an answer.
        """
        if self._is_in_heads:
            self._check_bytes(is_final=message.code >= _FIRST_FINAL_STATUS)
        _check_status(message)
        _check_fields(message)
        _check_framing(message)

    def _check_bytes(self, *, is_final: bool) -> None:
        """Checks what the parser does not show; goes on to the next head."""
        start = _START.match(self._received)
        if start is None:
            raise MalformedHeadError(f"it begins {self._received[:32]!r}")
        end = _END.search(self._received, start.end() - 1)
        if end is None or _BARE_CR.search(
            self._received, start.start(1), end.end()
        ):
            raise MalformedHeadError("a CR without LF")
        self._is_in_heads = not is_final
        self._received = b"" if is_final else self._received[end.end() :]


def _check_status(message: http_parser.RawResponseMessage) -> None:
    if message.code not in _STATUSES:
        raise MalformedHeadError(f"the status is {message.code:03d}")
    if message.code == _SWITCHING_PROTOCOLS:
        raise MalformedHeadError("it switches protocols, unasked")
    if _CONTROL_CHARACTER.search(message.reason):
        raise MalformedHeadError(f"the reason is {message.reason!r}")


def _check_fields(message: http_parser.RawResponseMessage) -> None:
    for name, value in message.raw_headers:
        if not _TOKEN.fullmatch(name):
            raise MalformedHeadError(f"a field is named {name!r}")
        if _CONTROL_BYTE.search(value):
            raise MalformedHeadError(f"the field {name!r} has {value!r}")


def _check_framing(message: http_parser.RawResponseMessage) -> None:
    """Checks what tells where the body ends.

    Nobody here asks for another transfer coding than chunks, so that the body
    would be passed on with its coding and without the field that names it.
    """
    lengths = message.headers.getall(hdrs.CONTENT_LENGTH, [])
    if lengths and not _is_length(lengths):
        raise MalformedHeadError(f"the length is {lengths}")
    codings = message.headers.getall(hdrs.TRANSFER_ENCODING, [])
    if not codings:
        return
    if [coding.lower() for coding in codings] != ["chunked"]:
        raise MalformedHeadError(f"the transfer codings are {codings}")
    if message.version < aiohttp.HttpVersion11:
        raise MalformedHeadError("a transfer coding in HTTP/1.0")


def _is_length(lengths: list[str]) -> bool:
    """Tells whether the values of Content-Length state one length."""
    stated = lengths[0]
    return (
        len(lengths) == 1
        and _DIGITS.fullmatch(stated) is not None
        and len(stated) <= _MAX_LENGTH_DIGITS
        and int(stated) < _NO_LENGTH_BYTES
    )
