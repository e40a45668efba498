"""Sound replicas that answer nothing for a second or so, and go on."""

import asyncio
import datetime
import socket
import unittest

from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
# Of a sound replica that answers nothing, connections neither.
PAUSE_S = 1.4


class SilentReplicasTest(relay_fixture.RelayCase):
    async def test_a_stream_stays_with_a_replica_that_pauses(self):
        """A replica answers nothing for 1.4 s, no attempt to connect either,
        and goes on. It would not notice that the stream has moved, and both
        would run.
        """
        self.reply_with(Reply(events=(0, 1), pause_s=PAUSE_S))
        asking = asyncio.create_task(self.ask(STREAM, body=b"prompt"))
        await self.arrival()
        (busy,) = (r for r in self.replicas if r.received)
        busy.become_unreachable()
        answer = await asking
        self.assertEqual(len(relay_fixture.events_of(answer)), 2)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_silent_second_breaks_no_connection(self):
        """TCP_USER_TIMEOUT also decides when keep-alive probes give up. Below
        the time that the probes take, one that is sent just before a second of
        silence would be the last.
        """
        connection = await self.pool.acquire(
            self.replicas[0].address, request_id="", max_idle_s=0.0
        )
        self.addCleanup(connection.abort)
        raw = connection.transport.get_extra_info("socket")

        def option(name: int) -> int:
            return raw.getsockopt(socket.IPPROTO_TCP, name)

        unacknowledged = datetime.timedelta(
            milliseconds=option(socket.TCP_USER_TIMEOUT)
        )
        probes_s = option(socket.TCP_KEEPINTVL) * option(socket.TCP_KEEPCNT)
        idle_s = option(socket.TCP_KEEPIDLE)
        self.assertGreaterEqual(
            unacknowledged, datetime.timedelta(seconds=idle_s + probes_s)
        )


if __name__ == "__main__":
    unittest.main()
