"""Replicas that say in their answers that they leave."""

import asyncio
import unittest
from unittest import mock

from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import pool as pool_module
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import gated_relay
from tests import relay_fixture

LEAVING = ((headers.LEAVING, "1"),)


class LeavingAnswersTest(gated_relay.GatedRelayCase):
    async def told(self) -> users_replica.StandInReplica:
        """Lets the first replica leave and say so; returns it."""
        leaving = self.replicas[0]
        leaving.signals = LEAVING
        await self.ask_all_kinds(24)
        self.assertGreater(len(leaving.received), 0)
        return leaving

    async def test_requests_of_every_kind_go_elsewhere_once_it_is_known(self):
        """The list still has the replica as ready, since the store is away, and
        each of its answers says that it leaves.
        """
        leaving = await self.told()
        before = len(leaving.received)
        for answer in await self.ask_all_kinds(24):
            self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(len(leaving.received), before)
        self.assertEqual(before, 1)

    async def test_a_row_that_still_says_ready_brings_it_not_back(self):
        leaving = await self.told()
        before = len(leaving.received)
        self.directory.put(self.entry(leaving, slots=9))
        await self.ask_all_kinds(24)
        self.assertEqual(len(leaving.received), before)

    async def test_a_new_start_at_its_address_gets_requests(self):
        leaving = await self.told()
        leaving.signals = ()
        leaving.replica_id = "successor"
        self.directory.put(self.entry(leaving))
        before = len(leaving.received)
        await self.ask_all_kinds(24)
        self.assertGreater(len(leaving.received), before)

    async def test_a_refused_stream_is_retried_elsewhere(self):
        """It refuses what it gets, as the only one that could take it."""
        leaving = self.replicas[0]
        leaving.signals = LEAVING
        refusal = users_replica.Reply(status=503, not_run=True)
        leaving.decide_by(lambda request: refusal)
        for answer in await self.ask_all_kinds(24):
            self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(len(leaving.received), 1)

    async def test_a_request_that_waits_for_a_connection_goes_elsewhere(self):
        """The word comes between the choice of the replica and the write."""
        leaving, staying = self.replicas
        self.directory.put(self.entry(staying, data_centre="far"))
        (known,) = [
            replica
            for replica in self.directory.of_service("service")
            if replica.entry.replica_id == leaving.replica_id
        ]
        acquire = self.pool.acquire

        async def slow_acquire(address, **options):
            connection = await acquire(address, **options)
            known.said_leaving_at = self.clock.monotonic()
            return connection

        with mock.patch.object(
            pool_module.ConnectionPool, "acquire", side_effect=slow_acquire
        ):
            answer = await self.ask(model.RouteKind.ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(leaving.received, [])

    async def test_a_stream_under_way_is_completed(self):
        for replica in self.replicas:
            replica.signals = LEAVING
        events = tuple(range(6))
        slow = users_replica.Reply(events=events, pause_s=0.02)
        for replica in self.replicas:
            replica.decide_by(lambda request: slow)
        asking = asyncio.create_task(self.ask(model.RouteKind.STREAM))
        await self.arrival()
        answer = await asking
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(len(relay_fixture.events_of(answer)), len(events))


class NobodyStaysTest(gated_relay.GatedRelayCase):
    async def test_a_request_is_refused_at_once_when_all_leave(self):
        for replica in self.replicas:
            replica.signals = LEAVING
        await self.ask_all_kinds(24)
        before = len(self.received_requests())
        answer = await self.ask(model.RouteKind.IDEMPOTENT, request_id="last")
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"retry-after", answer.lower())
        self.assertEqual(len(self.received_requests()), before)


if __name__ == "__main__":
    unittest.main()
