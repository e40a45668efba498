"""Crowds at the listener for the platform's callers."""

import asyncio
import signal

from tests.crowd import crowd_case
from tests.crowd import http_cases
from tests.crowd import http_pieces
from tests.crowd import members
from tests.crowd import platform_case

# Lines about clients, however many of them there are.
LOGGED_LINES = 200
HANG_S = 60
SLOW_PIECES = 32


class RouterCallersTest(http_cases.HttpCases, platform_case.RouterCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.address = self.front

    def head(self, number):
        return self.caller_head(number)

    async def test_bodies_behind_a_request_that_runs(self):
        """Bodies behind a request in progress were kept, and nobody counted."""

        def pieces(number):
            head = self.caller_head(number, platform_case.HELD_PATH)
            yield from http_pieces.whole(head, 1)
            yield from http_pieces.cut_short(
                self.head(number), http_cases.BODY_BYTES
            )

        await self.withstand(self.crowd(http_cases.CROWD, pieces))

    async def test_heads_behind_a_request_that_runs(self):
        """Requests behind one in progress were kept, and nobody counted."""

        def pieces(number):
            held = self.caller_head(number, platform_case.HELD_PATH)
            yield from http_pieces.whole(held, 1)
            field = b"X-Field: %b\r\n" % (b"v" * 6_000)
            request = self.head(number) + field + b"Content-Length: 0\r\n\r\n"
            yield from [request] * http_cases.REQUESTS_IN_A_ROW

        await self.withstand(self.crowd(http_cases.CROWD, pieces))

    async def test_a_refusal_promises_that_nothing_ran(self):
        """A refused request must not have been run, and must not run later."""
        crowd = self.crowd(
            http_cases.CROWD,
            lambda number: http_pieces.whole(
                self.head(number), http_cases.BODY_BYTES
            ),
        )
        await self.withstand(crowd)
        refused = {
            f"member-{number}" for number in self.promised_not_run(crowd)
        }
        self.assertEqual(refused & set(self.replica.ran), set())

    async def test_the_log_of_a_crowd_is_bounded(self):
        """Each connection that was closed was worth a line."""
        crowd = members.Crowd(
            address=self.address,
            count=http_cases.IDLE_CROWD,
            pieces=lambda number: [b"not HTTP\r\n\r\n"],
            comes_again=http_cases.COMES_AGAIN,
        )
        await self.withstand(crowd)
        logged = self.log.read_bytes() + self.errors.read_bytes()
        self.assertLess(len(logged.splitlines()), LOGGED_LINES)

    async def test_a_stop_while_a_crowd_stays(self):
        """Connections that stayed open must not hold up the end."""
        crowd = self.crowd(
            http_cases.IDLE_CROWD,
            lambda number: http_pieces.cut_short(self.head(number), 1000),
        )
        async with crowd:
            self.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(HANG_S):
                status = await self.process.wait()
        self.assertEqual(status, 0)

    async def test_largest_heads_and_slow_and_tiny_pieces_in_calm(self):
        """A single request inside the limits is served, however it comes."""
        head = self.head(0)
        padding = platform_case.HEAD_BYTES - len(head) - 64
        large = head + b"X-Field: %b\r\n" % (b"v" * padding)
        small = head + b"".join(b"x%d: 1\r\n" % n for n in range(200))
        tiny = b"1\r\nb\r\n" * platform_case.BODY_BYTES
        requests = {
            "largest head": http_pieces.whole(large, 10),
            "many fields": http_pieces.whole(small, 10),
            "tiny chunks": [
                head + b"Transfer-Encoding: chunked\r\n\r\n",
                *http_pieces.blocks(tiny + b"0\r\n\r\n"),
            ],
        }
        for name, pieces in requests.items():
            with self.subTest(name):
                self.assertEqual(await self.status_of(list(pieces)), 200)

    async def test_a_slow_but_steady_body_in_calm(self):
        """A body that is slow, but inside the limits, is waited for."""
        size = SLOW_PIECES * 1024
        head = self.head(0) + b"Content-Length: %d\r\n\r\n" % size
        pieces = [head, *([b"b" * 1024] * SLOW_PIECES)]
        self.assertEqual(await self.status_of(pieces, pause_s=0.1), 200)

    async def test_a_head_just_over_the_limit_is_told_so(self):
        """A caller must be able to read why it was refused."""
        field = b"X-Field: %b\r\n" % (b"v" * platform_case.HEAD_BYTES)
        request = self.head(0) + field + b"Content-Length: 0\r\n\r\n"
        self.assertEqual(await self.status_of([request]), 431)

    async def status_of(
        self, pieces: list[bytes], *, pause_s: float = 0.0
    ) -> int:
        """Returns the status that a single request gets in calm."""
        host, _, port = self.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(crowd_case.ANSWER_TIMEOUT_S):
            line = await reader.readline()
        writer.close()
        return int(line.split()[1])
