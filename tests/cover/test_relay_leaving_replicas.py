"""Streams of leaving replicas, which complete them and refuse connections.

A leaving replica closes its listener and finishes its requests. The probe of a
silent replica is then refused at once. If that counted as unreachable, its
streams would be abandoned 0.6 s into a pause, and some of them cut: at the end
of a roll-out, 48 attempts within three seconds.
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
# Long enough for a probe, but less than a PATIENT stream may pause.
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
        """Requests a stream that pauses; returns it and its replica."""
        self.configuration.offer(
            relay_fixture.configuration(PATIENT, version=2), source="test"
        )
        self.reply_with(Reply(events=EVENTS, pause_s=0.2))
        asking = asyncio.create_task(self.ask(STREAM, body=b"prompt"))
        await self.arrival()
        (replica,) = [r for r in self.replicas if r.received]
        return asking, replica

    async def test_a_stream_of_a_leaving_replica_is_not_abandoned(self):
        """A leaving replica refuses connections and pauses between two events.
        The caller gets the whole stream from it, and no other replica prefills
        the prompt again.
        """
        asking, leaving = await self.paused()
        leaving.refuse_connections()
        await self.clock.advance(LONGER_THAN_PROBE_DELAY)
        answer = await asking
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_replica_that_refuses_connections_gets_no_new_requests(
        self,
    ):
        """A replica that refuses connections takes no new requests; the next
        ones go to the other replica.
        """
        asking, leaving = await self.paused()
        leaving.refuse_connections()
        await self.clock.advance(LONGER_THAN_PROBE_DELAY)
        await asking
        for number in range(5):
            await self.ask(STREAM, request_id=f"later-{number}")
        self.assertEqual(len(leaving.received), 1)


if __name__ == "__main__":
    unittest.main()
