"""Reads of the instance list that ask for changes only."""

import asyncio
import contextlib
import datetime
import unittest

from aiohttp import web
import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.dependencies import shared_instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_instances
from nutmeghook.standins import memory_instances
from nutmeghook.standins import platform_apps
from nutmeghook.standins import serving

SECOND = datetime.timedelta(seconds=1)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["put", "leave", "remove", "read", "lose"]),
        strategies.integers(0, 5),
    ),
    max_size=30,
)


def line(number, state=instances.InstanceState.LIVE):
    """Returns a line of the list."""
    return instances.ListedInstance(
        address=f"10.0.0.{number}:80",
        role=instances.InstanceRole.MODEL_ENGINE,
        state=state,
        region="r",
        data_centre="d",
    )


@contextlib.asynccontextmanager
async def served(stand_in):
    """Serves a stand-in; gives an adapter for it."""
    server = serving.StandInServer(
        name="list", stand_in=stand_in, host="127.0.0.1"
    )
    await server.start()
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(server.stop)
        session = await stack.enter_async_context(http_exchange.open_session())
        exchange = http_exchange.HttpExchange(
            session=session, address=server.address
        )
        yield http_instances.HttpInstances(exchange=exchange)


class ChangesTest(unittest.TestCase):
    """A list built from changes equals the list itself."""

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(STEPS)
    def test_any_changes_between_reads(self, steps):
        asyncio.run(self._follow(steps))

    async def _follow(self, steps):
        memory = memory_instances.MemoryInstances(
            clock=clock_module.FakeClock(),
            listed=tuple(line(number) for number in range(3)),
        )
        stand_in = platform_apps.InstancesStandIn(memory=memory)
        async with served(stand_in) as adapter:
            for what, number in (*steps, ("read", 0)):
                if what == "put":
                    memory.put(line(number))
                elif what == "leave":
                    memory.put(line(number, instances.InstanceState.LEAVING))
                elif what == "remove":
                    memory.remove(line(number).address)
                elif what == "lose":
                    # A server of the platform that has no earlier list.
                    stand_in._changes.__init__()
                else:
                    got = await adapter.list_instances()
                    expected = await memory.list_instances()
                    self.assertCountEqual(got, expected)


class MalformedListTest(unittest.IsolatedAsyncioTestCase):
    """Services that don't send changes, or send wrong ones."""

    async def adapter(self, *answers):
        """Returns an adapter for a service with these answers, in order."""
        self.asked = []
        left = iter(answers)

        async def answer(request):
            tag = request.headers.get("If-None-Match", "")
            self.asked.append(tag + request.query_string)
            status, entity_tag, body = next(left)
            return web.Response(
                status=status,
                body=msgspec.json.encode(body),
                headers={"ETag": entity_tag} if entity_tag else {},
            )

        app = web.Application()
        app.add_routes([web.get(http_instances.LIST_PATH, answer)])
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        session = http_exchange.open_session()
        self.addAsyncCleanup(session.close)
        return http_instances.HttpInstances(
            exchange=http_exchange.HttpExchange(
                session=session, address=f"127.0.0.1:{runner.addresses[0][1]}"
            )
        )

    async def test_a_service_without_tags_gives_whole_lists(self):
        adapter = await self.adapter(
            (200, "", {"instances": [line(1), line(2)]}),
            (200, "", {"instances": [line(2)]}),
            (304, "", None),
        )
        self.assertEqual(len(await adapter.list_instances()), 2)
        self.assertEqual(await adapter.list_instances(), [line(2)])
        # "Not modified" is no valid answer to an unconditional request.
        with self.assertRaises(failures.NotDoneError):
            await adapter.list_instances()
        self.assertEqual(self.asked, ["", "", ""])

    async def test_inconsistent_changes_are_not_applied(self):
        """The service sends changes to another list, then leaves out a line.

        Applied, they would leave a line missing or live for as long as the tag
        stays the same. The whole list is read again in the same call.
        """
        whole = {"instances": [line(1), line(2), line(3)]}
        other_list = {"instances": [line(3)], "since": '"z"', "total": 2}
        line_left_out = {"instances": [], "since": '"b"', "total": 4}
        adapter = await self.adapter(
            (200, '"a"', {"instances": [line(1)]}),
            (200, '"b"', other_list),
            (200, '"b"', whole),
            (200, '"c"', line_left_out),
            (200, '"c"', whole),
            (304, '"c"', None),
        )
        self.assertEqual(await adapter.list_instances(), [line(1)])
        for _ in range(3):
            self.assertEqual(len(await adapter.list_instances()), 3)
        self.assertEqual(
            self.asked,
            ["", '"a"changes=1', "", '"b"changes=1', "", '"c"changes=1'],
        )

    async def test_a_failed_read_keeps_what_is_known(self):
        """After a failed read the next one continues from the known list.

        An emptied list is returned as it is: whether it is a fault is for
        routing to decide.
        """
        added = {"instances": [line(2)], "since": '"a"', "total": 2}
        both = [line(1).address, line(2).address]
        emptied = {"removed": both, "since": '"b"', "total": 0}
        adapter = await self.adapter(
            (200, '"a"', {"instances": [line(1)]}),
            (503, "", {"not_run": True, "overloaded": True}),
            (200, '"b"', "no list"),
            (304, '"a"', None),
            (200, '"b"', added),
            (200, '"c"', {"instances": [], **emptied}),
        )
        await adapter.list_instances()
        for _ in range(2):
            with self.assertRaises(failures.NotDoneError):
                await adapter.list_instances()
        self.assertEqual(await adapter.list_instances(), [line(1)])
        self.assertEqual(await adapter.list_instances(), [line(1), line(2)])
        self.assertEqual(await adapter.list_instances(), [])
        expected = ["", *['"a"changes=1'] * 4, '"b"changes=1']
        self.assertEqual(self.asked, expected)


class SharedListTest(unittest.IsolatedAsyncioTestCase):
    """Several components of a process share one read."""

    async def test_only_a_list_that_is_too_old_is_read_again(self):
        """A view reads only if routing's last read is too old.

        Routing reads at 0 s and the list changes; a view of 5 s returns the old
        list at 5 s and the new one at 6 s. Then the list service fails: the
        view returns the last list until it is 5 s old, and then fails too.
        """
        clock = clock_module.FakeClock()
        memory = memory_instances.MemoryInstances(clock=clock)
        shared = shared_instances.SharedInstanceList(
            instance_list=memory, clock=clock
        )
        view = shared.recent(5 * SECOND)
        self.assertEqual(await shared.list_instances(), [])
        await clock.advance(5 * SECOND)
        memory.put(line(1))
        self.assertEqual(await view.list_instances(), [])
        await clock.advance(SECOND)
        self.assertEqual(await view.list_instances(), [line(1)])
        memory.faults.down = True
        with self.assertRaises(failures.NotDoneError):
            await shared.list_instances()
        await clock.advance(5 * SECOND)
        self.assertEqual(await view.list_instances(), [line(1)])
        await clock.advance(SECOND)
        with self.assertRaises(failures.NotDoneError):
            await view.list_instances()
