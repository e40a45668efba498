"""Requests that must stay in their home regions."""

import unittest

from nutmeghook.internal.routes import model
from nutmeghook.platform import configuration as configuration_wire
from nutmeghook.standins import users_replica
from tests import relay_fixture

ONCE = model.RouteKind.ONCE
REFUSAL = users_replica.Reply(status=503, not_run=True)


class HomeRegionsTest(relay_fixture.RelayCase):
    """One replica is in each of two regions."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.local, self.remote = self.replicas
        self.directory.put(self.entry(self.remote, data_centre="far"))

    def bind(self, *, route: tuple[str, ...] = (), team: tuple[str, ...] = ()):
        """Puts home regions of the route and of the team in force."""
        routes = tuple(
            relay_fixture.route(kind, home_regions=frozenset(route))
            for kind in model.RouteKind
        )
        bound = model.Team(
            name=relay_fixture.TEAM, home_regions=frozenset(team)
        )
        self.configuration.offer(
            relay_fixture.configuration(
                *routes, version=2, teams_by_key={relay_fixture.KEY: bound}
            ),
            source="test",
        )

    async def status(self, kind: model.RouteKind = ONCE) -> int:
        answer = await self.ask(kind)
        return relay_fixture.status_of(answer)

    async def test_a_route_s_home_region_is_enforced(self):
        self.bind(route=("other-region",))
        self.assertEqual(await self.status(), 200)
        self.assertEqual(self.local.received, [])

    async def test_a_team_s_home_region_is_enforced(self):
        self.bind(team=("other-region",))
        self.assertEqual(await self.status(), 200)
        self.assertEqual(self.local.received, [])

    async def test_a_retry_stays_in_the_home_region(self):
        """The home region's replica refuses; another region has an idle one."""
        self.bind(route=("other-region",))
        self.remote.reply_from([REFUSAL])
        self.assertEqual(await self.status(model.RouteKind.IDEMPOTENT), 503)
        self.assertEqual(self.local.received, [])

    async def test_home_regions_of_route_and_team_are_both_enforced(self):
        """Without a common home region, the request is refused and not run."""
        self.bind(route=("other-region",), team=("region",))
        self.assertEqual(await self.status(), 503)
        self.assertEqual(self.received_requests(), [])

    async def test_a_common_home_region_serves(self):
        self.bind(route=("other-region", "region"), team=("other-region",))
        self.assertEqual(await self.status(), 200)
        self.assertEqual(self.local.received, [])

    async def test_a_data_centre_without_a_region_is_no_home_region(self):
        self.directory.put(self.entry(self.remote, data_centre="unknown"))
        self.bind(route=("other-region",))
        self.assertEqual(await self.status(), 503)
        self.assertEqual(self.received_requests(), [])


class DecodingTest(unittest.TestCase):
    def test_home_regions_of_routes_and_teams_are_decoded(self):
        decoded = configuration_wire.decode(
            b'{"version": 1, "routes": [{"name": "r", "host": "h", '
            b'"prefix": "/", "routeKind": "streaming", "timeoutMs": 1000, '
            b'"service": "s", "homeRegions": ["a"]}], "tenants": '
            b'[{"name": "t", "apiKeys": ["k"], "homeRegions": ["b"]}], '
            b'"services": [{"name": "s", "coldS": 3, "coldPerS": 18}]}'
        )
        self.assertEqual(decoded.find("h", "/").home_regions, {"a"})
        self.assertEqual(decoded.teams_by_key["k"].home_regions, {"b"})
        service = decoded.services["s"]
        self.assertEqual(service.cold_time.total_seconds(), 3.0)
        self.assertEqual(service.cold_per_s, 18.0)


if __name__ == "__main__":
    unittest.main()
