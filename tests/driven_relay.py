"""A relay whose clock the test advances, and requests under way."""

import asyncio
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import relay_fixture

Reply = users_replica.Reply
EVENTS = (0, 1, 2, 3)
WHOLE = [users_replica.event(number) for number in EVENTS]
MODELS = ("small", "middle", "large")
ANY_MODEL = (relay_fixture.AUTHORIZATION, ("X-Model", "*"))
# Far above all limits for silence, so that no request ends by its time limit.
LONG = 100_000 * relay_fixture.SECOND
STEP = datetime.timedelta(milliseconds=20)


class DrivenRelayCase(relay_fixture.RelayCase):
    """Gives each test a relay whose clock the test advances."""

    def build_clock(self) -> clock_module.Clock:
        return clock_module.FakeClock()

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.version = 1
        self.put_in_force()

    def put_in_force(self, *routes: model.Route, **changes) -> None:
        """Puts a configuration in force, by default with long time limits."""
        self.version += 1
        routes = routes or tuple(
            relay_fixture.route(kind, time_limit=LONG)
            for kind in model.RouteKind
        )
        self.configuration.offer(
            relay_fixture.configuration(
                *routes, version=self.version, **changes
            ),
            source="test",
        )

    def revoke_key(self) -> None:
        """Revokes the callers' key; another team keeps its own."""
        others = {"another-key": model.Team(name="another-team")}
        self.put_in_force(teams_by_key=others)

    async def answer_of(self, asking: asyncio.Task[bytes]) -> bytes:
        """Advances the clock until a request has its final answer."""
        while not asking.done():
            await self.clock.advance(STEP)
            # Sockets are real: data in transit must be delivered.
            await asyncio.sleep(0.001)
        return await asking

    def resumed_after(
        self, event_id: str
    ) -> list[users_replica.ReceivedRequest]:
        """Returns the requests that resumed after an event."""
        name = headers.LAST_EVENT.lower()
        return [
            s
            for s in self.received_requests()
            if s.headers.get(name) == event_id
        ]


class BegunStreamCase(DrivenRelayCase):
    """Provides streams that have begun and then stall."""

    async def begun(self) -> asyncio.Task[bytes]:
        """Asks for a stream whose replica stalls after two events.

        Returns:
            The rest of the answer, once the caller has the two.
        """
        self.reply_with(
            Reply(events=EVENTS, stall_after=2), Reply(events=EVENTS)
        )
        host, _, port = self.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            f"POST /stream/x HTTP/1.1\r\nHost: {relay_fixture.HOST}\r\n"
            f"{headers.REQUEST_ID}: request-1\r\n"
            f"Authorization: Token {relay_fixture.KEY}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        begun = await reader.readuntil(b"data: part 1\n\n\r\n")

        async def rest() -> bytes:
            return begun + await reader.read()

        return asyncio.create_task(rest())

    async def assert_goes_on(self, asking: asyncio.Task[bytes]) -> None:
        """Checks that a second replica completes the answer."""
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(len(self.resumed_after("1")), 1)


class BudgetedRelayCase(DrivenRelayCase):
    """Lets a test spend retry budgets and see where requests went."""

    def spend_all(self, service: str = "service", *, but: int = 0) -> None:
        """Spends a service's retry budget except for a few attempts."""
        budget = self.budgets.budget_for(service)
        while budget.remaining() >= 1 + but:
            budget.try_spend()

    def in_order_of_arrival(self) -> list[str]:
        """Returns the ids of the replicas that received requests."""
        seen = [
            (s.arrived_s, r.replica_id)
            for r in self.replicas
            for s in r.received
        ]
        return [replica_id for _, replica_id in sorted(seen)]

    def used_replica(self):
        """Returns the relay's state of the replica that was asked."""
        (asked,) = {r.replica_id for r in self.replicas if r.received}
        (found,) = [
            replica
            for replica in self.directory.of_service("service")
            if replica.entry.replica_id == asked
        ]
        return found
