"""Roll-outs on a store that loses answers, with instances that race."""

import datetime
import random
import unittest

import aiohttp
import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.version_plans import baseline as baseline_module
from nutmeghook.internal.version_plans import driver as driver_module
from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import progress as progress_module
from nutmeghook.platform import rollout_rows
from nutmeghook.platform import store
from nutmeghook.standins import users_store
from tests import version_fixture


class DriverTest(unittest.IsolatedAsyncioTestCase):
    """Drivers of several instances on one store."""

    async def asyncSetUp(self):
        self.store = users_store.StandInStore()
        await self.store.start()
        self.session = aiohttp.ClientSession()
        self.clock = clock_module.FakeClock()

    async def asyncTearDown(self):
        await self.session.close()
        await self.store.stop()

    def driver(self, name: str) -> tuple[version_fixture.Instance, object]:
        """Returns an instance that has heard the order, and its driver."""
        instance = version_fixture.Instance(clock=self.clock)
        instance.orders.place(version_fixture.ORDER)
        client = store.StoreClient(
            session=self.session, address=self.store.address
        )
        plans = follower.TableFollower(
            table=store.PlatformTable(client=client, name=driver_module.TABLE),
            listener=driver_module.PlanRowReader(
                rollouts=instance.rollouts,
                orders=instance.orders,
                instance_id=name,
            ),
            store_monitor=instance.store_monitor,
            clock=self.clock,
            random_source=random.Random(1),
            wait=datetime.timedelta(),
        )
        return instance, driver_module.RollOutDriver(
            table=store.StoreRows(client=client),
            plans=plans,
            read_plans=plans.step,
            rollouts=instance.rollouts,
            orders=instance.orders,
            status=rollout_rows.PlatformStatusRows(),
            fleet_rate_per_s=lambda service: 0.0,
            store_monitor=instance.store_monitor,
            clock=self.clock,
            random_source=random.Random(1),
            instance_id=name,
        )

    def operator_state(self) -> str:
        """Returns the state that the operator reads."""
        value = self.store.value("status", f"rollout/{version_fixture.SERVICE}")
        return msgspec.json.decode(value)["state"]

    def plan(self) -> plan_module.PlanRow:
        """Returns the plan's row."""
        value = self.store.value("rollouts", f"plan/{version_fixture.SERVICE}")
        return msgspec.json.decode(value, type=plan_module.PlanRow)

    async def step(self, driver) -> None:
        """Reads, then moves the order on once."""
        await driver._follower.step()
        await driver._step(version_fixture.ORDER)

    async def to_the_end(self, *drivers) -> None:
        """Moves through the last stretch, with a step at its beginning."""
        within = datetime.timedelta(seconds=version_fixture.WITHIN_S)
        # The stand-in's steady time is the machine's, which hardly moves.
        await self.clock.advance(0.93 * within)
        for driver in drivers:
            await self.step(driver)
        await self.clock.advance(0.07 * within)

    async def test_what_the_store_s_absence_hid_is_not_completed(self):
        """The store is away while everything should move to the new version.
        It comes back at the order's end. No instance has heard the others'
        evidence since, and some have just started; a version that failed half
        of its requests was completed so (a soak's seed 8). It has to serve
        for a while in touch with the store first, and is found.
        """
        drivers = [self.driver(f"instance-{n}") for n in range(3)]
        for _, driver in drivers:
            await self.step(driver)
        await self.clock.advance(
            datetime.timedelta(seconds=version_fixture.WITHIN_S)
        )
        newcomer, starting = self.driver("newcomer")
        for _, driver in [*drivers, (newcomer, starting)]:
            await self.step(driver)
        self.assertEqual(self.operator_state(), "in_progress")
        for position, (instance, _) in enumerate(drivers):
            instance.answer("v1", times=60)
            instance.answer("v2", number=1 + position, failed=True, times=2)
        for _ in range(3):
            await self.clock.advance(datetime.timedelta(seconds=0.7))
            for _, driver in drivers:
                await self.step(driver)
        self.assertEqual(self.operator_state(), "reverted")

    async def test_a_version_seen_little_before_an_absence_is_not_completed(
        self,
    ):
        """The store is away for half of an order, and back at its end.
        Nine answers of the new version are known, none of them bad. It is
        not completed on them; the trial goes on, and once enough are known
        it is.
        """
        instance, driver = self.driver("only")
        await self.step(driver)
        for _ in range(2):
            instance.rollouts.progress.note_store_unreachable(
                [version_fixture.ORDER.order_id]
            )
            await self.clock.advance(progress_module.LONG_OUTAGE)
        instance.answer("v2", times=9)
        await self.to_the_end(driver)
        for _ in range(4):
            await self.clock.advance(datetime.timedelta(seconds=0.7))
            await self.step(driver)
        self.assertEqual(self.operator_state(), "in_progress")
        self.assertFalse(
            instance.rollouts.progress.is_canary_over(
                instance.rollouts.plan_of(version_fixture.ORDER)
            )
        )
        instance.answer("v2", times=progress_module.ENOUGH_ANSWERS_AFTER_OUTAGE)
        for _ in range(4):
            await self.clock.advance(datetime.timedelta(seconds=0.7))
            await self.step(driver)
        self.assertEqual(self.operator_state(), "completed")

    async def test_four_failures_in_sixteen_answers_are_not_completed(self):
        """Few requests reach a service while instances lose the store.
        At the end of the trial sixteen answers of the new version are known,
        four of them failures, where the old one has none. The proof that may
        be looked at after each answer takes six; the version was completed.
        """
        instance, driver = self.driver("only")
        await self.step(driver)
        instance.answer("v1", times=60)
        for number in (1, 2):
            instance.answer("v2", number=number, times=6)
            instance.answer("v2", number=number, failed=True, times=2)
        self.assertIsNone(instance.rollouts.judge(version_fixture.ORDER))
        await self.to_the_end(driver)
        await self.step(driver)
        self.assertEqual(self.operator_state(), "reverted")

    async def test_doubt_holds_completion_back_until_answers_settle_it(self):
        """Three of fourteen answers failed, no ground to revert a version yet.
        They are none to complete it either. It goes on at the full share, and
        once most answers are good after all it is completed.
        """
        instance, driver = self.driver("only")
        await self.step(driver)
        instance.answer("v1", times=60)
        instance.answer("v2", times=11)
        for number in (1, 2, 3):
            instance.answer("v2", number=number, failed=True)
        await self.to_the_end(driver)
        await self.step(driver)
        self.assertEqual(self.operator_state(), "in_progress")
        plan = instance.rollouts.plan_of(version_fixture.ORDER)
        self.assertTrue(instance.rollouts.progress.is_canary_over(plan))
        instance.answer("v2", times=40)
        # The stand-in's steady time stands still, and each step believes it
        # a little more.
        await self.clock.advance(datetime.timedelta(seconds=1))
        await self.step(driver)
        self.assertEqual(self.operator_state(), "completed")

    async def test_one_failing_replica_holds_no_completion_back(self):
        instance, driver = self.driver("only")
        await self.step(driver)
        instance.answer("v1", times=60)
        instance.answer("v2", number=1, failed=True, times=3)
        instance.answer("v2", number=2, times=11)
        await self.to_the_end(driver)
        await self.step(driver)
        self.assertEqual(self.operator_state(), "completed")

    async def test_the_first_instance_starts_the_plan_for_all(self):
        """Two instances hear of an order; the second a while later.
        There is one start, the first's, and both count from it.
        """
        _, first = self.driver("first")
        late_instance, late = self.driver("late")
        await self.step(first)
        started_ms = self.plan().started_ms
        await self.clock.advance(datetime.timedelta(seconds=3))
        await self.step(late)
        self.assertEqual(self.plan().started_ms, started_ms)
        self.assertIsNotNone(
            late_instance.rollouts.plan_of(version_fixture.ORDER)
        )
        self.assertEqual(self.operator_state(), "in_progress")

    async def test_bad_answers_of_several_instances_add_up(self):
        """Each instance sees too few bad answers to prove anything.
        Together they prove it; without pooling a large fleet would send
        hundreds of requests to a bad version before one instance knew.
        """
        drivers = [self.driver(f"instance-{n}") for n in range(4)]
        for _, driver in drivers:
            await self.step(driver)
        for position, (instance, _) in enumerate(drivers):
            instance.answer("v1", times=60)
            instance.answer("v2", number=1 + position % 3, failed=True, times=1)
            self.assertIsNone(instance.rollouts.judge(version_fixture.ORDER))
        await self.clock.advance(datetime.timedelta(seconds=1))
        for _ in range(2):
            for _, driver in drivers:
                await self.step(driver)
        self.assertEqual(self.operator_state(), "reverted")
        self.assertEqual(self.plan().verdict, plan_module.Verdict.BAD)

    async def test_a_frozen_instance_does_not_undo_a_verdict(self):
        """One instance proves the version bad while another is frozen.
        It wakes after the order's time and would call the version good; its
        write fails, and it reads the verdict instead.
        """
        prover, proving = self.driver("prover")
        frozen_instance, frozen = self.driver("frozen")
        await self.step(proving)
        await self.step(frozen)
        await self.to_the_end(frozen)
        for number in (1, 2, 3, 1, 2, 3, 1, 2):
            prover.answer("v2", number=number, failed=True)
        await self.step(proving)
        plan = frozen_instance.rollouts.plan_of(version_fixture.ORDER)
        self.assertTrue(frozen_instance.rollouts.progress.may_complete(plan))
        await frozen._step(version_fixture.ORDER)
        self.assertEqual(self.operator_state(), "reverted")
        known = frozen_instance.rollouts.plan_of(version_fixture.ORDER)
        self.assertEqual(known.verdict, plan_module.Verdict.BAD)

    async def test_a_lost_answer_leaves_one_verdict(self):
        """The store does the write and its answer is lost.
        The next step reads the verdict, and the operator is told once.
        """
        _, driver = self.driver("only")
        await self.step(driver)
        await self.to_the_end(driver)
        self.store.fault = users_store.StoreFault.LOSING_ANSWERS
        with self.assertRaises(failures.OutcomeUnknownError):
            await driver._step(version_fixture.ORDER)
        self.store.fault = users_store.StoreFault.NONE
        await self.step(driver)
        self.assertEqual(self.operator_state(), "completed")
        self.assertEqual(self.plan().verdict, plan_module.Verdict.GOOD)

    async def test_a_late_write_does_not_beat_a_newer_verdict(self):
        """A verdict's write is done seconds after it was sent, unanswered.
        Meanwhile another instance has written the opposite; the late one's
        condition no longer holds.
        """
        _, late = self.driver("late")
        prover, proving = self.driver("prover")
        await self.step(late)
        await self.step(proving)
        await self.to_the_end(late, proving)
        self.store.fault = users_store.StoreFault.LATE_WRITES
        with self.assertRaises(failures.OutcomeUnknownError):
            await late._step(version_fixture.ORDER)
        self.store.fault = users_store.StoreFault.NONE
        for number in (1, 2, 3, 1, 2, 3, 1, 2):
            prover.answer("v2", number=number, failed=True)
        await self.step(proving)
        self.store.do_late_writes()
        self.assertEqual(self.operator_state(), "reverted")

    async def test_little_that_each_instance_saw_adds_up_before_the_end(self):
        """A version goes on slower in every answer, and each instance has seen
        two. Neither is worth a write by itself; told before everything moves,
        they prove it together.
        """
        drivers = [self.driver(f"instance-{n}") for n in range(4)]
        for _, driver in drivers:
            await self.step(driver)
        for instance, _ in drivers:
            for _ in range(10):
                for pace_s in (0.015, 0.03):
                    instance.rollouts.note_pace(
                        version_fixture.entry(1, "v1"),
                        measure=baseline_module.LatencyMeasure.EVENT_INTERVAL,
                        kind="kind",
                        pace_s=pace_s,
                    )
            for _ in range(2):
                instance.rollouts.note_pace(
                    version_fixture.entry(1, "v2"),
                    measure=baseline_module.LatencyMeasure.EVENT_INTERVAL,
                    kind="kind",
                    pace_s=0.035,
                )
            self.assertIsNone(instance.rollouts.judge(version_fixture.ORDER))
        await self.clock.advance(
            datetime.timedelta(seconds=0.83 * version_fixture.WITHIN_S)
        )
        for _ in range(2):
            for _, driver in drivers:
                await self.step(driver)
        self.assertEqual(self.operator_state(), "reverted")

    async def test_a_good_version_costs_no_evidence_writes(self):
        instance, driver = self.driver("only")
        await self.step(driver)
        instance.answer("v2", times=50)
        writes = self.store.calls.count("/v1/rows-tx")
        await self.step(driver)
        self.assertEqual(self.store.calls.count("/v1/rows-tx"), writes)


if __name__ == "__main__":
    unittest.main()
