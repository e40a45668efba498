"""Stand-ins over loopback connections, for the tests of the adapters."""

import datetime
import unittest

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.standins import engine_settings
from nutmeghook.standins import fleet

SMALL_1 = engine.ModelVersion(model="small", version="1")
SMALL_2 = engine.ModelVersion(model="small", version="2")
GENERATION = engine.Generation(
    attempt_id="req-1/1",
    model_version=SMALL_1,
    messages=(engine.Message(role="user", content="marker=w1 hello"),),
    max_tokens=100,
)
SPEC = fleet.FleetSpec(
    table=fleet.StoreSpec(),
    objects=fleet.StoreSpec(),
    instances=fleet.InstancesSpec(lag_ms=0),
    ratings=fleet.RatingsSpec(),
    weights=fleet.WeightsSpec(sizes_bytes={"small@2": 1}, grants_per_s=1),
    engines=(
        fleet.EngineSpec(
            name="engine",
            loaded=("small@1",),
            settings=engine_settings.EngineSettings(
                step_ms=0.5, report_lag_ms=0, mean_answer_tokens=40
            ),
        ),
    ),
    plain_services=(fleet.PlainSpec(name="registry", service="registry"),),
)


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts the stand-ins anew for each test."""

    async def asyncSetUp(self):
        served = fleet.Fleet(clock=clock.SystemClock(), spec=SPEC)
        self.addresses = await served.start()
        self.addAsyncCleanup(served.stop)
        self.session = http_exchange.open_session()
        self.addAsyncCleanup(self.session.close)

    def exchange(
        self,
        name: str,
        *,
        answer_timeout: datetime.timedelta = http_exchange.ANSWER_TIMEOUT,
    ) -> http_exchange.HttpExchange:
        """Returns an HTTP exchange with a stand-in."""
        return http_exchange.HttpExchange(
            session=self.session,
            address=self.addresses.named(name).address,
            connect_timeout=answer_timeout / 2,
            answer_timeout=answer_timeout,
        )

    async def control(self, name: str, what: str, **body: object) -> bytes:
        """Calls a stand-in's control interface."""
        url = f"{self.addresses.named(name).control}/{what}"
        async with self.session.post(url, json=body) as response:
            answer = await response.read()
            self.assertLess(response.status, 300, answer)
            return answer

    async def log(self, name: str, what: str = "runs") -> list[dict]:
        """Reads one of a stand-in's logs."""
        url = f"{self.addresses.named(name).control}/{what}"
        async with self.session.get(url) as response:
            return await response.json()
