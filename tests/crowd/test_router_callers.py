"""Crowds at the listener for the platform's callers."""

from tests.crowd import http_cases
from tests.crowd import http_pieces
from tests.crowd import platform_case


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
