"""Servers that send an answer twice, the copy where the next one is due.

These answers bear no id of their call, so that a call took the copy of an
earlier call's answer for its own.
"""

import datetime
import unittest

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_instances
from tests import copying_server

CopyTime = copying_server.CopyTime
# What the server sends while no request is under way.
WHILE_IDLE = (CopyTime.IDLE, CopyTime.SAME_WRITE, CopyTime.AFTER_HEAD)
SECOND = datetime.timedelta(seconds=1)
REPORT = b'{"loaded":[],"running":0,"waiting":0,"capacity":1,"age_ms":%d.0}'


def ok(body: bytes) -> bytes:
    """Returns a success."""
    return copying_server.answer(200, body)


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

    async def check(self, call, *answers, expected, copy_times):
        """The second call's outcome is that of its own answer."""
        for copy_time in copy_times:
            with self.subTest(copy_time):
                self.assertEqual(
                    await self.second_of(call, *answers, copy_time=copy_time),
                    expected,
                )

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


if __name__ == "__main__":
    unittest.main()
