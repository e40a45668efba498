"""Orders of two instances that both take the lease for their own."""

import asyncio
import datetime
import unittest

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.orders import controller as controller_module
from tests.cover import orders_fixture
from tests.cover import test_orders_planning as planning_case

SECOND = datetime.timedelta(seconds=1)
V1, V2 = planning_case.version(1), planning_case.version(2)


class HolderTest(unittest.TestCase):
    """Two instances act as holder of the lease."""

    def test_paused_holder_meets_engines_that_check_the_token(self):
        """A holder is paused, another takes over, the first resumes.

        It still takes its lease for valid. The first engine that it sends an
        order answers FENCED; it must not send orders to the others.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture()
            await fixture.run(fixture.holder(orders_fixture.FakeLease(4)), 60)
            for one in fixture.engines.values():
                await one.order(
                    engine.Order(
                        order_id="newer",
                        kind=engine.OrderKind.SET_ROLE,
                        target="any",
                        fencing_token=4,
                    )
                )
            other = planning_case.snapshot(v2="serving:100")
            late = fixture.holder(orders_fixture.FakeLease(3), config=other)
            await fixture.run(late, 60)
            fenced = [
                r
                for r in fixture.orders()
                if r.state is engine.OrderState.FENCED
            ]
            self.assertEqual(len(fenced), 1)
            self.assertEqual(len(await fixture.replicas(V2)), 2)

        orders_fixture.run(scenario)

    def test_late_order_of_a_paused_holder_on_engines_that_ignore_tokens(self):
        """The order of a paused holder is sent minutes late.

        The engine ignores tokens and unloads a replica that is in use. As at
        most one such order is open, another replica remains, and the present
        holder reads the loss and loads again.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(honours_fencing=False)
            holder = fixture.holder(orders_fixture.FakeLease(2))
            await fixture.run(holder, 60)
            address = (await fixture.replicas(V2))[0]
            await fixture.engines[address].order(
                engine.Order(
                    order_id="late",
                    kind=engine.OrderKind.UNLOAD,
                    target=str(V2),
                    fencing_token=1,
                )
            )
            await fixture.clock.advance(1 * SECOND)
            self.assertEqual(len(await fixture.replicas(V2)), 1)
            await fixture.run(holder, 60)
            self.assertEqual(len(await fixture.replicas(V2)), 2)

        orders_fixture.run(scenario)

    def test_lease_lapsing_within_a_pass_stops_the_orders(self):
        """The lease expires while the holder waits for the weight store."""

        async def scenario():
            fixture = orders_fixture.OrdersFixture()
            held = orders_fixture.FakeLease(3)
            holder = fixture.holder(held)
            fixture.weights.faults.delay = 2 * SECOND
            task = asyncio.ensure_future(holder.run())
            await fixture.clock.advance(11 * SECOND)
            self.assertEqual(fixture.weights.asked, 1)
            held.token = None
            await fixture.clock.advance(60 * SECOND)
            task.cancel()
            self.assertEqual(fixture.orders(), [])

        orders_fixture.run(scenario)

    def test_a_new_holder_first_waits_unless_there_was_none_before(self):
        async def scenario():
            fixture = orders_fixture.OrdersFixture()
            wait_s = controller_module.TAKEOVER_DELAY / SECOND
            await fixture.run(
                fixture.holder(orders_fixture.FakeLease(3)), wait_s - 1
            )
            self.assertEqual(fixture.weights.asked, 0)
            first = orders_fixture.FakeLease(controller_module.FIRST_TOKEN)
            await fixture.run(fixture.holder(first), 2)
            self.assertGreater(fixture.weights.asked, 0)

        orders_fixture.run(scenario)
