"""A lease has one holder at a time, despite frozen holders and lost writes."""

import asyncio
import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import keeper
from nutmeghook.internal.leases import preference
from nutmeghook.internal.leases import rows
from nutmeghook.internal.membership import members
from nutmeghook.internal.observe import events
from nutmeghook.standins import memory_table
from tests import ledger_cluster

MS = ledger_cluster.MS
SECOND = ledger_cluster.SECOND


class Contender:
    """One instance that contends for the lease."""

    def __init__(self, *, name, clock, table, rank=0, is_dead=None):
        self.name = name
        self.keeper = keeper.LeaseKeeper(
            name="rollouts",
            incarnation=name,
            inner_address=f"{name}:1",
            table=table,
            clock=clock,
            rng=random.Random(name),
            events=events.EventRing(clock=clock),
            rank=lambda: self.rank,
            is_dead=is_dead,
        )
        self.rank = rank

    async def step(self):
        try:
            await self.keeper.step()
        except failures.PlatformError:
            return

    def acts(self):
        return self.keeper.fencing_token() is not None


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """Two contenders; one whose steps are not called is frozen."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.clock = clock_module.FakeClock()
        self.table = memory_table.MemoryTable(clock=self.clock)
        self.one = self.contender("one")
        self.other = self.contender("other")
        await self.one.step()
        await self.other.step()

    def contender(self, name, **options):
        return Contender(
            name=name, clock=self.clock, table=self.table, **options
        )

    async def step_until(self, contender, condition, *, within_s=30):
        for _ in range(within_s * 2):
            await contender.step()
            if condition():
                return
            await self.clock.advance(500 * MS)
        self.fail(f"the condition did not hold within {within_s} s")

    async def condition_holds(self, contender):
        """Whether a commit under the contender's lease would succeed."""
        result = await self.table.commit(
            table_module.Transaction(
                conditions=(
                    table_module.Condition(
                        key=contender.keeper.row_key,
                        version=contender.keeper.row_version(),
                    ),
                ),
                puts=(table_module.Put(key="x", value=b""),),
            )
        )
        return result.committed

    async def test_thawed_holder_finds_its_lease_expired(self):
        """The holder freezes past its lease's expiry and another takes over.

        When it thaws, before any of its tasks has run, it must find the lease
        expired by its own clock, and the store must refuse its commits.
        """
        self.assertEqual(self.one.keeper.fencing_token(), 1)
        await self.step_until(self.other, self.other.acts)
        self.assertIsNone(self.one.keeper.fencing_token())
        self.assertEqual(self.other.keeper.fencing_token(), 2)
        self.assertFalse(await self.condition_holds(self.one))
        self.assertTrue(await self.condition_holds(self.other))
        await self.one.step()
        self.assertIsNone(self.one.keeper.last_token())

    async def test_renewals_keep_others_out(self):
        for _ in range(20):
            await self.one.step()
            await self.other.step()
            await self.clock.advance(SECOND)
            self.assertTrue(self.one.acts())
            self.assertFalse(self.other.acts())

    async def test_lost_answer_counts_from_the_writes_own_start(self):
        """A renewal takes effect and its answer is lost.

        When the row is read later, the lease must count from the start of that
        write, not from the read.
        """
        self.table.faults.lose_next_answers = 1
        await self.clock.advance(SECOND)
        await self.one.step()
        await self.clock.advance(3 * SECOND)
        await self.one.keeper.read_row()
        self.assertTrue(self.one.acts())
        await self.clock.advance(700 * MS)
        self.assertFalse(self.one.acts())

    async def test_late_renewal_after_the_take_over(self):
        """A delayed renewal arrives when another instance holds the lease.

        It is conditional on the row's version, so it must change nothing.
        """
        self.table.faults.late_effect = 20 * SECOND
        await self.one.step()
        self.table.faults.late_effect = None
        await self.step_until(self.other, self.other.acts)
        for _ in range(25):
            await self.clock.advance(SECOND)
            await self.other.step()
            self.assertTrue(self.other.acts())
            self.assertTrue(await self.condition_holds(self.other))

    async def test_release_lets_another_take_it_at_once(self):
        await self.one.keeper.release()
        self.assertFalse(self.one.acts())
        await self.other.step()
        self.assertEqual(self.other.keeper.fencing_token(), 2)

    async def test_preferred_instance_gets_the_lease(self):
        self.one.rank = 1
        for _ in range(8):
            await self.one.step()
            await self.other.step()
            await self.clock.advance(SECOND)
        self.assertTrue(self.other.acts())
        self.assertFalse(self.one.acts())

    async def test_known_death_shortens_the_take_over(self):
        successor = self.contender(
            "heir", is_dead=lambda holder: holder == "one"
        )
        await successor.step()
        self.assertFalse(successor.acts())
        await self.clock.advance(2500 * MS)
        await successor.step()
        self.assertTrue(successor.acts())
        self.assertFalse(await self.condition_holds(self.one))

    async def test_partitioned_instances_do_not_take_each_others_lease(self):
        """Two instances reach the store but not each other.

        Each considers the other dead and itself preferred. As the holder still
        renews, the lease must not move.
        """
        both = [
            self.contender(name, is_dead=lambda holder: holder != "one")
            for name in ("left", "right")
        ]
        await self.one.keeper.release()
        await both[0].step()
        for _ in range(20):
            await both[1].step()
            await self.clock.advance(SECOND)
            await both[0].step()
            self.assertTrue(both[0].acts())
        self.assertEqual(both[0].keeper.fencing_token(), 2)


class LeaseHistoryTest(unittest.TestCase):
    """Random schedules of steps, freezes and lost or late writes."""

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["step", "lose_answer", "lose_request", "late", "down"]
                ),
                strategies.integers(0, 2),
                strategies.integers(0, 2500),
            ),
            max_size=60,
        )
    )
    def test_no_two_hold_at_once_and_tokens_rise(self, schedule):
        async def scenario():
            clock = clock_module.FakeClock()
            table = memory_table.MemoryTable(clock=clock)
            all_three = [
                Contender(name=name, clock=clock, table=table)
                for name in ("one", "two", "three")
            ]
            last_token = 0
            for action, who, pass_ms in schedule:
                faults = table.faults
                faults.lose_next_answers = action == "lose_answer"
                faults.lose_next_requests = action == "lose_request"
                faults.late_effect = 3 * SECOND if action == "late" else None
                faults.down = action == "down"
                await all_three[who].step()
                acting = [c for c in all_three if c.acts()]
                self.assertLessEqual(len(acting), 1)
                for contender in acting:
                    token = contender.keeper.fencing_token()
                    self.assertGreaterEqual(token, last_token)
                    last_token = token
                await clock.advance(pass_ms * MS)

        asyncio.run(scenario())


class PreferenceTest(unittest.TestCase):
    """The order of candidates."""

    @staticmethod
    def view(names, *, myself="m0"):
        everyone = {
            name: members.Member(
                inner_address=f"{name}:1",
                incarnation=name,
                region="r",
                data_centre="d",
            )
            for name in {*names, myself}
        }
        return members.FixedMemberView(
            myself=everyone[myself],
            others=tuple(everyone[n] for n in sorted(set(names) - {myself})),
        )

    def test_spread_and_least_movement(self):
        """Leases spread over members; losing one moves only its leases."""
        names = [f"m{number}" for number in range(20)]
        leases = [f"ledger/{number}" for number in range(1000)]

        def first(lease, present):
            return preference.candidates(lease, self.view(present))[0]

        before = {lease: first(lease, names).incarnation for lease in leases}
        counts = [list(before.values()).count(name) for name in names]
        self.assertGreater(min(counts), 20)
        self.assertLess(max(counts), 100)
        after = {lease: first(lease, names[:-1]) for lease in leases}
        for lease in leases:
            if before[lease] != names[-1]:
                self.assertEqual(after[lease].incarnation, before[lease])

    def test_only_a_few_contend(self):
        names = [f"m{number}" for number in range(420)]
        ranks = [
            preference.rank_of_myself("x", self.view(names, myself=name))
            for name in names[:420:20]
        ]
        self.assertLessEqual(
            len([rank for rank in ranks if rank is not None]),
            preference.CANDIDATES,
        )
        self.assertEqual(rows.row_key("x"), "lease/x")
