"""Replicas that turn cold while their entries can't say so."""

import datetime

from nutmeghook.internal.routes import model
from tests import relay_fixture

IDEMPOTENT = model.RouteKind.IDEMPOTENT
COLD_MS = 8000
SERVICE = model.Service(
    name="service", liveness_path="/health", max_connections=9, cold_per_s=5.0
)


class ColdWatchTest(relay_fixture.RelayCase):
    replica_count = 1
    is_list_stale = True

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.use(SERVICE)
        self.replicas[0].cold_ms = COLD_MS

    def use(self, service: model.Service) -> None:
        """Puts the next configuration in force, with this service."""
        version = self.configuration.version + 1
        self.configuration.offer(
            relay_fixture.configuration(
                version=version, services={"service": service}
            ),
            source="test",
        )

    async def ask_often(self) -> int:
        """Sends requests for a moment; returns the checks that they caused."""
        before = self.replicas[0].probes
        for number in range(5):
            await self.ask(IDEMPOTENT, request_id=f"request-{number}")
        await self.clock.sleep(relay_fixture.SECOND / 10)
        return self.replicas[0].probes - before

    def is_cold(self) -> bool:
        """Tells whether the replica is known to be cold."""
        (replica,) = self.directory.all()
        return replica.is_cold(self.clock.monotonic())

    async def test_a_replica_is_asked_while_the_list_may_be_out_of_date(self):
        """It got five times what it bears, since the store that has its entry
        did not answer, until it crashed.
        """
        self.assertEqual(await self.ask_often(), 1)
        self.assertTrue(self.is_cold())

    async def test_a_warm_replica_is_asked_again_only_after_a_while(self):
        self.replicas[0].cold_ms = 0
        self.assertEqual(await self.ask_often(), 1)
        self.assertFalse(self.is_cold())
        await self.clock.sleep(datetime.timedelta(milliseconds=500))
        self.assertEqual(await self.ask_often(), 1)

    async def test_nobody_is_asked_while_the_list_is_the_newest(self):
        self.is_list_stale = False
        self.assertEqual(await self.ask_often(), 0)

    async def test_services_without_a_cold_limit_are_not_asked(self):
        self.use(
            model.Service(
                name="service", liveness_path="/health", max_connections=9
            )
        )
        self.assertEqual(await self.ask_often(), 0)
