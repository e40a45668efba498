"""What is decided before a request is sent still holds as its bytes leave."""

import asyncio
import contextlib
import datetime
import random
import unittest

import aiohttp
from aiohttp import web
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.entry import listener as listener_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner import local
from nutmeghook.internal.routing import chooser as chooser_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import ejection
from nutmeghook.internal.routing import load_book
from nutmeghook.internal.routing import standstill
from nutmeghook.internal.standin_http import http_engine
from tests import fakes

MS = datetime.timedelta(milliseconds=1)
MYSELF = "10.0.0.1:7000"
# From before a withdrawal until after its bound.
PAUSE = datetime.timedelta(seconds=5)


class HeldConnector(aiohttp.TCPConnector):
    """Makes connections when the test lets it."""

    def __init__(self):
        super().__init__(limit=0)
        self.asked = asyncio.Event()
        self.let_go = asyncio.Event()

    async def connect(self, *arguments, **parameters):
        self.asked.set()
        await self.let_go.wait()
        return await super().connect(*arguments, **parameters)


class PauseBeforeTheWriteTest(unittest.IsolatedAsyncioTestCase):
    """One instance with its real choice, watch and adapter of engines."""

    async def asyncSetUp(self):
        self.ran: list[str] = []
        application = web.Application()
        application.router.add_post(http_engine.GENERATE_PATH, self.generate)
        application.router.add_post(http_engine.CANCEL_PATH, self.cancel)
        self.listener = listener_module.Listener(application=application)
        await self.listener.start(host="127.0.0.1", port=0)
        self.addAsyncCleanup(self.listener.stop)
        self.held = HeldConnector()
        session = aiohttp.ClientSession(connector=self.held)
        self.addAsyncCleanup(session.close)
        self.fixture = fakes.Fixture()
        self.sink = fakes.RecordingSink()
        self.network = local.LocalNetwork(clock=self.fixture.clock)
        own = self.network.clock_of(MYSELF)
        self.watch = standstill.StandstillWatch(
            clock=own, events=self.fixture.events
        )
        self.fixture.backends = self.chooser(own)
        connector = http_engine.HttpEngineConnector(session=session)
        self.fixture.connect = connector.connect

    def chooser(self, own) -> chooser_module.LeastLoadedChooser:
        events = self.fixture.events
        book = load_book.LoadBook(clock=own)
        self.directory = directory_module.BackendDirectory(
            clock=own, events=events, book=book
        )
        self.list_engine(instances.InstanceState.LIVE)
        self.directory.note_report(
            self.directory.find(self.listener.address),
            engine.LoadReport(
                loaded=(fakes.SMALL, fakes.LARGE),
                running=0,
                waiting=0,
                capacity=16,
            ),
            measured_at=own.monotonic(),
        )
        return chooser_module.LeastLoadedChooser(
            directory=self.directory,
            book=book,
            ejector=ejection.OutlierEjector(
                directory=self.directory, clock=own, events=events
            ),
            sharer=None,
            clock=own,
            rng=random.Random(7),
            standstill=self.watch,
        )

    def list_engine(self, state: instances.InstanceState) -> None:
        self.directory.apply_list(
            [
                instances.ListedInstance(
                    address=self.listener.address,
                    role=instances.InstanceRole.MODEL_ENGINE,
                    state=state,
                    region="r",
                    data_centre="r-1",
                    service="engines",
                )
            ]
        )

    async def generate(self, request: web.Request) -> web.Response:
        wanted = msgspec.json.decode(
            await request.read(), type=engine.Generation
        )
        self.ran.append(wanted.attempt_id)
        chunk = engine.Chunk(
            attempt_id=wanted.attempt_id,
            token_index=0,
            tokens=1,
            text="It does.",
            finish=engine.FinishReason.STOP,
        )
        return web.Response(body=msgspec.json.encode(chunk) + b"\n")

    async def cancel(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({})

    async def asked(self) -> asyncio.Task:
        """Sends a request up to the connection that it needs."""
        work = asyncio.ensure_future(
            self.fixture.dispatcher().generate(
                fakes.generation_request(self.fixture), self.sink
            )
        )
        await self.held.asked.wait()
        return work

    async def ended(self, work: asyncio.Task):
        """Awaits work that waits for the clock and for loopback sockets."""
        while not work.done():
            await asyncio.sleep(0.001)
            await self.fixture.clock.advance(10 * MS)
        return await work

    async def test_a_request_chosen_before_a_pause_is_not_sent_after_it(self):
        """The caller hears "not run", and no backend server gets the work.

        Version and backend server were chosen; the connection is still being
        made when the process is stopped, and made when it goes on 5 s later.
        By then the version may be withdrawn and the server have left, which
        this instance can't know yet. Sending by the choice would run work on
        a withdrawn version after the bound.
        """
        ticking = asyncio.create_task(self.watch.run())
        work = await self.asked()
        self.network.freeze(MYSELF)
        await self.fixture.clock.advance(PAUSE)
        self.network.thaw(MYSELF)
        self.held.let_go.set()
        with self.assertRaises(errors.CodedError) as raised:
            await self.ended(work)
        self.assertIs(raised.exception.run_state, codes.RunState.NOT_RUN)
        self.assertIsNotNone(raised.exception.retry_after)
        self.assertEqual(self.ran, [])
        ticking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await ticking

    async def test_without_a_pause_it_is_sent(self):
        """The same connection, made at once: the caller has its answer."""
        work = await self.asked()
        self.held.let_go.set()
        await self.ended(work)
        self.assertEqual(self.sink.text, "It does.")
        self.assertEqual(self.ran, ["req-1/1"])


if __name__ == "__main__":
    unittest.main()
