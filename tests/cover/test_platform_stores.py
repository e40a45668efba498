"""The adapters of the platform's services against the stand-ins."""

import asyncio
import collections
import contextlib
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_instances
from nutmeghook.internal.standin_http import http_objects
from nutmeghook.internal.standin_http import http_ratings
from nutmeghook.internal.standin_http import http_table
from nutmeghook.internal.standin_http import http_weights
from nutmeghook.standins import fleet
from tests.cover import platform_case

# Any text that JSON and a URL can carry, not only that of our own keys.
KEYS = strategies.text(
    strategies.characters(exclude_categories=("Cs",)), max_size=6
)


class StoresTest(platform_case.FleetCase):
    """The table service, the object store and the smaller services."""

    async def test_an_answer_lost_after_the_effect_is_unknown(self):
        """The connection breaks once before the commit and once after it.

        Both outcomes are unknown to the caller. A repeat of the applied commit
        must fail by its condition instead of applying again.
        """
        service = http_table.HttpTable(exchange=self.exchange("table"))
        first = table.Transaction(
            conditions=(table.Condition(key="k", version=0),),
            puts=(table.Put(key="k", value=b"\x00\xff"),),
        )
        await self.control("table", "faults", lose_next_requests=1)
        with self.assertRaises(failures.OutcomeUnknownError):
            await service.commit(first)
        self.assertIsNone(await service.read("k"))
        await self.control("table", "faults", lose_next_answers=1)
        with self.assertRaises(failures.OutcomeUnknownError):
            await service.commit(first)
        row = await service.read("k")
        self.assertEqual(row.value, b"\x00\xff")
        repeated = await service.commit(first)
        self.assertFalse(repeated.committed)
        self.assertEqual(repeated.current, (row,))

    async def test_concurrent_increments_are_neither_lost_nor_doubled(self):
        """Eight callers increment one row, and some answers are lost.

        Each reads the row and commits the next number if its version is
        unchanged. A confirmed commit must count once, an unknown one at most
        once.
        """
        service = http_table.HttpTable(exchange=self.exchange("table"))
        await self.control(
            "table", "faults", lose_next_answers=7, lose_next_requests=3
        )
        outcomes = collections.Counter()

        async def increment():
            row = await service.read("n")
            count, version = (int(row.value), row.version) if row else (0, 0)
            condition = table.Condition(key="n", version=version)
            put = table.Put(key="n", value=str(count + 1).encode())
            try:
                result = await service.commit(
                    table.Transaction(conditions=(condition,), puts=(put,))
                )
            except failures.OutcomeUnknownError:
                outcomes["unknown"] += 1
            else:
                outcomes[result.committed] += 1

        async def caller():
            for _ in range(10):
                await increment()

        await asyncio.gather(*(caller() for _ in range(8)))
        total = int((await service.read("n")).value)
        self.assertEqual(outcomes["unknown"], 10)
        self.assertEqual(sum(outcomes.values()), 80)
        self.assertGreaterEqual(total, outcomes[True])
        self.assertLessEqual(total, outcomes[True] + 7)

    async def test_each_kind_of_outage_is_classified(self):
        """A failure counts as not done only if that is certain.

        A read never has an effect. A commit had none if the service said so or
        could not be reached; if it was cut off or timed out, that is unknown.
        """
        for mode, expected in (
            ("refusing", failures.NotDoneError),
            ("cutting", failures.OutcomeUnknownError),
            ("hanging", failures.OutcomeUnknownError),
            ("gone", failures.NotDoneError),
        ):
            await self.control("table", "faults", down=mode)
            if mode == "hanging":
                timeout = datetime.timedelta(milliseconds=200)
            else:
                timeout = http_exchange.ANSWER_TIMEOUT
            exchange = self.exchange("table", answer_timeout=timeout)
            service = http_table.HttpTable(exchange=exchange)
            with self.subTest(mode), self.assertRaises(expected):
                await service.commit(table.Transaction())
            with self.subTest(mode), self.assertRaises(failures.NotDoneError):
                await service.read("k")
        await self.control("table", "faults", down="up")
        self.assertIsNone(await service.read("k"))

    async def test_a_rate_limit_carries_retry_after(self):
        store = http_weights.HttpWeights(exchange=self.exchange("weights"))
        self.assertIsNone(await store.describe(platform_case.SMALL_1))
        self.assertEqual(
            (await store.describe(platform_case.SMALL_2)).size_bytes, 1
        )
        self.assertTrue(
            await store.grant_download(platform_case.SMALL_2, "127.0.0.1:1")
        )
        with self.assertRaises(failures.NotDoneError) as caught:
            await store.grant_download(platform_case.SMALL_2, "127.0.0.1:1")
        self.assertTrue(caught.exception.overloaded)
        self.assertGreater(caught.exception.retry_after, datetime.timedelta())

    async def test_ratings_and_instances_arrive(self):
        service = http_ratings.HttpRatings(exchange=self.exchange("ratings"))
        await self.control("ratings", "settings", delay_ms=0, bias=-0.9)
        task = ratings.RatingTask(
            request_id="r",
            team="t",
            template="x",
            model_version=platform_case.SMALL_1,
            stage=0,
            prompt="p",
            answer="a",
        )
        await service.submit([task])
        given = await service.ratings_after(0)
        self.assertEqual([r.request_id for r in given], ["r"])
        self.assertLess(given[0].quality, 0.1)
        listing = http_instances.HttpInstances(
            exchange=self.exchange("instances")
        )
        listed = await listing.list_instances()
        expected = {
            self.addresses.named(name).address
            for name in ("engine", "registry")
        }
        self.assertEqual({i.address for i in listed}, expected)
        await self.control("instances", "remove", address=listed[0].address)
        self.assertEqual(await listing.list_instances(), listed[1:])


class RoundTripTest(unittest.TestCase):
    """Any keys and contents are stored and read unchanged."""

    @hypothesis.settings(max_examples=5)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(KEYS, strategies.binary(max_size=20)),
            min_size=1,
            max_size=20,
            unique_by=lambda pair: pair[0],
        )
    )
    def test_keys_and_contents(self, pairs):
        asyncio.run(self._store_and_compare(pairs))

    async def _store_and_compare(self, pairs):
        spec = fleet.FleetSpec(
            table=platform_case.SPEC.table, objects=platform_case.SPEC.objects
        )
        served = fleet.Fleet(clock=clock.SystemClock(), spec=spec)
        addresses = await served.start()
        async with (
            contextlib.AsyncExitStack() as stack,
            http_exchange.open_session() as session,
        ):
            stack.push_async_callback(served.stop)
            rows, blobs = (
                http_exchange.HttpExchange(
                    session=session, address=addresses.named(name).address
                )
                for name in ("table", "objects")
            )
            service = http_table.HttpTable(exchange=rows)
            store = http_objects.HttpObjects(exchange=blobs)
            puts = tuple(table.Put(key=k, value=v) for k, v in pairs)
            result = await service.commit(table.Transaction(puts=puts))
            for (key, content), version in zip(
                pairs, result.versions, strict=True
            ):
                row = table.Row(key=key, value=content, version=version)
                self.assertEqual(await service.read(key), row)
                self.assertTrue(await store.put_if_absent(key, content))
                self.assertFalse(await store.put_if_absent(key, b"other"))
                self.assertEqual(await store.get(key), content)
            keys = sorted(key for key, _ in pairs)
            scanned = await service.scan(prefix="", after=keys[0], limit=7)
            listed = await store.list_keys(prefix="", after=keys[0], limit=7)
            self.assertEqual([row.key for row in scanned], keys[1:8])
            self.assertEqual(listed, keys[1:8])
            await store.delete(keys[0])
            self.assertIsNone(await store.get(keys[0]))
