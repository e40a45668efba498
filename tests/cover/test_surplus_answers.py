"""Replicas that send an answer twice, the copy where the next one is due."""

import unittest

from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.standins import users_replica
from tests import relay_fixture
from tests import tunnel_fixture

IDEMPOTENT = model.RouteKind.IDEMPOTENT
ONCE = model.RouteKind.ONCE
STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = (0, 1, 2)
WHOLE = [users_replica.event(number) for number in EVENTS]
REFUSAL = Reply(status=503, not_run=True, body=b"full", late_copy=True)


class CopiesCase:
    """What holds for direct connections and for those through peers."""

    def ran(self) -> list[str]:
        """Returns the ids of all runs, at whichever replica."""
        return sorted(one for replica in self.replicas for one in replica.ran)

    async def probe(
        self, replica: users_replica.StandInReplica
    ) -> connection_module.ReplicaConnection:
        """Sends a probe; returns its connection, which the pool has kept."""
        entry = self.entry(replica)
        connection = await self.pool.open_for_probe(entry.address)
        message = wire.encode_probe(
            relay_fixture.headers.PlatformHeaders(),
            "/health",
            entry,
            time_left=relay_fixture.SECOND,
        )
        await self.pool.exchange_probe(entry.address, connection, message)
        return connection

    async def test_a_copy_of_a_refusal_does_not_end_the_next_attempt(self):
        """A replica refuses a request, another one crashes under it, and it
        goes back to the first on the same connection. The copy of the refusal
        bears its id, so it ran at the first and was sent once more.
        """
        self.reply_with(
            REFUSAL,
            Reply(events=EVENTS, send_bytes=5, crash=True),
            Reply(events=EVENTS, pause_s=0.05),
        )
        answer = await self.ask(STREAM)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        (alive,) = [r for r in self.replicas if not r.crashed.is_set()]
        self.assertEqual(alive.ran, ["request-1"])

    async def test_a_copy_of_a_refused_probe_refuses_no_request(self):
        """Probes have no id, so the copy of one's refusal has none either. A
        request that may run once ran on the probe's connection, and again at
        another replica.
        """
        for replica in self.replicas:
            replica.probe_reply = REFUSAL
            await self.probe(replica)
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.body_of(answer), b"done")
        self.assertEqual(self.ran(), ["request-1"])

    async def test_the_next_request_gets_its_own_answer_behind_a_copy(self):
        """The id showed that the copy was another request's, and the answer
        that followed was dropped with the connection: a request that may run
        once ran, and failed.
        """
        for kind in (ONCE, IDEMPOTENT):
            self.reply_with(Reply(body=b"first", late_copy=True), Reply())
            for replica in self.replicas:
                replica.ran.clear()
            for number in range(4):
                answer = await self.ask(kind, request_id=f"request-{number}")
                self.assertEqual(relay_fixture.status_of(answer), 200)
            self.assertEqual(
                self.ran(), [f"request-{number}" for number in range(4)]
            )


class DirectCopiesTest(CopiesCase, relay_fixture.RelayCase):
    """On this instance's own connections."""

    async def test_idle_connections_end_whichever_ids_they_carried(self):
        """Those that had carried a request's id were passed over for good, and
        took a replica's connections where all requests have the same id.
        """
        replica = self.replicas[0]
        kept = await self.probe(replica)
        kept.idle_since_s -= 100.0
        fresh = await self.pool.acquire(
            replica.address, request_id="", max_idle_s=60.0
        )
        self.addCleanup(fresh.abort)
        self.assertFalse(kept.is_open)


class TunnelledCopiesTest(CopiesCase, tunnel_fixture.TunnelCase):
    """On connections that a peer carries."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.dialer.refuses = True


if __name__ == "__main__":
    unittest.main()
