"""The in-memory stand-ins fulfil the contracts of the interfaces."""

import asyncio
import datetime
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock
from nutmeghook.standins import faults
from nutmeghook.standins import memory_instances
from nutmeghook.standins import memory_ratings
from nutmeghook.standins import memory_table

SECOND = datetime.timedelta(seconds=1)
KEYS = strategies.sampled_from(["a", "a/1", "a/2", "b", "b/1"])
VERSION = engine.ModelVersion(model="small", version="1")


class TableMachine(stateful.RuleBasedStateMachine):
    """Every commit and scan agrees with a plain dict of rows."""

    def __init__(self):
        super().__init__()
        self.table = memory_table.MemoryTable(
            clock=clock.FakeClock(), writes_per_s=10**6, reads_per_s=10**6
        )
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.versions_seen: set[int] = set()

    @stateful.rule(
        conditions=strategies.lists(
            strategies.tuples(KEYS, strategies.booleans()), max_size=3
        ),
        puts=strategies.dictionaries(KEYS, strategies.binary(max_size=2)),
        deletes=strategies.sets(KEYS, max_size=2),
    )
    def commit(self, conditions, puts, deletes):
        deletes -= set(puts)
        asked = [
            table.Condition(
                key=key, version=self._version(key) + (0 if holds else 1)
            )
            for key, holds in conditions
        ]
        result = asyncio.run(
            self.table.commit(
                table.Transaction(
                    conditions=tuple(asked),
                    puts=tuple(
                        table.Put(key=k, value=v) for k, v in puts.items()
                    ),
                    deletes=tuple(deletes),
                )
            )
        )
        assert result.committed == all(holds for _, holds in conditions)
        if not result.committed:
            wrong = {k for k, holds in conditions if not holds}
            assert {r.key for r in result.current} == wrong & set(self.rows)
            return
        assert not set(result.versions) & self.versions_seen
        self.versions_seen.update(result.versions)
        for key in deletes:
            self.rows.pop(key, None)
        for key, version in zip(puts, result.versions, strict=True):
            self.rows[key] = (puts[key], version)

    @stateful.rule(
        prefix=strategies.sampled_from(["", "a", "a/", "b", "c"]),
        after=strategies.one_of(strategies.just(""), KEYS),
        limit=strategies.integers(1, 4),
    )
    def scan(self, prefix, after, limit):
        rows = asyncio.run(
            self.table.scan(prefix=prefix, after=after, limit=limit)
        )
        keys = sorted(
            k for k in self.rows if k.startswith(prefix) and k > after
        )
        assert [r.key for r in rows] == keys[:limit]
        assert all((r.value, r.version) == self.rows[r.key] for r in rows)

    def _version(self, key):
        return self.rows.get(key, (b"", table.ABSENT_VERSION))[1]


TableMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=20
)
TableTest = TableMachine.TestCase


def put(key: str) -> table.Transaction:
    """Returns a transaction that writes one row."""
    return table.Transaction(puts=(table.Put(key=key, value=b"x"),))


class LimitsAndFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Rate limits and lost outcomes as callers see them."""

    def setUp(self):
        self.clock = clock.FakeClock()
        self.faults = faults.Faults(clock=self.clock)
        self.table = memory_table.MemoryTable(
            clock=self.clock,
            faults=self.faults,
            writes_per_s=10,
            reads_per_s=2,
        )

    async def test_writes_over_the_limit_are_refused_until_retry_after(self):
        """A write over the limit is refused as overloaded, with a delay.

        Ten one-row commits use up the writes of a second; the eleventh has no
        effect. After the delay the same commit succeeds.
        """
        for index in range(10):
            await self.table.commit(put(f"k{index}"))
        with self.assertRaises(failures.NotDoneError) as caught:
            await self.table.commit(put("late"))
        self.assertTrue(caught.exception.overloaded)
        self.assertIsNone(await self.table.read("late"))
        await self.clock.advance(caught.exception.retry_after)
        self.assertTrue((await self.table.commit(put("late"))).committed)
        self.assertEqual((self.table.writes, self.table.commits), (11, 11))

    async def test_lost_outcomes_did_or_did_not_take_effect(self):
        """The same error has three meanings: the answer was lost after the
        effect, the request was lost before it, or the write takes effect two
        seconds after its caller got the error.
        """
        for fault, expected in (
            ({"lose_next_answers": 1}, True),
            ({"lose_next_requests": 1}, False),
            ({"late_effect": 2 * SECOND}, False),
        ):
            key = next(iter(fault))
            for name, value in fault.items():
                setattr(self.faults, name, value)
            with self.assertRaises(failures.OutcomeUnknownError):
                await self.table.commit(put(key))
            self.assertEqual(await self.table.read(key) is not None, expected)
            await self.clock.advance(SECOND)
        await self.clock.advance(SECOND)
        self.assertIsNotNone(await self.table.read("late_effect"))

    async def test_a_slow_write_outlives_its_caller(self):
        """The caller times out, but the row is written."""
        self.faults.delay = 5 * SECOND
        waiting = asyncio.ensure_future(
            self.clock.wait_for(self.table.commit(put("slow")), SECOND)
        )
        await self.clock.advance(SECOND)
        with self.assertRaises(TimeoutError):
            await waiting
        self.faults.delay = datetime.timedelta()
        self.assertIsNotNone(await self.table.read("slow"))


class LagTest(unittest.IsolatedAsyncioTestCase):
    """Delays of the instance list and of ratings."""

    async def test_instance_list_lags_behind(self):
        fake = clock.FakeClock()
        entry = instances.ListedInstance(
            address="127.0.0.1:1",
            role=instances.InstanceRole.ENTRY,
            state=instances.InstanceState.LIVE,
            region="r",
            data_centre="r-1",
        )
        listed = memory_instances.MemoryInstances(
            clock=fake, lag=3 * SECOND, listed=(entry,)
        )
        await fake.advance(SECOND)
        listed.mark_leaving(entry.address)
        await fake.advance(SECOND)
        listed.remove(entry.address)
        states = []
        for _ in range(4):
            states.append(
                [i.state.value for i in await listed.list_instances()]
            )
            await fake.advance(SECOND)
        self.assertEqual(states, [["live"], ["live"], ["leaving"], []])

    async def test_ratings_are_delayed_unique_and_ordered(self):
        fake = clock.FakeClock()
        service = memory_ratings.MemoryRatings(
            clock=fake, quality=lambda task: 0.9, delay=2 * SECOND
        )
        tasks = [
            ratings.RatingTask(
                request_id=f"r{index}",
                team="t",
                template="x",
                model_version=VERSION,
                stage=0,
                prompt="p",
                answer="a",
            )
            for index in range(3)
        ]
        await service.submit(tasks[:2])
        await service.submit(tasks[1:])
        self.assertEqual(await service.ratings_after(0), [])
        service.stopped = True
        await fake.advance(2 * SECOND)
        self.assertEqual(await service.ratings_after(0), [])
        service.stopped = False
        service.bias = 0.5
        given = await service.ratings_after(0)
        self.assertEqual([r.request_id for r in given], ["r0", "r1", "r2"])
        self.assertEqual([r.quality for r in given], [1.0] * 3)
        self.assertEqual(
            await service.ratings_after(given[1].cursor), given[2:]
        )
