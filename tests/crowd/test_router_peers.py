"""Crowds at the port where a router's peers connect."""

import asyncio
import socket

from tests.crowd import http_cases
from tests.crowd import http_pieces
from tests.crowd import members
from tests.crowd import platform_case

DATAGRAMS = 20_000
DATAGRAM_BYTES = 1200
# A first frame of legal size.
HELLO_BYTES = 4000


class RouterPeersTest(platform_case.RouterCase):
    def crowd(self, count, pieces):
        return members.Crowd(address=self.inner, count=count, pieces=pieces)

    async def test_connections_that_never_say_who_they_are(self):
        """Connections without a first frame took all descriptors."""
        await self.withstand(
            self.crowd(http_cases.IDLE_CROWD, lambda number: ())
        )

    async def test_first_frames_that_stop_short(self):
        """First frames without an end kept memory and descriptors."""
        frame = HELLO_BYTES.to_bytes(4, "big") + b"f" * (HELLO_BYTES - 1)
        await self.withstand(
            self.crowd(http_cases.IDLE_CROWD, lambda number: [frame])
        )

    async def test_frames_over_the_limit(self):
        """Bytes that are no frames took memory."""
        await self.withstand(
            self.crowd(
                http_cases.CROWD,
                lambda number: http_pieces.without_end(b"\xff"),
            )
        )

    async def test_datagrams_of_strangers(self):
        """Datagrams of others than peers took memory."""
        host, _, port = self.inner.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(DATAGRAMS):
                sender.sendto(b"d" * DATAGRAM_BYTES, (host, int(port)))
                if number % 100 == 0:
                    await asyncio.sleep(0)
        await self.withstand(self.crowd(0, lambda number: ()))
