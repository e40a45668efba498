"""Publishing and reading the learned plans of many templates."""

import asyncio
import datetime
import random
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies
import msgspec

from bench import cascade as cascade_bench
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_learned
from nutmeghook.internal.routing import cascade_learner
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_publisher
from nutmeghook.internal.routing import cascade_reader
from nutmeghook.internal.routing import cascade_rows
from nutmeghook.internal.routing import cascade_scorer
from nutmeghook.standins import memory_ratings
from nutmeghook.standins import memory_table
from tests import rollout_fleet

LOOKUP = cascade_bench.WORKLOADS[0]
NAMES = [f"lookup-{number}" for number in range(60)]


def key_of(name):
    return documents.template_key(LOOKUP.template.team, name)


class CountingTable(memory_table.MemoryTable):
    """Counts the bytes read, and fails commits on demand."""

    read_bytes = 0
    commits_before_fault = None
    before_commit = None

    async def read(self, key):
        row = await super().read(key)
        self.read_bytes += len(row.value) if row else 0
        return row

    async def scan(self, **arguments):
        rows = await super().scan(**arguments)
        self.read_bytes += sum(len(row.value) for row in rows)
        return rows

    async def commit(self, transaction):
        if self.before_commit is not None:
            await self.before_commit()
        if self.commits_before_fault is not None:
            self.commits_before_fault -= 1
            if self.commits_before_fault < 0:
                raise failures.NotDoneError("out")
        return await super().commit(transaction)


class PublishingTest(unittest.IsolatedAsyncioTestCase):
    """One publisher and one reader with 60 templates."""

    async def asyncSetUp(self):
        self.clock = clock.FakeClock()
        self.store = CountingTable(clock=self.clock)
        self.service = memory_ratings.MemoryRatings(
            clock=self.clock, quality=lambda task: 0.9
        )
        templates = {
            key_of(name): msgspec.structs.replace(LOOKUP.template, name=name)
            for name in NAMES
        }
        self.lease = rollout_fleet.RowLease(self.store)
        await self.lease.take()
        self.publisher = cascade_publisher.CascadePublisher(
            view=view.FixedConfigView(
                snapshot=documents.Snapshot(
                    revision=1,
                    fleet=LOOKUP.fleet,
                    teams={},
                    templates=templates,
                )
            ),
            lease=self.lease,
            table=self.store,
            ratings=self.service,
            clock=self.clock,
        )
        self.submitted = 0
        self.policy, self.reader = self.new_reader()

    def new_reader(self):
        policy = cascade_learned.LearnedCascade(
            clock=self.clock, scorer=cascade_scorer.TextAnswerScorer()
        )
        return policy, cascade_reader.PlansReader(
            policy=policy,
            table=self.store,
            clock=self.clock,
            random_source=random.Random(1),
        )

    async def rate(self, name, *, count):
        label = cascade_labels.RatingLabel(
            kind=0, first_stage=1, score_bin=None
        )
        for _ in range(count):
            self.submitted += 1
            task = ratings.RatingTask(
                request_id=cascade_labels.attach(
                    f"req-{self.submitted}", label
                ),
                team=LOOKUP.template.team,
                template=name,
                model_version=engine.ModelVersion(model="large", version="1"),
                stage=1,
                prompt="",
                answer="",
            )
            await self.service.submit([task])
        await self.clock.advance(datetime.timedelta(seconds=1))

    async def rate_all(self, count=3):
        for name in NAMES:
            await self.rate(name, count=count)

    async def publish(self):
        """Runs a step, which takes some seconds if it writes a lot."""
        step = asyncio.create_task(self.publisher.step())
        while not step.done():
            await self.clock.advance(datetime.timedelta(seconds=1))
        await step

    async def counted(self, work):
        before = self.store.read_bytes
        await work
        return self.store.read_bytes - before

    async def test_instances_read_again_only_what_changed(self):
        """An instance reads plans each minute; one template's plan changed.

        If 420 instances read all plans of 3,000 templates, that would exceed
        all other control traffic. So they read the head and then the changed
        bucket, or nothing more.
        """
        await self.rate_all()
        await self.publish()
        first = await self.counted(self.reader.step())
        self.assertEqual(len(self.policy._plans), len(NAMES))
        unchanged = await self.counted(self.reader.step())
        await self.rate(NAMES[7], count=400)
        await self.publish()
        before = dict(self.policy._plans)
        changed = await self.counted(self.reader.step())
        differing = [
            key
            for key, plan in self.policy._plans.items()
            if plan != before[key]
        ]
        self.assertEqual(differing, [key_of(NAMES[7])])
        self.assertLess(unchanged, first / 4)
        self.assertLess(changed - unchanged, first / 10)

    async def test_all_changed_plans_arrive_within_the_budget_of_a_reading(
        self,
    ):
        await self.rate_all()
        await self.publish()
        await self.reader.step()
        await self.rate_all(count=400)
        await self.publish()
        newest, reader = self.new_reader()
        await reader.step()
        readings = 0
        while self.policy._plans != newest._plans:
            spent = await self.counted(self.reader.step())
            self.assertLess(spent, cascade_reader.MAX_READ_BYTES)
            readings += 1
        self.assertGreater(readings, 1)
        self.assertLess(readings, 10)

    async def test_plans_that_hardly_changed_are_not_published(self):
        await self.rate_all(count=400)
        for _ in range(3):
            await self.publish()
        row = await self.store.read(cascade_rows.HEAD_KEY)
        await self.rate_all(count=1)
        await self.publish()
        later = await self.store.read(cascade_rows.HEAD_KEY)
        heads = [
            msgspec.msgpack.decode(r.value, type=cascade_rows.HeadRow)
            for r in (row, later)
        ]
        self.assertGreater(heads[1].cursor, heads[0].cursor)
        self.assertEqual(heads[1].revisions, heads[0].revisions)

    async def test_the_event_loop_runs_between_plans(self):
        """The lease holder plans for all templates while it relays streams.

        A plan takes some milliseconds; thousands without a pause would block
        every stream of this instance for seconds.
        """
        await self.rate_all()
        turns = 0
        planned_in = []

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        def plan_for(*arguments, **named):
            planned_in.append(turns)
            return cascade_learner.cautious_plan(2)

        counting = asyncio.create_task(count_turns())
        with unittest.mock.patch.object(cascade_learner, "plan_for", plan_for):
            await self.publish()
        counting.cancel()
        self.assertEqual(len(set(planned_in)), len(NAMES))

    async def test_renewals_of_the_lease_end_no_step(self):
        """The lease is renewed while a step writes bucket after bucket.

        Until the renewal's answer arrives, a commit names the lease row's old
        version and is refused. If that ended the step, most steps at the
        planned size would never reach the head.
        """
        commits = 0
        renewals = []

        async def renew():
            nonlocal commits
            commits += 1
            if commits % 5 == 0:
                renewals.append(asyncio.create_task(renewal()))

        async def renewal():
            put = table.Put(key=self.lease.row_key, value=b"renewed")
            result = await memory_table.MemoryTable.commit(
                self.store, table.Transaction(puts=(put,))
            )
            await self.clock.sleep(datetime.timedelta(milliseconds=50))
            self.lease._version = result.versions[0]

        await self.rate_all()
        self.store.before_commit = renew
        await self.publish()
        row = await self.store.read(cascade_rows.HEAD_KEY)
        head = msgspec.msgpack.decode(row.value, type=cascade_rows.HeadRow)
        self.assertEqual(head.cursor, self.submitted)

    async def test_long_steps_do_not_lengthen_the_interval(self):
        steps = 0

        async def step():
            nonlocal steps
            steps += 1
            await self.clock.sleep(datetime.timedelta(seconds=10))

        publisher = unittest.mock.Mock(wraps=self.publisher, step=step)
        publisher._clock = self.clock
        running = asyncio.create_task(
            cascade_publisher.CascadePublisher.run(publisher)
        )
        await self.clock.advance(10 * cascade_publisher.PUBLISH_EVERY)
        running.cancel()
        self.assertEqual(steps, 11)

    async def test_commits_of_a_step_are_spread(self):
        moments = []

        async def note():
            moments.append(self.clock.monotonic())

        await self.rate_all()
        self.store.before_commit = note
        await self.publish()
        self.assertGreater(len(moments), cascade_publisher.COMMITS_PER_S)
        for moment in set(moments):
            at_once = moments.count(moment)
            self.assertLessEqual(at_once, cascade_publisher.COMMITS_PER_S + 1)

    async def test_a_step_that_ends_halfway_counts_each_rating_once(self):
        """The store fails after some buckets were written and others not.

        The next step gets all the ratings again, since the head's cursor is
        before them. Buckets that include them must skip them.
        """
        for commits in range(0, 60, 7):
            await self.rate_all(count=1)
            self.store.commits_before_fault = commits
            await self.publish()
        self.store.commits_before_fault = None
        await self.publish()
        counts = []
        for name in NAMES:
            bucket = cascade_rows.bucket_of(key_of(name))
            row = await self.store.read(cascade_rows.tables_key(bucket))
            learned = msgspec.msgpack.decode(
                row.value, type=cascade_rows.TablesRow
            )
            counts.append(learned.tables[key_of(name)].ratings)
        self.assertEqual(sum(counts), self.submitted)
        self.assertEqual(set(counts), {self.submitted // len(NAMES)})
        policy, reader = self.new_reader()
        await reader.step()
        self.assertEqual(len(policy._plans), len(NAMES))

    async def test_the_plan_of_a_removed_template_is_dropped(self):
        await self.rate_all()
        await self.publish()
        await self.reader.step()
        snapshot = self.publisher._view.snapshot
        templates = dict(snapshot.templates)
        del templates[key_of(NAMES[0])]
        self.publisher._view = view.FixedConfigView(
            snapshot=msgspec.structs.replace(snapshot, templates=templates)
        )
        for _ in range(cascade_rows.BUCKETS):
            await self.publish()
        await self.reader.step()
        self.assertEqual(set(self.policy._plans), set(templates))


class DifferTest(unittest.TestCase):
    """Which changes of a plan are published."""

    @hypothesis.given(
        strategies.integers(0, cascade_labels.KINDS - 1),
        strategies.floats(0, 0.9),
        strategies.floats(0.02, 0.1),
    )
    def test_another_option_or_share_differs(self, kind, share, more):
        cheap = cascade_plans.PlannedOption(first_stage=0, go_on_below_bin=3)
        best = cascade_plans.PlannedOption(first_stage=1, go_on_below_bin=0)

        def plan(upgraded_share, usual=cheap):
            plain = cascade_plans.GroupPlan(usual=cheap, upgraded=best)
            groups = [plain] * cascade_labels.KINDS
            groups[kind] = msgspec.structs.replace(
                plain, usual=usual, upgraded_share=upgraded_share
            )
            return cascade_plans.TemplatePlan(
                holding=tuple(groups),
                relaying=(plain,) * cascade_labels.KINDS,
                rated_share=0.05,
                explored_shares=(0.2,) * cascade_labels.KINDS,
                tried_shares=(0.1,) * cascade_labels.KINDS,
            )

        before = plan(share)
        self.assertFalse(cascade_plans.differ(before, plan(share + 0.001)))
        self.assertTrue(cascade_plans.differ(before, plan(share + more)))
        self.assertTrue(cascade_plans.differ(before, plan(share, usual=best)))
        rated = msgspec.structs.replace(before, rated_share=0.06)
        self.assertTrue(cascade_plans.differ(before, rated))


if __name__ == "__main__":
    unittest.main()
