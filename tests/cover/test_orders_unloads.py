"""Versions are unloaded only after they have drained."""

import asyncio
import datetime
import itertools
import unittest

from nutmeghook.internal.dependencies import engine
from tests.cover import orders_fixture
from tests.cover import test_orders_planning as planning_case

SECOND = datetime.timedelta(seconds=1)
V1, V2 = planning_case.version(1), planning_case.version(2)


class UnloadTest(unittest.TestCase):
    """Withdrawn and surplus replicas are unloaded in time."""

    def test_a_withdrawn_version_drains_first(self):
        """A version is withdrawn while an engine still generates with it.

        Its caller must get the whole answer. Reports don't say which version is
        in use, so the version is unloaded once the engine was idle or all
        deadlines have passed.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(
                3, step_ms=1000.0, mean_answer_tokens=400
            )
            busy = fixture.engines["10.0.1.0:80"]
            chunks = []

            async def caller():
                async for chunk in busy.generate(
                    engine.Generation(
                        attempt_id="a1",
                        model_version=V1,
                        messages=(engine.Message(role="user", content="x"),),
                        max_tokens=40,
                    )
                ):
                    chunks.append(chunk)

            reading = asyncio.ensure_future(caller())
            config = planning_case.snapshot(v1="withdrawn", v2="serving:100")
            holder = fixture.holder(orders_fixture.FakeLease(3), config=config)
            await fixture.run(holder, 35)
            kinds = {record.kind for record in busy.orders}
            self.assertNotIn(engine.OrderKind.UNLOAD, kinds)
            await fixture.run(holder, 60)
            await reading
            self.assertEqual(sum(chunk.tokens for chunk in chunks), 40)
            self.assertEqual(await fixture.replicas(V1), [])

        orders_fixture.run(scenario)

    def test_stale_configuration_unloads_nothing(self):
        """An instance that is cut off still holds the lease.

        The withdrawal in its configuration may have been reverted since.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(3)
            config = planning_case.snapshot(v1="withdrawn", v2="serving:100")
            holder = fixture.holder(
                orders_fixture.FakeLease(3), config=config, age_s=60
            )
            await fixture.run(holder, 300)
            self.assertEqual(len(await fixture.replicas(V1)), 3)
            self.assertEqual(len(await fixture.replicas(V2)), 3)

        orders_fixture.run(scenario)

    def test_surplus_stays_for_a_while_then_goes_one_by_one(self):
        """A version's share went to zero, and it is still listed.

        Sessions may be pinned to it, so two replicas stay, and a third because
        so small a surplus is tolerated. The others go after five minutes, one
        after the other, so that a late order removes one too many at most.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture()
            await fixture.load_everywhere(V2)
            await fixture.clock.advance(20 * SECOND)
            config = planning_case.snapshot(v1="serving:100", v2="serving:0")
            holder = fixture.holder(orders_fixture.FakeLease(2), config=config)
            await fixture.run(holder, 300)
            self.assertEqual(fixture.orders(engine.OrderKind.UNLOAD), [])
            await fixture.run(holder, 60)
            unloads = fixture.orders(engine.OrderKind.UNLOAD)
            moments = sorted(record.received_ms for record in unloads)
            self.assertEqual(len(unloads), 3)
            gaps = [b - a for a, b in itertools.pairwise(moments)]
            self.assertGreaterEqual(min(gaps), 1000)
            self.assertEqual(len(await fixture.replicas(V2)), 3)

        orders_fixture.run(scenario)
