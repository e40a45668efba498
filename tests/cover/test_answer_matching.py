"""Copies of earlier answers on a connection, packet by packet."""

import asyncio
from collections.abc import Iterator
import dataclasses
import tracemalloc
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies

from nutmeghook.internal.upstream import answer_match
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.platform import headers

# Of an exchange that waits for good.
_TIMEOUT_S = 60
REQUEST = b"POST / HTTP/1.1\r\n\r\n"


def answer_to(
    request_id: str,
    *,
    status: int = 200,
    body: bytes = b"whole",
    framing: str = "length",
) -> bytes:
    """Returns an answer; a refusal if its status is 503."""
    lines = [f"HTTP/1.1 {status} Stand-in", f"{headers.REQUEST_ID}: "]
    lines[-1] += request_id
    if status == 503:
        lines.append(f"{headers.NOT_RUN}: 1")
    if framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        middle = len(body) // 2
        pieces = [piece for piece in (body[:middle], body[middle:]) if piece]
        body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces)
        body += b"0\r\n\r\n"
    elif framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "empty":
        lines.append("Content-Length: 0")
        body = b""
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Exchange:
    """A request, its answer, and copies of earlier answers.

    Attributes:
        copied: Which earlier answers of the connection come before the own one.
        cut_bytes: Missing at the end of the last one.
        behind_bytes: Of a copy that come with the own answer; the rest comes
            when the next request has been sent, or while there is none.
        packet_bytes: Where packets end.
    """

    request_id: str
    status: int
    framing: str
    body_bytes: int
    copied: tuple[int, ...]
    cut_bytes: int
    behind_bytes: int
    is_rest_idle: bool
    packet_bytes: tuple[int, ...]

    def answer(self, number: int) -> bytes:
        """Returns the answer to the exchange with a number."""
        return answer_to(
            self.request_id,
            status=self.status,
            framing=self.framing,
            body=self.body(number),
        )

    def body(self, number: int) -> bytes:
        """Returns the body of that answer, like no other one's."""
        if self.framing == "empty":
            return b""
        return str(number).encode() * self.body_bytes

    def packets(self, data: bytes) -> Iterator[bytes]:
        """Divides bytes into packets."""
        for size in self.packet_bytes:
            yield data[:size]
            data = data[size:]
        yield data


EXCHANGES = strategies.builds(
    Exchange,
    request_id=strategies.sampled_from("abcde"),
    status=strategies.sampled_from((200, 421, 500, 503)),
    framing=strategies.sampled_from(("length", "chunked", "empty")),
    body_bytes=strategies.sampled_from((1, 7, 90_000)),
    copied=strategies.lists(strategies.integers(0, 4), max_size=3).map(tuple),
    cut_bytes=strategies.just(0) | strategies.integers(0, 120),
    behind_bytes=strategies.integers(0, 150),
    is_rest_idle=strategies.booleans(),
    packet_bytes=strategies.lists(
        strategies.integers(1, 60) | strategies.integers(1, 50_000), max_size=4
    ).map(tuple),
)


class Peer:
    """A connection without a network."""

    def __init__(self):
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.abort.side_effect = self._close
        self.connection = connection_module.ReplicaConnection(
            loop=asyncio.get_running_loop()
        )
        self.connection.connection_made(self.transport)

    def _close(self) -> None:
        self.transport.is_closing.return_value = True

    async def send(
        self, request_id: str, *, has_body: bool = True
    ) -> asyncio.Future[connection_module.AnswerHead]:
        """Sends a request."""
        sending = asyncio.ensure_future(
            self.connection.exchange(
                REQUEST,
                has_body=has_body,
                expected=answer_match.ExpectedAnswer(
                    request_id=request_id,
                    read_id=headers.PlatformHeaders().read_answered_id,
                ),
            )
        )
        await asyncio.sleep(0)
        return sending

    def receive(self, *packets: bytes) -> None:
        """Receives packets, up to the end of the connection."""
        for packet in packets:
            if self.connection.is_open:
                self.connection.data_received(packet)

    async def answered(self, data: bytes, *, request_id: str) -> bool:
        """Has one exchange; returns whether another may follow."""
        sending = await self.send(request_id)
        self.receive(data)
        head = await sending
        while await head.read():
            pass
        return self.connection.finish_exchange()


class AnswerMatchingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.peer = Peer()

    async def test_a_copy_larger_than_the_read_buffer_is_skipped(self):
        """Reading its body resumes the parser, which adds to what is read."""
        chunks = b"".join(
            b"%x\r\n%s\r\n" % (size, b"x" * size)
            for size in (20_000, 8_000, 9_000, 30_000) * 3
        )
        copy = answer_to("first", body=b"", framing="chunked")
        copy = copy.removesuffix(b"0\r\n\r\n") + chunks + b"0\r\n\r\n"
        small = answer_to("first", body=b"", framing="chunked")
        small = small.removesuffix(b"0\r\n\r\n") + b"1\r\nx\r\n" * 30_000
        small += b"0\r\n\r\n"
        for number, one in enumerate((copy, small)):
            with self.subTest(number):
                self.peer = Peer()
                sending = await self.peer.send("own")
                self.peer.receive(one + answer_to("own"))
                head = await sending
                self.assertEqual(await head.read(), b"whole")
                self.assertEqual(head.unread_bytes, 0)

    async def test_a_copy_cut_off_in_its_head_decides_nothing(self):
        """The own answer's first line became part of the copy's last header,
        its id that of both: a request that ran counted as refused.
        """
        copy = answer_to("first", status=503, framing="empty")
        for cut in range(1, len(copy)):
            with self.subTest(copy[:cut]):
                self.peer = Peer()
                sending = await self.peer.send("own")
                self.peer.receive(copy[:cut] + answer_to("own"))
                self.peer.connection.connection_lost(ConnectionResetError())
                with self.assertRaises(outcomes.UnknownOutcomeError):
                    await sending

    async def test_an_id_that_looks_like_an_answer_is_no_other_one(self):
        """Each answer to such an id counted as two, and as a failure of its
        replica: one caller could have all replicas ejected.
        """
        request_id = "HTTP/1.1 200"
        answer = answer_to(request_id)
        self.assertTrue(await self.peer.answered(answer, request_id=request_id))
        # A copy of it is skipped like any other.
        sending = await self.peer.send("next")
        self.peer.receive(answer + answer_to("next"))
        self.assertEqual(await (await sending).read(), b"whole")

    async def test_a_copy_begun_behind_an_answer_ends_the_connection(self):
        """The rest of it would be no answer where the next one is due."""
        copy = answer_to("first", status=503)
        for cut in range(1, len(copy)):
            with self.subTest(cut):
                self.peer = Peer()
                self.assertFalse(
                    await self.peer.answered(
                        answer_to("first") + copy[:cut], request_id="first"
                    )
                )

    async def test_nothing_is_awaited_behind_a_copy_without_a_length(self):
        """It ends with the connection, so no answer can follow."""
        sending = await self.peer.send("own")
        self.peer.receive(answer_to("first", framing="none"))
        with self.assertRaises(outcomes.UnknownOutcomeError):
            await asyncio.wait_for(sending, 5)

    async def test_skipped_bytes_are_not_held(self):
        """The bytes of a skipped copy counted as unread ones of a long answer
        behind it.
        """
        sending = await self.peer.send("own")
        self.peer.receive(
            answer_to("first", body=b"x" * 300_000),
            answer_to("own", body=b"x" * 100_000),
        )
        head = await sending
        self.assertLess(head.unread_bytes, 110_000)

    async def test_a_connection_that_carried_head_carries_nothing_else(self):
        """The copy of an answer to HEAD states a length, which would be taken
        from the next answer.
        """
        sending = await self.peer.send("first", has_body=False)
        self.peer.receive(answer_to("first", body=b"").replace(b" 0", b" 9"))
        await sending
        self.assertFalse(self.peer.connection.finish_exchange())

    async def test_what_was_carried_takes_little_memory(self):
        """Callers choose their ids: a connection would hold megabytes."""
        carried = answer_match.CarriedRequests()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(128):
            carried.add(f"{number}".ljust(60_000, "x"))
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, 64 * 1024)


class AnyCopiesTest(unittest.TestCase):
    @given(exchanges=strategies.lists(EXCHANGES, min_size=2, max_size=6))
    def test_no_copy_is_taken_for_an_answer(self, exchanges):
        """Whatever comes of earlier answers, whole, cut or late, an exchange
        gets its own answer, or none if the bytes before that were cut.
        """
        asyncio.run(asyncio.wait_for(self._play(exchanges), _TIMEOUT_S))

    async def _play(self, exchanges: list[Exchange]) -> None:
        peer, answers, rest = Peer(), [], b""
        for number, exchange in enumerate(exchanges):
            connection = peer.connection
            if not connection.is_open or connection.has_carried(
                exchange.request_id
            ):
                peer, answers, rest = Peer(), [], b""
            own = exchange.answer(number)
            copies = [
                answers[index % len(answers)]
                for index in exchange.copied
                if answers
            ]
            cut_bytes = 0
            if copies:
                cut_bytes = min(exchange.cut_bytes, len(copies[-1]))
                copies[-1] = copies[-1][: len(copies[-1]) - cut_bytes]
            data = rest + b"".join(copies) + own + own[: exchange.behind_bytes]
            rest = own[exchange.behind_bytes :]
            outcome = await self._exchange(peer, exchange, data)
            expected = (exchange.status, exchange.body(number))
            if outcome is not None or not cut_bytes:
                self.assertEqual(outcome, expected)
            answers.append(own)
            if exchange.is_rest_idle and rest:
                peer.receive(rest)
                self.assertFalse(peer.connection.is_open)

    async def _exchange(
        self, peer: Peer, exchange: Exchange, data: bytes
    ) -> tuple[int, bytes] | None:
        """Returns the status and the body; None if there was no answer."""
        sending = await peer.send(exchange.request_id)
        peer.receive(*exchange.packets(data))
        if not sending.done():
            await asyncio.sleep(0)
        if not sending.done():
            peer.connection.connection_lost(ConnectionResetError())
        body = b""
        try:
            head = await sending
            while piece := await head.read():
                body += piece
        except outcomes.UnknownOutcomeError:
            return None
        finally:
            peer.connection.finish_exchange()
        return head.status, body


if __name__ == "__main__":
    unittest.main()
