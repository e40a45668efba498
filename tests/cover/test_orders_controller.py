"""Loads are ordered despite failures of holders, engines and stores."""

import asyncio
import datetime
import itertools
import unittest

import msgspec

from nutmeghook.internal.orders import controller as controller_module
from nutmeghook.standins import memory_table
from tests.cover import orders_fixture
from tests.cover import test_orders_planning as planning_case

SECOND = datetime.timedelta(seconds=1)
V1, V2 = planning_case.version(1), planning_case.version(2)


class LoadTest(unittest.TestCase):
    """A version in roll-out gets its replicas despite failures."""

    def test_missing_replicas_are_loaded(self):
        async def scenario():
            fixture = orders_fixture.OrdersFixture(secret="s")
            await fixture.run(
                fixture.holder(orders_fixture.FakeLease(7), secret="s"), 60
            )
            self.assertEqual(len(await fixture.replicas(V2)), 2)
            self.assertEqual(fixture.weights.asked, 2)
            self.assertEqual({r.fencing_token for r in fixture.orders()}, {7})

        orders_fixture.run(scenario)

    def test_answer_or_request_of_an_order_lost(self):
        """An order's answer is lost, or the order itself.

        The holder can't tell which and sends the order again under its id.
        No engine may load twice, and no second grant may be requested.
        """

        async def scenario(fault):
            fixture = orders_fixture.OrdersFixture(2)
            for one in fixture.engines.values():
                setattr(one.faults, fault, 1)
            await fixture.run(fixture.holder(orders_fixture.FakeLease(3)), 60)
            self.assertEqual(len(await fixture.replicas(V2)), 2)
            self.assertEqual(fixture.weights.asked, 2)
            ids = {record.order_id for record in fixture.orders()}
            self.assertEqual(len(ids), 2)

        for fault in ("lose_next_answers", "lose_next_requests"):
            with self.subTest(fault):
                asyncio.run(scenario(fault))

    def test_holder_killed_while_engines_load(self):
        """A holder orders two loads, which take ten seconds, and dies.

        Reports don't show loads in progress, so its successor can't know of
        them. It must not cause more replicas than desired.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(download_bytes_per_ms=0.2)
            table = memory_table.MemoryTable(clock=fixture.clock)
            await fixture.run(fixture.instance(table, 1), 20)
            self.assertGreater(len(fixture.orders()), 0)
            self.assertEqual(await fixture.replicas(V2), [])
            await fixture.run(fixture.instance(table, 2), 120)
            tokens = {record.fencing_token for record in fixture.orders()}
            self.assertEqual(len(tokens), 2)
            self.assertEqual(len(await fixture.replicas(V2)), 2)
            loaded_on = {
                address
                for address, one in fixture.engines.items()
                if any(r.target == str(V2) for r in one.orders)
            }
            self.assertEqual(len(loaded_on), 2)

        orders_fixture.run(scenario)

    def test_engines_die_or_hang_while_they_load(self):
        """All engines that were ordered to load die, or stop answering.

        Their orders stay open and use up the limit of concurrent loads. The
        version must get its replicas on other engines before the load timeout
        of a quarter of an hour.
        """

        async def scenario(**fault):
            fixture = orders_fixture.OrdersFixture(
                12, download_bytes_per_ms=0.2
            )
            config = planning_case.snapshot(v1="serving:95", v2="rolling_out:5")
            holder = fixture.holder(orders_fixture.FakeLease(3), config=config)
            await fixture.run(holder, 40)
            victims = [one for one in fixture.engines.values() if one.orders]
            self.assertEqual(
                len(victims), controller_module.MAX_CONCURRENT_LOADS
            )
            for one, (name, value) in itertools.product(victims, fault.items()):
                setattr(one.faults, name, value)
            await fixture.run(holder, 200)
            self.assertEqual(len(await fixture.replicas(V2)), 3)

        asyncio.run(scenario(down=True))
        asyncio.run(scenario(delay=3600 * SECOND))

    def test_engines_that_refuse_are_avoided(self):
        """Two engines expect another secret and answer FORBIDDEN.

        The version must get its replicas elsewhere, and the two must not be
        sent orders again in each pass.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture()
            plan_first = fixture.holder(orders_fixture.FakeLease(3))
            await fixture.run(plan_first, 30)
            first = set(await fixture.replicas(V2))
            fixture = orders_fixture.OrdersFixture()
            for address in first:
                fixture.engines[address].settings.secret = "other"
            await fixture.run(fixture.holder(orders_fixture.FakeLease(3)), 90)
            replicas = set(await fixture.replicas(V2))
            self.assertEqual(len(replicas), 2)
            self.assertFalse(replicas & first)
            for address in first:
                self.assertEqual(len(fixture.engines[address].orders), 1)

        orders_fixture.run(scenario)

    def test_weight_store_out_then_limiting(self):
        """The weight store is out for a minute, then grants one in 10 s.

        Frequent requests would use up or prolong its rate limit. Loads must
        come at the rate that it allows, with few more requests than grants.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(8, grants_per_s=0.1)
            fixture.weights.faults.down = True
            config = planning_case.snapshot(
                v1="serving:50", v2="rolling_out:50"
            )
            holder = fixture.holder(orders_fixture.FakeLease(3), config=config)
            await fixture.run(holder, 70)
            self.assertLessEqual(fixture.weights.asked, 8)
            fixture.weights.faults.down = False
            asked_before = fixture.weights.asked
            await fixture.run(holder, 220)
            self.assertEqual(len(await fixture.replicas(V2)), 8)
            self.assertLessEqual(fixture.weights.asked - asked_before, 20)

        orders_fixture.run(scenario)

    def test_an_accepted_roll_out_does_not_wait_for_the_next_pass(self):
        """A roll-out is accepted just after a pass over a large fleet.

        The next pass, which reads all reports again, comes after 30 s because
        of its traffic. The loads must not wait for it.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(60)
            before = planning_case.snapshot(v1="serving:100")
            view = orders_fixture.ChangingView(snapshot=before)
            holder = fixture.holder(orders_fixture.FakeLease(1), view=view)
            task = asyncio.ensure_future(holder.run())
            await fixture.clock.advance(5 * SECOND)
            self.assertEqual(fixture.weights.asked, 0)
            view.accept(
                msgspec.structs.replace(orders_fixture.ROLL_OUT, revision=2)
            )
            await fixture.clock.advance(5 * SECOND)
            task.cancel()
            self.assertEqual(fixture.weights.asked, 4)

        orders_fixture.run(scenario)

    def test_few_loads_at_once_one_grant_after_the_other(self):
        """Loads take minutes, and the weight store would grant all at once.

        An engine serves more slowly while it loads, so only few may load at a
        time.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(
                8, grants_per_s=100.0, download_bytes_per_ms=0.1
            )
            config = planning_case.snapshot(
                v1="serving:50", v2="rolling_out:50"
            )
            holder = fixture.holder(orders_fixture.FakeLease(3), config=config)
            asked = []
            for _ in range(30):
                await fixture.run(holder, 2)
                asked.append(fixture.weights.asked)
            self.assertEqual(asked[-1], controller_module.MAX_CONCURRENT_LOADS)
            steps = [b - a for a, b in itertools.pairwise(asked)]
            # At most one grant a second, and two seconds between samples.
            self.assertLessEqual(max(steps), 2)

        orders_fixture.run(scenario)
