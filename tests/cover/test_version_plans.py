"""Which version a session gets during a roll-out."""

import datetime
import unittest

import msgspec

from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import schedule as schedule_module
from tests import version_fixture


class SharesTest(version_fixture.PlanCase):
    async def test_the_share_stays_small_until_the_final_phase(self):
        self.instance.begin()
        for part in (0.0, 0.45, 0.8):
            await self.advance(part)
            self.assertLess(self.new_share(f"at {part}"), 0.11)
        await self.advance(0.9)
        self.assertEqual(self.new_share("after"), 1.0)

    async def test_a_version_never_proven_bad_stays_within_the_bound(self):
        """A version is bad in a way that is not detected in time.
        It still gets no more than the bound's share of all requests from the
        order to its end, whatever the order's time.
        """
        for within_s in (16.0, 20.0, 24.0, 60.0, 240.0):
            for per_s in (1.0, 3.0, 10.0, 50.0, 100.0, 1000.0):
                for true_per_s in (0.5 * per_s, per_s):
                    self.stays_within_the_bound(within_s, per_s, true_per_s)
        for within_s in (20.0, 24.0, 60.0, 240.0):
            for per_s in (3.0, 10.0, 50.0, 1000.0):
                self.stays_within_the_bound(within_s, per_s, 2.0 * per_s)

    async def test_a_version_stays_within_a_narrow_bound(self):
        """A bad version may get less than a tenth of a large fleet's requests.
        A final phase of a tenth of the time would exceed that alone.
        """
        for within_s in (24.0, 60.0, 240.0):
            for per_s in (10.0, 25.0, 100.0, 356.0, 1000.0):
                self.stays_within_the_bound(
                    within_s, per_s, per_s, largest_bad_share=0.0975
                )

    async def test_a_large_fleet_s_canary_finds_a_bad_version_in_seconds(self):
        """With 1.3 of 356 requests a second in the canary, a version that fails
        a third of its requests is unproven when a store outage begins.
        """
        schedule = schedule_module.Schedule(
            largest_bad_share=0.0975, bad_allowance=30.0
        )
        self.assertGreaterEqual(356.0 * schedule.canary_share(24.0, 356.0), 5.0)

    def stays_within_the_bound(
        self,
        within_s: float,
        per_s: float,
        true_per_s: float,
        largest_bad_share: float = 0.15,
    ) -> None:
        """Asserts the bound for an estimated and a true request rate."""
        schedule = schedule_module.Schedule(
            largest_bad_share=largest_bad_share, bad_allowance=30.0
        )
        steps = 1000
        canary = schedule.canary_share(within_s, per_s)
        shares = [
            1.0
            if schedule.is_canary_over_at(step / steps, within_s)
            else canary
            for step in range(steps)
        ]
        requests = true_per_s * within_s
        with self.subTest(within_s=within_s, per_s=per_s, true=true_per_s):
            self.assertLessEqual(
                sum(shares) / steps * requests,
                largest_bad_share * requests + 30.0,
            )

    async def test_a_slow_service_has_its_proof_within_a_third_of_the_time(
        self,
    ):
        """Ten requests a second reach a service, in an order of 24 s.
        By the bound's share alone nine answers are known after 15 s; a store
        outage may begin at 18 s. With the allowance, eight answers, which prove
        bad a version that fails half of them, come within 8.5 s.
        """
        schedule = schedule_module.Schedule(
            largest_bad_share=0.15, bad_allowance=30.0
        )
        share = schedule.canary_share(24.0, 10.0)
        starts_s = schedule_module.SESSION_CANARY_DELAY.total_seconds()
        self.assertGreaterEqual((8.5 - starts_s) * 10.0 * share, 8.0)

    async def test_no_final_phase_during_a_store_outage(self):
        """The final phase would begin during a store outage.
        Nobody could complete the roll-out or read the others' evidence.
        """
        self.instance.begin()
        await self.advance(0.85)
        self.instance.store_monitor.note_failure(ValueError("no answer"))
        await self.advance(0.95)
        self.assertLess(self.new_share("away"), 0.11)

    async def test_no_final_phase_while_readers_report_no_answers(self):
        """The store stops answering before the final phase. This instance makes
        no calls that could fail; the readers' last report of an answer is
        three seconds old.
        """
        self.instance.begin()
        await self.advance(0.8)
        await self.advance_in_silence(0.95)
        self.assertLess(self.new_share("silent"), 0.11)

    async def test_an_earlier_order_s_answers_are_not_enough_for_the_next(
        self,
    ):
        """Twenty answers of an order's version are known when the next comes.
        After a long store outage no answer of the new order's version is
        known; the earlier ones must not end its canary.
        """
        self.instance.begin()
        self.instance.answer("v2", times=20)
        self.instance.orders.place(
            msgspec.structs.replace(version_fixture.ORDER, order_id=6)
        )
        plan = plan_module.PlanRow(
            order_id=6,
            service=version_fixture.SERVICE,
            version="v2",
            started_ms=0.0,
            within_s=version_fixture.WITHIN_S,
        )
        self.instance.rollouts.apply_plan(plan)
        progress = self.instance.rollouts.progress
        progress.note_store_unreachable([6])
        await self.advance(0.2)
        progress.note_store_unreachable([6])
        await self.advance(0.95)
        self.assertFalse(progress.is_canary_over(plan))

    async def test_sessions_under_way_do_not_move_in_the_first_half(self):
        """Sessions under way at a roll-out's start reach other instances later.
        If each relied on its own records, a session could change its version
        four times. Instances gossip them, so none moves in the first half.
        """
        here, there = version_fixture.fleet(2, clock=self.clock)
        sessions = [f"old-{number}" for number in range(400)]
        for session in sessions:
            here.version_for(session)
        for instance in (here, there):
            instance.begin(started=datetime.timedelta())
        for _ in range(2):
            here.gossip.send_update()
        for part in (0.0, 0.1, 0.3, 0.5):
            await self.advance(part)
            for instance in (here, there):
                moved = {instance.version_for(s) for s in sessions}
                self.assertEqual(moved, {"v1"}, part)

    async def test_a_session_that_began_before_the_canary_is_gossiped(self):
        """A session's first request comes after the order and before the
        canary takes sessions. It runs on the old version, and stays there.
        """
        here, there = version_fixture.fleet(2, clock=self.clock)
        for instance in (here, there):
            instance.begin(started=datetime.timedelta())
        await self.advance(0.05)
        sessions = [f"early-{number}" for number in range(400)]
        for session in sessions:
            self.assertEqual(here.version_for(session), "v1")
        here.gossip.send_update()
        await self.advance(0.2)
        self.assertEqual({there.version_for(s) for s in sessions}, {"v1"})

    async def test_a_lost_update_of_a_session_is_sent_again(self):
        here, there = version_fixture.fleet(2, clock=self.clock)
        sessions = [f"old-{number}" for number in range(400)]
        for session in sessions:
            here.version_for(session)
        for instance in (here, there):
            instance.begin(started=datetime.timedelta())
        here.post.loses = True
        here.gossip.send_update()
        here.post.loses = False
        here.gossip.send_update()
        await self.advance(0.2)
        self.assertEqual({there.version_for(s) for s in sessions}, {"v1"})

    async def test_the_canary_takes_new_sessions_in_the_first_half(self):
        """All requests belong to sessions, as on a drafting service.
        A session that begins in the first half runs on one version from its
        first request, the same on all instances.
        """
        here, there = version_fixture.fleet(2, clock=self.clock)
        for instance in (here, there):
            instance.begin(started=datetime.timedelta())
        await self.advance(0.1)
        sessions = [f"new-{number}" for number in range(1000)]
        at_first = [here.version_for(s) for s in sessions]
        self.assertGreater(at_first.count("v2"), 20)
        self.assertLess(at_first.count("v2"), 60)
        await self.advance(0.3)
        self.assertEqual([there.version_for(s) for s in sessions], at_first)

    async def test_bad_answers_are_gossiped_without_the_store(self):
        """A store outage lasts from before the proof to the end of the order.
        Four instances have one bad answer each, too few for a proof. With
        gossip they withdraw the version at once.
        """
        fleet = version_fixture.fleet(4, clock=self.clock)
        for number, instance in enumerate(fleet):
            instance.answer("v1", times=60)
            instance.begin(started=datetime.timedelta())
            instance.store_monitor.note_failure(ValueError("no answer"))
            instance.answer("v2", number=1 + number % 3, failed=True)
        for instance in fleet:
            instance.gossip.send_update()
        await self.advance(0.95)
        for instance in fleet:
            self.assertIsNotNone(instance.rollouts.judge(version_fixture.ORDER))
            versions = {instance.version_for(f"s-{n}") for n in range(400)}
            self.assertEqual(versions, {"v1"})

    async def test_good_answers_are_gossiped_before_the_final_phase(self):
        """An instance without the store has ten good answers.
        It can't write its final report, so the instances that decide would
        miss them. They are gossiped, but only once the report is due.
        """
        here, there = version_fixture.fleet(2, clock=self.clock)
        for instance in (here, there):
            instance.begin(started=datetime.timedelta())
        here.answer("v2", times=10)
        known = there.rollouts.evidence_of(version_fixture.ORDER)
        await self.advance(0.5)
        here.store_monitor.note_failure(ValueError("no answer"))
        here.gossip.send_update()
        self.assertEqual(known.answer_count, 0)
        await self.advance(0.87)
        here.gossip.send_update()
        self.assertEqual(known.answer_count, 10)

    async def test_a_session_that_moved_does_not_move_back(self):
        """In the second half a session reaches an instance new to it.
        Once one instance has sent it to the new version, the others do too.
        """
        self.instance.begin()
        moved = set()
        for part in (0.55, 0.6, 0.75, 0.89, 0.95):
            await self.advance(part)
            other = version_fixture.Instance(clock=self.clock)
            other.begin(started=datetime.timedelta())
            now = {
                s
                for s in (f"s-{n}" for n in range(400))
                if other.version_for(s) == "v2"
            }
            self.assertLessEqual(moved, now, part)
            moved = now
        self.assertEqual(len(moved), 400)

    async def test_the_canary_takes_requests_without_a_session_at_once(self):
        """A plain service has no sessions, and its new version may be bad.
        Requests without a session are in the canary from the start, so that
        the proof comes early.
        """
        self.instance.begin()
        await self.advance(0.1)
        accepted = [
            self.instance.rollouts.accepts(
                version_fixture.SERVICE, session=None, request_id=str(number)
            )(version_fixture.entry(1, "v2"))
            for number in range(1000)
        ]
        self.assertGreater(sum(accepted), 20)
        self.assertLess(sum(accepted), 60)

    async def test_sessions_on_the_new_version_stay_there(self):
        """A session moved to the new version during the canary.
        As long as the version isn't proven bad, it must not go back.
        """
        self.instance.begin()
        await self.advance(0.53)
        sessions = [f"s-{number}" for number in range(400)]
        new = [s for s in sessions if self.instance.version_for(s) == "v2"]
        self.assertTrue(new)
        for part in (0.55, 0.7, 0.95):
            await self.advance(part)
            versions = {self.instance.version_for(session) for session in new}
            self.assertEqual(versions, {"v2"}, part)

    async def test_nothing_goes_to_a_new_version_without_a_plan(self):
        """An instance knows an order but can't reach the store.
        It doesn't know the roll-out's progress, so it uses the old version.
        """
        self.instance.orders.place(version_fixture.ORDER)
        self.assertEqual(self.new_share("any"), 0.0)
        self.assertFalse(self.instance.rollouts.is_ready)

    async def test_a_bad_version_stays_out_once_the_next_one_is_ordered(self):
        """The replicas of a version that was found bad were still listed, and
        got requests again like those of the old version.
        """
        plan = self.order_next_after(plan_module.Verdict.BAD)
        self.assert_stays_out("before the plan")
        self.instance.rollouts.apply_plan(plan)
        self.assert_stays_out("in the canary")
        for verdict in (plan_module.Verdict.GOOD, plan_module.Verdict.BAD):
            self.instance.rollouts.apply_plan(
                msgspec.structs.replace(plan, verdict=verdict)
            )
            self.assert_stays_out(verdict.value)

    async def test_a_replaced_version_stays_out_once_the_next_one_is_ordered(
        self,
    ):
        """A version's replicas stop as the roll-out to the next completes, and
        got requests again with the order after that, until they were unlisted.
        """
        plan = self.order_next_after(plan_module.Verdict.GOOD)
        self.assert_stays_out("before the plan", "v1")
        self.instance.rollouts.apply_plan(plan)
        self.assert_stays_out("in the canary", "v1")
        for verdict in (plan_module.Verdict.GOOD, plan_module.Verdict.BAD):
            self.instance.rollouts.apply_plan(
                msgspec.structs.replace(plan, verdict=verdict)
            )
            self.assert_stays_out(verdict.value, "v1")

    async def test_sessions_stay_on_the_completed_version_in_the_next_canary(
        self,
    ):
        """Sessions on the version completed last are under way on the old
        version of the next order, and must not move in its first half.
        """
        plan = self.order_next_after(plan_module.Verdict.GOOD)
        sessions = [f"session {number}" for number in range(100)]
        for when in ("before the plan", "in the canary"):
            versions = {self.instance.version_for(s) for s in sessions}
            self.assertEqual(versions, {"v2"}, when)
            self.instance.rollouts.apply_plan(plan)

    async def test_only_a_listed_version_takes_an_old_one_s_requests(self):
        """All replicas of the version completed last are unlisted; the others
        that are listed must be tried, or every request would be refused.
        """
        self.instance.rollouts.apply_plan(
            self.order_next_after(plan_module.Verdict.GOOD)
        )
        for number in (1, 2, 3):
            self.instance.directory.remove(f"v2-{number}")
        self.assertEqual(self.instance.version_for("session"), "v1")

    async def test_answers_of_a_bad_version_are_no_measure_for_the_next(self):
        """Half of the next one's answers fail as well, so it was found no worse
        than what was before it.
        """
        self.instance.rollouts.apply_plan(
            self.order_next_after(plan_module.Verdict.BAD)
        )
        self.instance.answer("v1", times=60)
        self.instance.answer("v2", failed=True, times=60)
        for number in (1, 2, 3):
            self.instance.answer("v3", number=number, failed=True, times=8)
            self.instance.answer("v3", number=number, times=8)
        self.assertIsNotNone(
            self.instance.rollouts.judge(version_fixture.NEXT_ORDER)
        )

    def order_next_after(
        self, verdict: plan_module.Verdict
    ) -> plan_module.PlanRow:
        """Orders v3 after the verdict on v2; returns the plan, not applied."""
        rollouts = self.instance.rollouts
        self.instance.begin()
        former = rollouts.plan_of(version_fixture.ORDER)
        rollouts.apply_plan(msgspec.structs.replace(former, verdict=verdict))
        order = version_fixture.NEXT_ORDER
        for number in (1, 2, 3):
            self.instance.directory.put(
                version_fixture.entry(number, order.version)
            )
        self.instance.orders.place(order)
        return plan_module.PlanRow(
            order_id=order.order_id,
            service=order.service,
            version=order.version,
            started_ms=0.0,
            within_s=order.within_s,
            withdrawn=rollouts.withdrawn_versions(order),
            old_version=rollouts.old_version(order),
        )

    def assert_stays_out(self, when: str, version: str = "v2") -> None:
        """Asserts that no request, nor a retry, may run on a version."""
        excluded = version_fixture.entry(1, version)
        service = version_fixture.SERVICE
        rollouts = self.instance.rollouts
        self.assertFalse(rollouts.accepts_stable(service)(excluded), when)
        for number in range(50):
            accepts = rollouts.accepts(
                service, session=f"{when} {number}", request_id=str(number)
            )
            self.assertFalse(accepts(excluded), when)

    async def test_a_request_that_failed_in_canary_may_use_the_old_version(
        self,
    ):
        """The new version's only replica fails a request.
        Without a retry on the old version the caller would get the failure.
        """
        self.instance.begin()
        accepts = self.instance.rollouts.accepts_stable(version_fixture.SERVICE)
        self.assertTrue(accepts(version_fixture.entry(1, "v1")))
        self.assertFalse(accepts(version_fixture.entry(1, "v2")))


if __name__ == "__main__":
    unittest.main()
