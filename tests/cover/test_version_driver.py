"""Roll-outs on a store that loses answers, with instances that race."""

import datetime
import random
import unittest

import aiohttp
import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import revisions
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
        """Returns an instance that knows the order, and its driver."""
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
        """Reads, then advances the order by one step."""
        await driver._follower.step()
        await driver._step(version_fixture.ORDER)

    async def find_bad(self, instance, driver) -> None:
        """Lets the order's version fail until it is reverted."""
        instance.answer("v1", times=60)
        for number in (1, 2, 3):
            instance.answer("v2", number=number, failed=True, times=8)
        await self.clock.advance(datetime.timedelta(seconds=1))
        await self.step(driver)
        self.assertEqual(self.operator_state(), "reverted")

    async def to_the_end(self, *drivers) -> None:
        """Moves through the final phase, with a step at its start."""
        within = datetime.timedelta(seconds=version_fixture.WITHIN_S)
        # The stand-in's steady time is the machine's, which hardly advances.
        await self.clock.advance(0.93 * within)
        for driver in drivers:
            await self.step(driver)
        await self.clock.advance(0.07 * within)

    async def test_no_completion_right_after_a_store_outage(self):
        """A store outage covers the final phase and ends with the order's time.
        Instances have not read each other's evidence, and one has just started,
        so a version that fails half of its requests could be completed. It has
        to serve for a while with the store reachable, and is found bad.
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

    async def test_a_version_that_nobody_reaches_is_not_completed(self):
        """No instance reaches the new version's replicas, so that its requests
        get no answer. No answer speaks against it either, and a bad version
        would be completed.
        """
        instance, driver = self.driver("one")
        instance.is_asked = True
        await self.step(driver)
        for _ in range(20):
            await self.clock.advance(
                datetime.timedelta(seconds=version_fixture.WITHIN_S / 10)
            )
            await self.step(driver)
        self.assertEqual(self.operator_state(), "in_progress")
        instance.is_asked = False
        for _ in range(4):
            await self.clock.advance(datetime.timedelta(seconds=1))
            await self.step(driver)
        self.assertEqual(self.operator_state(), "completed")

    async def test_a_verdict_is_written_again_after_a_restore(self):
        """The operator read that the order was in progress for good: no
        instance advances an order on which it knows a verdict.
        """
        (instance, driver), (other, second) = (
            self.driver(name) for name in ("one", "two")
        )
        await self.step(driver)
        copy = self.store.copy()
        await self.find_bad(instance, driver)
        await self.step(second)
        self.store.restore(copy)
        self.assertEqual(self.operator_state(), "in_progress")
        for each in (driver, second):
            await each.write_again()
        self.assertEqual(self.operator_state(), "reverted")
        verdicts = {
            i.rollouts.plan_of(version_fixture.ORDER).verdict
            for i in (instance, other)
        }
        self.assertEqual(verdicts, {plan_module.Verdict.BAD})

    async def test_an_instance_that_starts_learns_which_versions_were_bad(self):
        """It knows only the newest plan, in which the bad version was missing,
        and sent requests to its replicas.
        """
        instance, driver = self.driver("one")
        await self.step(driver)
        await self.find_bad(instance, driver)
        order = version_fixture.NEXT_ORDER
        instance.orders.place(order)
        await driver._step(order)
        newcomer, starting = self.driver("newcomer")
        newcomer.orders.place(order)
        await starting._follower.step()
        self.assertEqual(newcomer.rollouts.withdrawn_versions(order), ("v2",))

    async def test_an_instance_that_starts_learns_which_version_is_the_old_one(
        self,
    ):
        """It knows only the newest plan, and sent requests to replicas that had
        stopped when the order before was completed.
        """
        instance, driver = self.driver("one")
        await self.step(driver)
        await self.to_the_end(driver)
        await self.step(driver)
        self.assertEqual(self.operator_state(), "completed")
        order = version_fixture.NEXT_ORDER
        instance.orders.place(order)
        await driver._step(order)
        newcomer, starting = self.driver("newcomer")
        newcomer.orders.place(order)
        await starting._follower.step()
        self.assertEqual(newcomer.rollouts.old_version(order), "v2")

    async def test_a_plan_that_was_lost_goes_before_one_begun_since(self):
        """An instance that started after the restore found no plan and began
        one, with the whole time of the order and another canary.
        """
        copy = self.store.copy()
        instance, driver = self.driver("one")
        await self.step(driver)
        plan = instance.rollouts.plan_of(version_fixture.ORDER)
        self.store.restore(copy)
        newcomer, starting = self.driver("newcomer")
        newcomer.orders.withdraw(version_fixture.SERVICE)
        newcomer.orders.place(
            msgspec.structs.replace(
                version_fixture.ORDER,
                order_id=revisions.combine(1, version_fixture.ORDER.order_id),
            )
        )
        await starting._follower.step()
        await starting._step(newcomer.orders.of_service(plan.service))
        self.assertNotEqual(self.plan().order_id, plan.order_id)
        await driver.write_again()
        self.assertEqual(self.plan(), plan)
        await starting._follower.step()
        (order,) = newcomer.orders.all()
        self.assertEqual(newcomer.rollouts.plan_of(order), plan)

    async def test_few_answers_before_an_outage_prolong_the_canary(
        self,
    ):
        """The store is out for half of an order and returns at its end.
        Nine answers of the new version are known, none bad: too few to
        complete it. The canary lasts until enough are known.
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
        At the end of the canary four of sixteen answers are failures, and none
        of the old version's. The sequential test needs six for a proof, so the
        version would be completed without a test at that time.
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

    async def test_doubt_delays_completion_until_more_answers(self):
        """Three of fourteen answers failed: too few to revert a version,
        too many to complete it. It stays at the full share, and is completed
        once most answers are good.
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
        # The stand-in's steady time does not advance, and each step relies on
        # it a little more.
        await self.clock.advance(datetime.timedelta(seconds=1))
        await self.step(driver)
        self.assertEqual(self.operator_state(), "completed")

    async def test_one_failing_replica_does_not_delay_completion(self):
        instance, driver = self.driver("only")
        await self.step(driver)
        instance.answer("v1", times=60)
        instance.answer("v2", number=1, failed=True, times=3)
        instance.answer("v2", number=2, times=11)
        await self.to_the_end(driver)
        await self.step(driver)
        self.assertEqual(self.operator_state(), "completed")

    async def test_the_first_instance_starts_the_plan_for_all(self):
        """Two instances learn of an order, the second 3 s later.
        Both count from the start that the first has written.
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
        """Each instance sees too few bad answers for a proof.
        Without pooling, a large fleet would send hundreds of requests to a bad
        version before one instance had a proof.
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
        That one resumes after the order's time and would call the version
        good; its write fails, and it reads the verdict instead.
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
        """The store applies a verdict's write, but its answer is lost.
        The next step reads the verdict instead of writing another.
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
        """A verdict's write is applied seconds after it was sent, unanswered.
        Meanwhile another instance has written the opposite, so the late
        write's condition no longer holds.
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
        self.store.apply_late_writes()
        self.assertEqual(self.operator_state(), "reverted")

    async def test_weak_evidence_of_each_instance_adds_up_in_final_reports(
        self,
    ):
        """Every answer of a version is slower; each instance has two.
        That is too little for a write of its own; the final reports before the
        final phase prove it together.
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
