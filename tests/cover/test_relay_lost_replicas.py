"""What the log says of a connection that was lost during an answer."""

import asyncio

import eliot

from nutmeghook.internal.observe import logs
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
BROKEN = {"events": (0, 1), "send_bytes": 30}


class LostConnectionsTest(relay_fixture.RelayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.messages = []
        self.noticed = asyncio.Event()
        logs.start_with(self._collect)
        self.addCleanup(eliot.remove_destination, self._collect)

    def _collect(self, message: dict[str, object]) -> None:
        self.messages.append(message)
        if message["message_type"] == "attempt:lost":
            self.noticed.set()

    def logged(self, message_type: str) -> list[dict[str, object]]:
        """Returns the lines of a type."""
        return [m for m in self.messages if m["message_type"] == message_type]

    async def lost_to(self, reply: Reply) -> dict[str, object]:
        """Breaks off one stream by this reply; returns its log entry."""
        self.reply_with(reply, Reply(events=(0, 1)))
        await self.ask(STREAM, body=b"prompt")
        # The replica is probed while the request goes on.
        await self.noticed.wait()
        (lost,) = self.logged("attempt:lost")
        self.assertTrue(lost["begun"])
        return lost

    async def test_a_crashed_replica_refuses_connections(self):
        lost = await self.lost_to(Reply(crash=True, **BROKEN))
        self.assertEqual(lost["replica_now"], "refuses")

    async def test_a_replica_whose_connection_was_reset_accepts_others(self):
        lost = await self.lost_to(Reply(reset=True, **BROKEN))
        self.assertEqual(lost["replica_now"], "accepts")

    async def test_copies_of_a_request_have_one_identity(self):
        """A caller retries a request with another id, on another connection.
        The log must show that it is the same request.
        """
        self.reply_with(Reply(events=(0, 1)))
        for request_id, body in (("1", b"a"), ("2", b"a"), ("3", b"b")):
            await self.ask(STREAM, request_id=request_id, body=body)
        first, copy, other = (
            line["identity"] for line in self.logged("request:ended")
        )
        self.assertEqual(first, copy)
        self.assertNotEqual(first, other)

    async def test_attempts_of_one_session_have_one_digest(self):
        """The log must show that a session has changed its version."""
        self.reply_with(Reply(events=(0, 1)))
        for number, session in enumerate(("a", "a", "b")):
            await self.ask(
                STREAM,
                request_id=f"{number}",
                extra=(relay_fixture.AUTHORIZATION, (headers.SESSION, session)),
            )
        first, second, other = (
            line["session"] for line in self.logged("attempt:sent")
        )
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)
