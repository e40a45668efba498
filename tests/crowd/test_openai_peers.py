"""Crowds at the port where other instances connect."""

from tests.crowd import http_cases
from tests.crowd import members
from tests.crowd import openai_case
from tests.crowd import test_router_peers as peers


class OpenAiPeersTest(openai_case.InstanceCase):
    def crowd(self, count, pieces):
        return members.Crowd(address=self.inner, count=count, pieces=pieces)

    async def test_connections_that_never_say_who_they_are(self):
        """Connections without a first frame took all descriptors."""
        await self.withstand(
            self.crowd(http_cases.IDLE_CROWD, lambda number: ())
        )

    async def test_first_frames_that_stop_short(self):
        """First frames without an end kept memory and descriptors."""
        size = peers.HELLO_BYTES
        frame = size.to_bytes(4, "big") + b"f" * (size - 1)
        await self.withstand(
            self.crowd(http_cases.IDLE_CROWD, lambda number: [frame])
        )
