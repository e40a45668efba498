"""Servers that send an answer twice, the copy where the next one is due.

These answers bear no id of their call, so that a call took the copy of an
earlier call's answer for its own.
"""

import datetime
import unittest

import aiohttp
import msgspec

from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import client as administration
from nutmeghook.internal.config import rows as config_rows
from nutmeghook.internal.dependencies import engine as engine_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import bounded_http
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_instances
from nutmeghook.internal.standin_http import http_objects
from nutmeghook.internal.standin_http import http_table
from nutmeghook.platform import store
from tests import copying_server
from tests.cover import platform_case

CopyTime = copying_server.CopyTime
# What the server sends while no request is under way.
WHILE_IDLE = (CopyTime.IDLE, CopyTime.SAME_WRITE, CopyTime.AFTER_HEAD)
SECOND = datetime.timedelta(seconds=1)
REFUSAL = copying_server.answer(503, b'{"not_run":true}')
REPORT = b'{"loaded":[],"running":0,"waiting":0,"capacity":1,"age_ms":%d.0}'
TRANSACTION = table_module.Transaction(
    conditions=(table_module.Condition(key="a/k", version=0),),
    puts=(table_module.Put(key="a/k", value=b"v"),),
)


def ok(body: bytes) -> bytes:
    """Returns a success."""
    return copying_server.answer(200, body)


def outcome_of(operation_id: str) -> bytes:
    """Returns an answer of the administration API."""
    operation = config_rows.OperationRecord(
        operation_id=operation_id,
        outcome=config_rows.Outcome.ACCEPTED,
        author=config_rows.Author(team="t", name="n"),
        settled_at=datetime.datetime.fromtimestamp(0, datetime.UTC),
    )
    return ok(msgspec.json.encode(bodies.OperationAnswer(operation=operation)))


class EarlierCallsTest(unittest.IsolatedAsyncioTestCase):
    """Makes two calls, the first of which is answered twice."""

    async def asyncSetUp(self):
        self.server = copying_server.CopyingServer()
        self.address = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = http_exchange.open_session()
        self.addAsyncCleanup(self.session.close)
        self.exchange = http_exchange.HttpExchange(
            session=self.session, address=self.address
        )
        self.engine = http_engine.HttpEngineConnector(
            session=self.session
        ).connect(self.address)
        self.store = store.StoreClient(
            session=aiohttp.ClientSession(
                connector=bounded_http.BoundedConnector(limit=0)
            ),
            address=self.address,
        )
        self.addAsyncCleanup(self.store._session.close)

    async def second_of(self, call, *answers, copy_time):
        """Returns the outcome of the second call."""
        await self.server.begin(list(answers), copy_time)
        for _ in range(2):
            try:
                outcome = await call()
            except failures.PlatformError as error:
                outcome = type(error)
            await self.server.send_idle_copy()
        return outcome

    async def check(self, call, *answers, expected, copy_times=CopyTime):
        """The second call's outcome is that of its own answer."""
        for copy_time in copy_times:
            with self.subTest(copy_time):
                self.assertEqual(
                    await self.second_of(call, *answers, copy_time=copy_time),
                    expected,
                )

    async def generated(self) -> int:
        chunks = self.engine.generate(platform_case.GENERATION)
        return len([chunk async for chunk in chunks])

    async def test_a_copied_refusal_does_not_refuse_the_next_generation(self):
        """A generation that ran was sent to another engine as well."""
        chunk = engine_module.Chunk(
            attempt_id=platform_case.GENERATION.attempt_id,
            token_index=0,
            tokens=1,
            text="x",
            finish=engine_module.FinishReason.STOP,
        )
        own = ok(msgspec.json.encode(chunk) + b"\n")
        await self.check(self.generated, REFUSAL, own, expected=1)

    async def test_a_copied_order_state_is_not_the_next_order_s(self):
        """A version counted as loaded at an engine that was still loading."""
        order = engine_module.Order(
            order_id="1",
            fencing_token=1,
            kind=engine_module.OrderKind.LOAD,
            target=str(platform_case.SMALL_2),
        )
        await self.check(
            lambda: self.engine.order(order),
            ok(b'{"state":"done"}'),
            ok(b'{"state":"in_progress"}'),
            expected=engine_module.OrderState.IN_PROGRESS,
        )

    async def test_a_copied_refusal_does_not_end_a_cancellation(self):
        await self.check(
            lambda: self.engine.cancel("req-1/1"),
            REFUSAL,
            ok(b"{}"),
            expected=None,
        )

    async def test_cached_content_is_that_of_its_own_prefix(self):
        """Another prompt's cache was imported under this one's hash."""
        await self.check(
            lambda: self.engine.export_cache("2"),
            ok(b"first"),
            ok(b"second"),
            expected=b"second",
        )

    async def test_a_copy_does_not_decide_a_transaction(self):
        """A ledger row counted as written that was not, and the reverse."""
        table = http_table.HttpTable(exchange=self.exchange)
        committed = ok(b'{"committed":true,"versions":[1]}')
        failed = ok(b'{"committed":false}')

        async def commit():
            return (await table.commit(TRANSACTION)).committed

        await self.check(commit, committed, failed, expected=False)
        await self.check(commit, failed, committed, expected=True)
        await self.check(commit, REFUSAL, committed, expected=True)

    async def test_rows_and_blobs_are_those_that_were_asked_for(self):
        table = http_table.HttpTable(exchange=self.exchange)
        row = ok(b'{"row":{"key":"k","value":"","version":1}}')
        await self.check(
            lambda: table.read("j"), row, ok(b'{"row":null}'), expected=None
        )
        objects = http_objects.HttpObjects(exchange=self.exchange)
        await self.check(
            lambda: objects.get("j"), ok(b"k"), ok(b"j"), expected=b"j"
        )

    async def test_a_copy_does_not_decide_a_transaction_of_the_store(self):
        """A lease counted as taken that another instance held."""
        rows = store.StoreRows(client=self.store)
        body = b'{"rows":[],"rowVersion":7,"nowMs":5}'
        committed = ok(body)
        failed = copying_server.answer(412, body)

        async def commit():
            return (await rows.commit(TRANSACTION)).committed

        await self.check(commit, committed, failed, expected=False)
        await self.check(commit, failed, committed, expected=True)
        nothing_done = copying_server.answer(503, b"")
        await self.check(commit, nothing_done, committed, expected=True)

    async def test_changes_are_those_of_the_table_that_is_followed(self):
        """A table without changes counted as read up to a version of which
        it had some.
        """
        tables = [
            store.PlatformTable(client=self.store, name=name) for name in "ba"
        ]
        for read in (
            lambda table: table.read_all(),
            lambda table: table.changes(4, SECOND),
        ):
            await self.check(
                lambda read=read: self.first_key(read(tables[0])),
                ok(b'{"rows":[],"rowVersion":7,"nowMs":5}'),
                ok(
                    b'{"rows":[{"key":"k","table":"b","value":"","rowVersion":6}]'
                    b',"rowVersion":8,"nowMs":6}'
                ),
                expected="k",
            )

    async def first_key(self, reading) -> str | None:
        rows = (await reading).rows
        return rows[0].key if rows else None

    async def test_kept_connections_bring_nothing_of_before(self):
        """Bytes that arrive while a connection is idle end it."""
        listing = http_instances.HttpInstances(exchange=self.exchange)

        async def age_ms():
            return (await self.engine.load_report()).age_ms

        await self.check(
            age_ms,
            ok(REPORT % 1),
            ok(REPORT % 2),
            expected=2,
            copy_times=WHILE_IDLE,
        )
        listed = instances.ListedInstance(
            address="10.0.0.1:80",
            role=instances.InstanceRole.ENTRY,
            state=instances.InstanceState.LIVE,
            region="r",
            data_centre="r-1",
        )
        await self.check(
            listing.list_instances,
            ok(
                msgspec.json.encode(
                    http_instances.InstancesAnswer(instances=[listed])
                )
            ),
            ok(b'{"instances":[]}'),
            expected=[],
            copy_times=WHILE_IDLE,
        )

    async def test_an_operation_s_outcome_is_its_own(self):
        """An operator was told that a change is in force that was not."""
        async with administration.AdministrationClient(
            base_url=f"http://{self.address}",
            token="t",
            clock=clock_module.SystemClock(),
        ) as client:

            async def outcome():
                answer = await client.known_outcome("any")
                return answer.operation.operation_id

            await self.check(
                outcome, outcome_of("1"), outcome_of("2"), expected="2"
            )

    async def test_polls_share_a_connection(self):
        """A connection for each poll costs nearly three times the time."""
        await self.server.begin([ok(REPORT % 1)] * 4, None)
        for _ in range(4):
            await self.engine.load_report()
        self.assertEqual(self.server.connections, 1)


if __name__ == "__main__":
    unittest.main()
