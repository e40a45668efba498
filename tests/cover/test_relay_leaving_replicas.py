"""Streams of replicas that leave: they work on, and take no new connection.

Seen on a large deployment as a roll-out completed: 48 attempts on streams were
given up within three seconds, by the bound for dark replicas, and some of the
answers were cut. A replica that leaves closes its listener and finishes what
it runs. The relay tried to connect to see whether a silent replica is dark,
was refused at once, and took that for darkness. What proved it: of 14 attempts
whose replica was still known, all were at one that was leaving, and ten ended
0.56 to 0.64 s after their answer began, which leaves no room for the 0.35 s
that an attempt to connect waits when nobody answers.
"""

import asyncio
import datetime
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = (0, 1, 2)
WHOLE = [users_replica.event(number) for number in EVENTS]
# Doubtful, but less than a stream of the fixture's routes may pause.
LONGER_THAN_PROBE_DELAY = datetime.timedelta(milliseconds=700)
PATIENT = relay_fixture.route(
    STREAM,
    time_limit=1000 * relay_fixture.SECOND,
    target=100 * relay_fixture.SECOND,
    longest_pause=100 * relay_fixture.SECOND,
)


class LeavingReplicasTest(relay_fixture.RelayCase):
    def build_clock(self) -> clock_module.Clock:
        return clock_module.FakeClock()

    async def paused(self) -> tuple[asyncio.Task[bytes], object]:
        """Asks for a stream that pauses; returns it and its replica."""
        self.configuration.offer(
            relay_fixture.configuration(PATIENT, version=2), source="test"
        )
        self.reply_with(Reply(events=EVENTS, pause_s=0.2))
        asking = asyncio.create_task(self.ask(STREAM, body=b"prompt"))
        await self.arrival()
        (replica,) = [r for r in self.replicas if r.seen]
        return asking, replica

    async def test_a_stream_of_a_leaving_replica_is_not_abandoned(self):
        """A replica refuses connections, since it leaves, and pauses between
        two events. It runs what it has to its end, so the caller gets the
        stream from it whole and no other replica reads the prompt again.
        """
        asking, leaving = await self.paused()
        leaving.refuse_connections()
        await self.clock.advance(LONGER_THAN_PROBE_DELAY)
        answer = await asking
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.seen()), 1)

    async def test_a_replica_that_refuses_connections_gets_no_new_requests(
        self,
    ):
        """What a refused connection tells of a replica is that new requests
        have no place there; the next ones go to the other replica.
        """
        asking, leaving = await self.paused()
        leaving.refuse_connections()
        await self.clock.advance(LONGER_THAN_PROBE_DELAY)
        await asking
        for number in range(5):
            await self.ask(STREAM, request_id=f"later-{number}")
        self.assertEqual(len(leaving.seen), 1)


if __name__ == "__main__":
    unittest.main()
