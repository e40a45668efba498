"""Whatever bytes a head is made of, only what HTTP/1.1 allows is believed."""

import asyncio
import re
import unittest
from unittest import mock

from aiohttp import http_writer
import hypothesis
from hypothesis import strategies
import multidict

from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import outcomes

SOUND = (
    b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nX-Replica-Seal: 3e1b.07\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
)
BODY = b"whole"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_LINE = rb"(?:HTTP/1\.[01] %%b(?: %b)?)\r?\n" % _TEXT
_FIELDS = (
    rb"(?:[!#$%%&'*+\-.^_`|~0-9A-Za-z]+:%b\r?\n(?:[ \t]%b\r?\n)*)*\r?\n"
    % (_TEXT, _TEXT)
)
# The parser passes over empty lines before a head.
_HEADS = re.compile(
    rb"(?:[\r\n]*%b%b)*[\r\n]*%b%b"
    % (_LINE % rb"1(?!01)\d\d", _FIELDS, _LINE % rb"[2-5]\d\d", _FIELDS)
)
_ODD = [b" ", b"\t", b"\0", b"\r", b"\n", b"\x7f", b"\xe9", b":", b"\r\n", b"0"]
Edit = tuple[int, int, bytes]


@strategies.composite
def edits(draw: strategies.DrawFn) -> list[Edit]:
    """Returns changes: where, how many bytes go, and what comes instead."""
    place = strategies.integers(min_value=0, max_value=len(SOUND) - 1)
    inserted = strategies.sampled_from(_ODD) | strategies.binary(max_size=3)
    edit = strategies.tuples(place, strategies.integers(0, 2), inserted)
    return draw(strategies.lists(edit, max_size=3))


def edited(changes: list[Edit]) -> bytes:
    """Returns the sound heads with changes."""
    data = SOUND
    for place, removed, inserted in sorted(changes, reverse=True):
        data = data[:place] + inserted + data[place + removed :]
    return data


async def received(data: bytes, piece_bytes: int) -> tuple[int, list] | None:
    """Returns the status and fields that are believed; None for no answer."""
    transport = mock.Mock(spec=asyncio.Transport)
    transport.is_closing.return_value = False
    transport.get_write_buffer_size.return_value = 0
    transport.get_extra_info.return_value = None
    connection = connection_module.ReplicaConnection(
        loop=asyncio.get_running_loop()
    )
    connection.connection_made(transport)
    sending = asyncio.ensure_future(
        connection.exchange(b"GET / HTTP/1.1\r\n\r\n", has_body=True)
    )
    await asyncio.sleep(0)
    for start in range(0, len(data), piece_bytes):
        connection.data_received(data[start : start + piece_bytes])
    connection.eof_received()
    connection.connection_lost(None)
    try:
        head = await sending
    except outcomes.UnknownOutcomeError:
        return None
    return head.status, list(head.headers)


class AnswerHeadsTest(unittest.TestCase):
    @hypothesis.settings(max_examples=1500)
    @hypothesis.given(
        changes=edits(), piece_bytes=strategies.sampled_from((1, 7, 1000))
    )
    def test_a_head_that_is_believed_is_one(self, changes, piece_bytes):
        """A caller got a head that no grammar allows, or none at all."""
        data = edited(changes) + BODY
        believed = asyncio.run(received(data, piece_bytes))
        if believed is None:
            return
        status, fields = believed
        self.assertIsNotNone(_HEADS.match(data), data)
        self.assertIn(status, range(200, 600))
        http_writer._serialize_headers(
            f"HTTP/1.1 {status} ", multidict.CIMultiDict(fields)
        )

    def test_the_sound_head_is_believed(self):
        for piece_bytes in range(1, len(SOUND)):
            status, fields = asyncio.run(received(SOUND + BODY, piece_bytes))
            self.assertEqual((status, len(fields)), (200, 3))


if __name__ == "__main__":
    unittest.main()
