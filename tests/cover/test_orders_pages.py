"""Report pages of cells, and orders that are planned by them."""

import asyncio
import copy
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.orders import cell_reports
from nutmeghook.internal.orders import report_pages
from nutmeghook.internal.routing import backends
from tests.cover import orders_fixture
from tests.cover import test_orders_planning as planning_case

SECOND = datetime.timedelta(seconds=1)
V1, V2 = planning_case.version(1), planning_case.version(2)


class LatePages(cell_reports.ReportSource):
    """Reports what was loaded on a fixture's engines some time ago."""

    def __init__(self, fixture, *, lag_s):
        self._fixture = fixture
        self._lag = lag_s * SECOND
        self._pages = []

    async def gather(self):
        now = self._fixture.clock.monotonic()
        engines = [
            report_pages.ReportedEngine(
                address=address,
                loaded=frozenset((await one.load_report()).loaded),
                leaving=False,
            )
            for address, one in self._fixture.engines.items()
        ]
        self._pages.append(
            report_pages.ReportPage(
                engines=tuple(engines), content_hash=1, oldest_at=now
            )
        )
        late = [p for p in self._pages if now - p.oldest_at >= self._lag]
        return cell_reports.GatheredReports(pages=tuple(late[-1:]))


class LatePagesTest(unittest.TestCase):
    """The holder orders by pages that are 20 s late."""

    def test_no_load_is_ordered_twice(self):
        """A load is done, and the cells' pages don't show it yet.

        The engine answers "done" to the repeated order. By the pages alone the
        holder would conclude that the load was undone, and order it again.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture()
            pages = LatePages(fixture, lag_s=20)
            await pages.gather()
            await fixture.clock.advance(30 * SECOND)
            holder = fixture.holder(orders_fixture.FakeLease(1), reports=pages)
            await fixture.run(holder, 150)
            self.assertEqual(len(await fixture.replicas(V2)), 2)
            ids = {record.order_id for record in fixture.orders()}
            self.assertEqual(len(ids), 2)

        asyncio.run(scenario())

    def test_a_load_that_is_done_makes_room_for_the_next(self):
        """Eight loads, four at once, of ten seconds each.

        The second four must not wait until the pages show the first four:
        engines with an open order are read directly.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(8, grants_per_s=100.0)
            pages = LatePages(fixture, lag_s=20)
            await pages.gather()
            await fixture.clock.advance(30 * SECOND)
            config = planning_case.snapshot(
                v1="serving:50", v2="rolling_out:50"
            )
            holder = fixture.holder(
                orders_fixture.FakeLease(1), config=config, reports=pages
            )
            await fixture.run(holder, 40)
            self.assertEqual(len(await fixture.replicas(V2)), 8)

        asyncio.run(scenario())

    def test_a_load_undone_before_it_was_reported(self):
        """An order of a former holder unloads what was just loaded.

        The engine keeps answering "done" to the load, and its reports never
        show it. The load must be ordered again under another id before the
        order times out after a quarter of an hour.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(2)
            pages = LatePages(fixture, lag_s=20)
            holder = fixture.holder(orders_fixture.FakeLease(1), reports=pages)
            running = asyncio.ensure_future(holder.run())
            while not (loaded := await fixture.replicas(V2)):
                await fixture.clock.advance(0.01 * SECOND)
            await fixture.engines[loaded[0]].order(
                engine.Order(
                    order_id="late",
                    kind=engine.OrderKind.UNLOAD,
                    target=str(V2),
                    fencing_token=1,
                )
            )
            await fixture.clock.advance(60 * SECOND)
            running.cancel()
            self.assertEqual(len(await fixture.replicas(V2)), 2)

        asyncio.run(scenario())

    def test_a_withdrawn_version_goes_as_soon_as_its_engine_is_idle(self):
        """Pages don't say whether an engine is idle, so it is read directly.

        Otherwise the version would stay for twice the longest deadline.
        """

        async def scenario():
            fixture = orders_fixture.OrdersFixture(3)
            await fixture.load_everywhere(V2)
            pages = LatePages(fixture, lag_s=20)
            await pages.gather()
            await fixture.clock.advance(30 * SECOND)
            config = planning_case.snapshot(v1="withdrawn", v2="serving:100")
            holder = fixture.holder(
                orders_fixture.FakeLease(1), config=config, reports=pages
            )
            await fixture.run(holder, 40)
            self.assertEqual(await fixture.replicas(V1), [])
            self.assertEqual(len(await fixture.replicas(V2)), 3)

        asyncio.run(scenario())


_REPORTED = strategies.lists(
    strategies.tuples(
        strategies.sets(strategies.sampled_from([V1, V2])),
        strategies.booleans(),
    ),
    max_size=8,
)


class PageTest(unittest.TestCase):
    """Encoding and decoding of pages."""

    @hypothesis.given(_REPORTED, strategies.integers(0, 19_000))
    def test_pages_survive_encoding_and_decoding(self, reported, age_ms):
        now = 100 * SECOND
        age = datetime.timedelta(milliseconds=age_ms)
        known = [
            backends.Backend(
                address=f"10.0.1.{number}:80",
                region="r",
                data_centre="c0",
                service="pool",
                leaving=leaving,
                report=engine.LoadReport(
                    loaded=tuple(loaded), running=0, waiting=0, capacity=8
                ),
                reported_at=now - age,
            )
            for number, (loaded, leaving) in enumerate(reported)
        ]
        # Of another cell, which reports it more often than this one polls it.
        remote = backends.Backend(
            address="10.0.2.1:80",
            region="r",
            data_centre="c0",
            service="pool",
            locality=backends.Locality.OWN_DATA_CENTRE,
            report=engine.LoadReport(
                loaded=(V1,), running=0, waiting=0, capacity=8
            ),
            reported_at=now,
        )
        page = report_pages.page_of([*known, remote], now)
        self.assertEqual(len(page.engines), len(known))
        for known_page in (None, page):
            message = report_pages.write_page(
                page,
                known_hash=known_page.content_hash if known_page else 0,
                now=now,
            )
            data = codec.encode(message, sequence=1).data
            got = report_pages.read_page(
                codec.decode(data).message, known=known_page, asked_at=now
            )
            self.assertEqual(got, page)

    def test_inconsistent_fields_are_rejected(self):
        page = ttypes.LoadedPage(
            content_hash=5,
            age_ms=0,
            addresses=["a"],
            version_sets=[""],
            set_numbers=[0],
            leaving=[],
        )
        for name, value in (
            ("addresses", None),
            ("addresses", ["a", "b"]),
            ("set_numbers", [1]),
            ("set_numbers", [-1]),
            ("version_sets", ["no version"]),
            ("version_sets", None),
            ("leaving", None),
            ("age_ms", None),
            ("age_ms", -1),
        ):
            wrong = copy.copy(page)
            setattr(wrong, name, value)
            with self.subTest(name, value=value):
                self.assertIsNone(
                    report_pages.read_page(wrong, known=None, asked_at=SECOND)
                )
