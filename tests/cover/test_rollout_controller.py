"""Roll-outs over a fleet: bad versions, missing ratings, lease holders."""

import asyncio
import contextlib
import random
import unittest
import unittest.mock

from nutmeghook.internal.config import documents
from nutmeghook.internal.observe import events
from nutmeghook.internal.rollout import allowance
from nutmeghook.internal.rollout import config_editor
from nutmeghook.internal.rollout import pool
from tests import rollout_fleet

State = documents.VersionState
CAP = rollout_fleet.CAP


@contextlib.asynccontextmanager
async def running_fleet(**settings):
    """A fleet whose first instance holds the lease, with a roll-out begun."""
    fleet = rollout_fleet.RolloutFleet(**settings)
    await fleet.start()
    await fleet.instances[0].lease.take()
    try:
        yield fleet
    finally:
        await fleet.close()


def bad_from(first_share, bad_share=0.6):
    """Returns an `is_bad` that turns bad at a share."""
    source = random.Random(3)
    return lambda share: share >= first_share and source.random() < bad_share


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs on a fleet."""

    async def asyncSetUp(self):
        # Debug mode records a stack for each callback, ten times slower.
        asyncio.get_running_loop().set_debug(False)


class BadVersionTest(FleetTestCase):
    """The version turns bad at some share and is withdrawn."""

    async def test_a_version_that_turns_bad_at_any_share_is_withdrawn(self):
        """Callers get bad answers from some share on.

        The cap on unrated answers bounds the bad answers sent before the proof,
        whatever the share. Then the version is withdrawn, the old one gets the
        whole share, and no more answers of the new one are sent.
        """
        for first_share in (1.0, 5.0, 50.0):
            with self.subTest(first_share=first_share):
                async with running_fleet() as fleet:
                    fleet.is_bad = bad_from(first_share)
                    await fleet.ticks_until(
                        lambda: fleet.entry().state is State.WITHDRAWN
                    )
                    self.assertLess(fleet.bad_sent, 2 * CAP)
                    self.assertEqual(fleet.entry("1").share_percent, 100.0)
                    sent = fleet.sent
                    await fleet.tick()
                    self.assertEqual(fleet.sent, sent)

    async def test_a_version_that_turns_bad_at_full_share_is_withdrawn(self):
        """The version turns bad some time after it was rolled out in full.

        The rule for full-share versions detects it from the sampled ratings,
        and the version before it, kept at share 0, gets all requests again.
        """
        async with running_fleet() as fleet:
            await fleet.ticks_until(lambda: fleet.entry().share_percent == 100)
            self.assertIs(fleet.entry().state, State.SERVING)
            for _ in range(30):
                await fleet.tick()
            self.assertIs(fleet.entry().state, State.SERVING)
            fleet.is_bad = bad_from(100.0)
            await fleet.ticks_until(
                lambda: fleet.entry().state is State.WITHDRAWN, limit=60
            )
            self.assertEqual(fleet.entry("1").share_percent, 100.0)

    async def test_a_version_rolled_out_again_starts_with_a_clean_record(self):
        async with running_fleet() as fleet:
            fleet.is_bad = bad_from(0.0)
            await fleet.ticks_until(
                lambda: fleet.entry().state is State.WITHDRAWN
            )
            fleet.is_bad = lambda share: False
            await fleet.clock.advance(60 * rollout_fleet.SECOND)
            await fleet.roll_out()
            await fleet.ticks_until(lambda: fleet.entry().share_percent == 100)

    async def test_the_last_version_is_not_withdrawn(self):
        """The bad version is the only one left, and callers depend on it.

        The withdrawal is refused once for each configuration, not once a
        second, and is recorded as an event for the operator.
        """
        async with running_fleet() as fleet:
            await fleet.ticks_until(lambda: fleet.entry().share_percent == 100)
            await fleet.edit(
                rollout_fleet.edits.WithdrawVersion(
                    team="agency",
                    template="lookup",
                    model_version=rollout_fleet.OLD,
                )
            )
            fleet.is_bad = bad_from(0.0)
            for _ in range(40):
                await fleet.tick()
            self.assertIs(fleet.entry().state, State.SERVING)
            kinds = [e.kind for e in fleet.instances[0].events.since(0)]
            refused = events.EventKind.ROLLOUT_STEP_REFUSED
            self.assertEqual(kinds.count(refused), 1)


class MissingRatingsTest(FleetTestCase):
    """The rating service stops, or rates only some answers."""

    async def test_without_ratings_a_roll_out_stops_at_the_cap(self):
        """The rating service accepts answers but rates none.

        Callers get answers of the new version up to the cap and then the
        serving version's; the share stays. When ratings come again, the
        roll-out continues by itself and ends.
        """
        async with running_fleet() as fleet:
            await fleet.ticks_until(lambda: fleet.entry().share_percent == 5)
            fleet.ratings.stopped = True
            for _ in range(200):
                await fleet.tick()
                self.assertLessEqual(fleet.unrated(), CAP)
            self.assertEqual(fleet.entry().share_percent, 5.0)
            fleet.ratings.stopped = False
            await fleet.ticks_until(lambda: fleet.entry().share_percent == 100)

    async def test_bad_answers_that_go_unrated_do_not_go_unnoticed(self):
        """Half the answers are bad, and only good ones get ratings.

        All ratings are good, but the unrated answers fill the cap: the
        roll-out stops growing and records that it waits for ratings.
        """
        async with running_fleet() as fleet:
            fleet.is_bad = bad_from(0.0, bad_share=0.5)
            fleet.hands_in = lambda bad: not bad
            for _ in range(900):
                await fleet.tick()
            self.assertEqual(fleet.entry().share_percent, 1.0)
            self.assertLess(fleet.bad_sent, 2 * CAP)
            kinds = [e.kind for e in fleet.instances[0].events.since(0)]
            self.assertIn(events.EventKind.ROLLOUT_WAITING, kinds)

    async def test_an_instance_without_the_holder_stops_sending(self):
        """One instance with allowance is partitioned from the lease holder.

        Its allowance expires. Then its callers get the serving version without
        waiting, so no answer is sent that the holder may have written off.
        """
        async with running_fleet() as fleet:
            for _ in range(20):
                await fleet.tick()
            for _ in range(10):
                await fleet.tick(requests=0)
            cut = fleet.instances[2]
            for other in fleet.instances[:2]:
                fleet.network.cut_both_ways(cut.address, other.address)
            self.assertGreater(
                cut.gate._allowances[rollout_fleet.KEY].available, 0
            )
            await fleet.clock.advance(allowance.GRANT_VALID)
            self.assertFalse(any(cut.wants() for _ in range(10)))


class LeaseHolderTest(FleetTestCase):
    """Holders that die, pause, or hold the lease at the same time."""

    async def _until_proven_bad(self, fleet):
        """Runs until the row has the verdict, with the edit held back."""
        fleet.is_bad = bad_from(0.0)
        taken = []

        async def apply(self, step):
            taken.append(step)
            return config_editor.StepOutcome.UNSETTLED

        with unittest.mock.patch.object(
            config_editor.AccepterEditor, "apply", apply
        ):
            await fleet.ticks_until(lambda: any(s.withdraws for s in taken))
        self.assertIs((await fleet.watch()).verdict, pool.Verdict.BAD)
        self.assertIs(fleet.entry().state, State.ROLLING_OUT)
        return taken[-1]

    async def test_a_successor_withdraws_for_a_killed_holder(self):
        """The holder records that the version is bad, then dies.

        The rating service is out by then. The next holder reads the verdict
        from the row and withdraws the version in its first step.
        """
        async with running_fleet() as fleet:
            await self._until_proven_bad(fleet)
            fleet.network.detach(fleet.instances[0].address)
            fleet.instances[0].lease.lose()
            fleet.ratings.faults.down = True
            await fleet.instances[1].lease.take()
            await fleet.step(fleet.instances[1])
            fleet.spread()
            self.assertIs(fleet.entry().state, State.WITHDRAWN)

    async def test_a_paused_holder_that_wakes_changes_nothing(self):
        """The holder decides to withdraw and is paused before the commit.

        Meanwhile another takes over, and an operator rolls the version out
        again after a repair. The first resumes as if it held the lease: neither
        its change nor its row may take effect.
        """
        async with running_fleet() as fleet:
            late = await self._until_proven_bad(fleet)
            paused, successor = fleet.instances[:2]
            await successor.lease.take()
            await fleet.clock.advance(10 * rollout_fleet.SECOND)
            row = await fleet.table.read(pool.ROW_KEY)
            await fleet.step(paused)
            self.assertEqual(await fleet.table.read(pool.ROW_KEY), row)
            await fleet.step(successor)
            fleet.spread()
            await fleet.roll_out()
            revision = successor.replica.revision
            row = await fleet.table.read(pool.ROW_KEY)
            outcome = asyncio.ensure_future(paused.editor.apply(late))
            await fleet.clock.advance(5 * rollout_fleet.SECOND)
            self.assertIsNot(await outcome, config_editor.StepOutcome.ACCEPTED)
            await fleet.step(paused)
            head = await fleet.table.read("config/head")
            self.assertIn(f'"revision":{revision}'.encode(), head.value)
            self.assertEqual(await fleet.table.read(pool.ROW_KEY), row)

    async def test_two_holders_count_each_rating_and_each_answer_once(self):
        """Two instances both act as the lease's holder.

        Both read ratings and reserve allowance each second. Only one can
        commit; each rating counts once, and the unrated answers stay under the
        cap although instances request allowance of both.
        """
        long_steps = documents.RollOutPolicy(
            unrated_cap=CAP, ratings_per_step=10_000
        )
        async with running_fleet(policy=long_steps) as fleet:
            for second in range(120):
                if second % 20 == 0:
                    holder = fleet.instances[(second // 20) % 2]
                    await holder.lease.take()
                await fleet.tick()
                self.assertLessEqual(fleet.unrated(), CAP)
            watch = await fleet.watch()
            self.assertGreater(watch.rated, 100)
            self.assertLessEqual(watch.rated, len(fleet.ratings._ratings))

    async def test_a_new_holder_counts_all_granted_allowance_as_sent(self):
        """The holder has granted the whole allowance, and dies at once.

        Its row is all that the successor knows. Instances get no more from it
        until ratings of the answers sent come in.
        """
        async with running_fleet(rating_delay_s=1_000) as fleet:
            for _ in range(20):
                await fleet.tick()
            self.assertEqual(fleet.sent, CAP)
            fleet.network.detach(fleet.instances[0].address)
            fleet.instances[0].lease.lose()
            await fleet.instances[1].lease.take()
            for _ in range(100):
                await fleet.tick()
            self.assertEqual(fleet.sent, CAP)

    async def test_lost_answers_of_the_store_lose_no_allowance(self):
        """The table service's answers are lost after its writes took effect.

        The holder can't know what it reserved, so it reads the row again.
        The roll-out still ends, and never exceeds the cap.
        """
        async with running_fleet() as fleet:
            second = 0
            while fleet.entry().share_percent < 100:
                second += 1
                self.assertLess(second, 2_000)
                if second % 5 == 0:
                    fleet.table.faults.lose_next_answers = 1
                await fleet.tick()
                if fleet.entry().share_percent < 100:
                    self.assertLessEqual(fleet.unrated(), CAP)


if __name__ == "__main__":
    unittest.main()
