"""Crowds at the OpenAI-compatible entry."""

import zlib

from tests.crowd import http_cases
from tests.crowd import http_pieces
from tests.crowd import openai_case

# Just below what is taken for a large body.
SMALL_BODY_BYTES = 60 * 1024
LARGE_BODY_BYTES = 9 * 1024 * 1024
LARGE_CROWD = 60
COMPRESSED_BYTES = 9 * 1024 * 1024


class OpenAiCallersTest(http_cases.HttpCases, openai_case.InstanceCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.address = self.front

    def head(self, number):
        return self.caller_head(openai_case.FINDINGS_PATH)

    async def test_the_largest_bodies_stop_short(self):
        """A few of the largest bodies kept all others out."""
        await self.withstand(
            self.crowd(
                LARGE_CROWD,
                lambda number: http_pieces.cut_short(
                    self.head(number), LARGE_BODY_BYTES
                ),
            )
        )

    async def test_small_bodies_that_stop_short(self):
        """Small bodies were not counted at all."""
        await self.withstand(
            self.crowd(
                http_cases.IDLE_CROWD,
                lambda number: http_pieces.cut_short(
                    self.head(number), SMALL_BODY_BYTES
                ),
            )
        )

    async def test_compressed_bodies_that_stop_short(self):
        """Compressed bodies took a thousand times their declared size."""
        packed = zlib.compress(b"b" * COMPRESSED_BYTES)

        def pieces(number):
            yield self.head(number) + (
                b"Content-Encoding: deflate\r\n"
                b"Content-Length: %d\r\n\r\n" % len(packed)
            )
            yield packed[:-1]

        await self.withstand(self.crowd(http_cases.CROWD, pieces))
