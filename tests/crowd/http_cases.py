"""Crowds that every HTTP listener must withstand."""

import abc

from tests.crowd import crowd_case
from tests.crowd import http_pieces
from tests.crowd import members

BODY_BYTES = 1024 * 1024
CROWD = 200
ENDLESS_CROWD = 20
IDLE_CROWD = 400
TINY_CHUNKS = 16 * 1024
REQUESTS_IN_A_ROW = 100
LONG_HEADS_CROWD = 40
COMES_AGAIN = 3
# What an endless sender gets rid of, buffers of both systems included.
TAKEN_BYTES = 4 * 1024 * 1024


class HttpCases(crowd_case.CrowdCase, abc.ABC):
    """One listener and its crowds.

    Attributes:
        address: The listener's, as `ip:port`.
    """

    address: str

    @abc.abstractmethod
    def head(self, number: int) -> bytes:
        """Returns the head of a member's request, up to the body's length."""

    def crowd(self, count: int, pieces, *, reads: bool = True) -> members.Crowd:
        return members.Crowd(
            address=self.address, count=count, pieces=pieces, reads=reads
        )

    async def test_heads_over_the_limit(self):
        """Heads that never ended took all memory."""

        def pieces(number):
            yield self.head(number)
            yield from http_pieces.fields()

        await self.withstand(self.crowd(CROWD, pieces))

    async def test_long_fields(self):
        """Heads of fields as long as the parser takes them took all memory."""

        def pieces(number):
            yield self.head(number)
            yield from http_pieces.long_fields()

        await self.withstand(self.crowd(LONG_HEADS_CROWD, pieces))

    async def test_small_fields(self):
        """The objects of many small fields took far more than their bytes."""

        def pieces(number):
            yield self.head(number) + b"".join(http_pieces.small_fields())

        await self.withstand(self.crowd(CROWD, pieces))

    async def test_a_request_line_without_end(self):
        """A line that has not ended was counted nowhere."""

        def pieces(number):
            yield b"GET /"
            yield from http_pieces.without_end(b"p")

        crowd = self.crowd(CROWD, pieces)
        await self.withstand(crowd)
        self.assert_ended(crowd, most_bytes=TAKEN_BYTES)

    async def test_a_field_name_without_end(self):
        """A name that has not ended was counted nowhere."""

        def pieces(number):
            yield self.head(number)
            yield from http_pieces.without_end(b"n")

        crowd = self.crowd(CROWD, pieces)
        await self.withstand(crowd)
        self.assert_ended(crowd, most_bytes=TAKEN_BYTES)

    async def test_a_field_without_end(self):
        """A head of one endless field was read for good."""

        def pieces(number):
            yield self.head(number) + b"X-Field: "
            yield from http_pieces.without_end(b"v")

        crowd = self.crowd(ENDLESS_CROWD, pieces)
        await self.withstand(crowd)
        self.assert_ended(crowd, most_bytes=TAKEN_BYTES)

    async def test_empty_lines_without_end(self):
        """Empty lines before a request were skipped for good."""
        crowd = self.crowd(
            ENDLESS_CROWD, lambda number: http_pieces.without_end(b"\r\n")
        )
        await self.withstand(crowd)
        self.assert_ended(crowd, most_bytes=TAKEN_BYTES)

    async def test_empty_lines_without_end_after_a_request(self):
        """Empty lines on a kept connection were skipped for good."""

        def pieces(number):
            yield from http_pieces.whole(self.head(number), 1)
            yield from http_pieces.without_end(b"\r\n")

        crowd = self.crowd(ENDLESS_CROWD, pieces)
        await self.withstand(crowd)
        self.assert_ended(crowd, most_bytes=TAKEN_BYTES)

    async def test_whole_bodies_at_once(self):
        """Large bodies that came at once took all memory."""
        await self.withstand(
            self.crowd(
                CROWD,
                lambda number: http_pieces.whole(self.head(number), BODY_BYTES),
            )
        )

    async def test_bodies_that_stop_short(self):
        """Bodies without their last byte kept memory and kept others out."""
        await self.withstand(
            self.crowd(
                CROWD,
                lambda number: http_pieces.cut_short(
                    self.head(number), BODY_BYTES
                ),
            )
        )

    async def test_bodies_piece_by_piece(self):
        """Bodies in small pieces filled the bound to the last byte."""
        await self.withstand(
            self.crowd(
                CROWD,
                lambda number: http_pieces.uneven(
                    self.head(number), number, BODY_BYTES
                ),
            )
        )

    async def test_a_mixture_that_comes_again(self):
        """Clients came again as soon as they had been closed."""
        kinds = (
            lambda head: http_pieces.cut_short(head, BODY_BYTES),
            lambda head: http_pieces.cut_short_in_chunks(head, 2, TINY_CHUNKS),
            lambda head: [head, *http_pieces.fields()],
            lambda head: http_pieces.without_end(b"\r\n"),
            http_pieces.long_extension,
            lambda head: (),
        )
        await self.withstand(
            members.Crowd(
                address=self.address,
                count=CROWD,
                pieces=lambda number: kinds[number % len(kinds)](
                    self.head(number)
                ),
                comes_again=COMES_AGAIN,
            )
        )

    async def test_chunked_bodies_that_stop_short(self):
        """Chunked bodies without an end kept memory and kept others out."""
        await self.withstand(
            self.crowd(
                CROWD,
                lambda number: http_pieces.cut_short_in_chunks(
                    self.head(number), 64 * 1024, 15
                ),
            )
        )

    async def test_bodies_in_tiny_chunks_that_stop_short(self):
        """Tiny chunks took far more memory than their bytes."""
        await self.withstand(
            self.crowd(
                CROWD,
                lambda number: http_pieces.cut_short_in_chunks(
                    self.head(number), 2, TINY_CHUNKS
                ),
            )
        )

    async def test_a_chunk_extension_without_end(self):
        """An extension of a chunk was skipped for good."""
        crowd = self.crowd(
            ENDLESS_CROWD,
            lambda number: http_pieces.long_extension(self.head(number)),
        )
        await self.withstand(crowd)
        self.assert_ended(crowd, most_bytes=TAKEN_BYTES)

    async def test_trailers_over_the_limit(self):
        """Trailers that never ended took all memory."""
        await self.withstand(
            self.crowd(
                CROWD,
                lambda number: http_pieces.long_trailers(self.head(number)),
            )
        )

    async def test_idle_connections(self):
        """Connections that sent nothing took all descriptors."""
        await self.withstand(self.crowd(IDLE_CROWD, lambda number: ()))

    async def test_heads_that_stop_short(self):
        """Connections with a part of a head took all descriptors."""
        await self.withstand(
            self.crowd(IDLE_CROWD, lambda number: [self.head(number)])
        )

    async def test_answers_that_nobody_reads(self):
        """Answers piled up for clients that read none of them."""
        await self.withstand(
            self.crowd(
                ENDLESS_CROWD,
                lambda number: (
                    [self.head(number) + b"Content-Length: 0\r\n\r\n"]
                    * REQUESTS_IN_A_ROW
                ),
                reads=False,
            )
        )
