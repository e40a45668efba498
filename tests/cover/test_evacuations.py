"""Data centres that the operator evacuates and restores."""

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.replicas import evacuations
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.routes import in_force
from nutmeghook.internal.routes import model
from nutmeghook.internal.table_replication import source
from nutmeghook.internal.version_plans import orders
from nutmeghook.platform import rollout_rows
from nutmeghook.platform import tables
from nutmeghook.standins import users_replica
from tests import platform_rows
from tests import relay_fixture


def row(key: str, version: int, **changes) -> source.FollowedRow:
    """Returns a row of the operator's table with some fields changed."""
    fields = {"key": key, "value": b"{}", "version": version}
    return source.FollowedRow(**(fields | changes))


class OperatorRowsTest(unittest.TestCase):
    def setUp(self):
        self.restored: list[str] = []
        self.registry = evacuations.EvacuationRegistry(
            on_restored=self.restored.append
        )
        self.orders = orders.OrderRegistry()
        self.rows = tables.OperatorRows(
            configuration=in_force.ConfigurationInForce(),
            orders=self.orders,
            evacuations=self.registry,
            unreadable=platform_rows.unreadable_values(),
        )

    def evacuate(self, name: str, version: int) -> None:
        self.rows.change((row(f"evacuate/{name}", version),))

    def test_overlapping_evacuations_end_separately(self):
        self.evacuate("pest", 1)
        self.evacuate("buda", 2)
        self.rows.change((row("evacuate/pest", 3, deleted=True),))
        self.assertEqual(self.registry.all(), {"buda"})
        self.assertEqual(self.restored, ["pest"])

    def test_an_evacuation_placed_again_is_in_force(self):
        self.evacuate("pest", 1)
        self.rows.change(
            (
                row("evacuate/pest", 2, deleted=True),
                row("evacuate/pest", 3),
            )
        )
        self.assertTrue(self.registry.is_evacuated("pest"))

    def test_a_full_read_ends_an_evacuation(self):
        """The store lost its history and with it the removal of a row. The data
        centre would stay evacuated for ever.
        """
        self.evacuate("pest", 1)
        self.evacuate("buda", 2)
        self.rows.replace((row("evacuate/buda", 2),), 9)
        self.assertEqual(self.registry.all(), {"buda"})
        self.assertEqual(self.restored, ["pest"])

    def test_a_full_read_ends_an_order(self):
        """The same for a roll-out, which would continue without an order."""
        order = {"service": "pool", "to": "v2", "withinS": 20.0}
        key = rollout_rows.ORDER_PREFIX + "pool"
        self.rows.change((row(key, 1, value=msgspec.json.encode(order)),))
        self.assertIsNotNone(self.orders.of_service("pool"))
        self.rows.replace((), 9)
        self.assertIsNone(self.orders.of_service("pool"))

    def test_a_malformed_order_does_not_count_as_removed(self):
        """A row that can't be decoded leaves the former order in force."""
        order = {"service": "pool", "to": "v2", "withinS": 20.0}
        key = rollout_rows.ORDER_PREFIX + "pool"
        self.rows.change((row(key, 1, value=msgspec.json.encode(order)),))
        self.rows.replace((row(key, 8, value=b"{"),), 9)
        self.assertIsNotNone(self.orders.of_service("pool"))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.sampled_from(("place", "remove", "read all")),
            )
        )
    )
    def test_the_registry_matches_the_table(self, steps):
        """Holds after any series of changes and full reads."""
        self.setUp()
        present: dict[str, int] = {}
        for version, (name, step) in enumerate(steps, 1):
            key = f"evacuate/{name}"
            if step == "place":
                present[name] = version
                self.rows.change((row(key, version),))
            elif step == "remove":
                present.pop(name, None)
                self.rows.change((row(key, version, deleted=True),))
            else:
                whole = [row(f"evacuate/{n}", v) for n, v in present.items()]
                self.rows.replace(tuple(whole), version)
            self.assertEqual(self.registry.all(), set(present))


def reply_to(request: users_replica.ReceivedRequest) -> users_replica.Reply:
    """Returns a stream or a whole answer, depending on the route."""
    is_stream = request.target.startswith(f"/{model.RouteKind.STREAM.value}/")
    return users_replica.Reply(events=(1, 2) if is_stream else ())


class EvacuatedRequestsTest(relay_fixture.RelayCase):
    """One replica is in the own data centre and one in another."""

    def build_gate(self) -> send_gate.SendGate:
        self.registry = evacuations.EvacuationRegistry()
        return send_gate.LimitingGate(
            evacuations=self.registry,
            senders=sender_election.SenderElection(
                instance_id="edge-1", data_centre="here", clock=self.clock
            ),
            service=lambda name: None,
            asking=list,
            cold_share=lambda service: None,
            clock=self.clock,
        )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.local, self.remote = self.replicas
        self.directory.put(self.entry(self.remote, data_centre="far"))
        for replica in self.replicas:
            replica.decide_by(reply_to)

    async def test_requests_of_every_kind_avoid_an_evacuated_data_centre(self):
        self.registry.evacuate("here")
        for number, kind in enumerate(model.RouteKind):
            answer = await self.ask(kind, request_id=f"request-{number}")
            self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(self.local.received, [])

    async def test_a_retry_avoids_an_evacuated_data_centre(self):
        """The remote replica refuses, and the other one is evacuated. The
        caller gets an answer that the request was not run, with Retry-After.
        """
        self.registry.evacuate("here")
        refusal = users_replica.Reply(status=503, not_run=True)
        self.remote.decide_by(lambda request: refusal)
        answer = await self.ask(model.RouteKind.IDEMPOTENT)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"retry-after", answer.lower())
        self.assertEqual(self.local.received, [])

    async def test_a_running_request_is_completed(self):
        self.registry.evacuate("far")
        events = tuple(range(6))
        slow = users_replica.Reply(events=events, pause_s=0.02)
        self.local.decide_by(lambda request: slow)
        asking = asyncio.create_task(self.ask(model.RouteKind.STREAM))
        await self.arrival()
        self.registry.evacuate("here")
        answer = await asking
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(len(relay_fixture.events_of(answer)), len(events))

    async def test_a_request_that_waits_for_a_connection_gets_another_replica(
        self,
    ):
        """An evacuation starts between the choice of a replica and the write of
        the request, which must not reach the data centre.
        """
        self.registry.evacuate("far")
        acquire = self.pool.acquire

        async def slow_acquire(address, *, request_id, max_idle_s):
            connection = await acquire(
                address, request_id=request_id, max_idle_s=max_idle_s
            )
            if address == self.local.address:
                self.registry.evacuate("here")
                self.registry.restore("far")
            return connection

        self.pool_acquire(slow_acquire)
        answer = await self.ask(model.RouteKind.ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(self.local.received, [])
        self.assertEqual(len(self.remote.received), 1)

    def pool_acquire(self, function) -> None:
        patched = mock.patch.object(
            type(self.pool),
            "acquire",
            lambda pool, address, **arguments: function(address, **arguments),
        )
        patched.start()
        self.addCleanup(patched.stop)

    async def test_requests_are_refused_at_once_if_all_is_evacuated(self):
        """Nothing can be served until the operator restores a data centre."""
        self.registry.evacuate("here")
        self.registry.evacuate("far")
        answer = await self.ask(model.RouteKind.STREAM)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"retry-after", answer.lower())
        self.assertEqual(self.received_requests(), [])
        self.registry.restore("far")
        answer = await self.ask(model.RouteKind.STREAM)
        self.assertEqual(relay_fixture.status_of(answer), 200)


if __name__ == "__main__":
    unittest.main()
