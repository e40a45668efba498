"""A request's version and backend server are checked as its bytes leave."""

import asyncio
import contextlib
import datetime
import random
import socket
import unittest

import aiohttp
from aiohttp import base_protocol
from aiohttp import web
import msgspec
import multidict
import uvloop

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.entry import listener as listener_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner import local
from nutmeghook.internal.routing import chooser as chooser_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import ejection
from nutmeghook.internal.routing import load_tracker
from nutmeghook.internal.routing import stall_detector
from nutmeghook.internal.standin_http import checked_body
from nutmeghook.internal.standin_http import http_engine
from tests import entry_fixture
from tests import fakes

MS = datetime.timedelta(milliseconds=1)
NEXT = engine.ModelVersion(model=fakes.SMALL.model, version="2")
MYSELF = "10.0.0.1:7000"
# From before a withdrawal until after its bound.
PAUSE = datetime.timedelta(seconds=5)


class DelayedConnector(aiohttp.TCPConnector):
    """Delays connections until the test releases them."""

    def __init__(self):
        super().__init__(limit=0)
        self.asked = asyncio.Event()
        self.released = asyncio.Event()

    async def connect(self, *arguments, **parameters):
        self.asked.set()
        await self.released.wait()
        return await super().connect(*arguments, **parameters)


class PauseBeforeTheWriteTest(unittest.IsolatedAsyncioTestCase):
    """One instance with its real chooser, stall detector and engine adapter."""

    async def asyncSetUp(self):
        self.ran: list[engine.ModelVersion] = []
        application = web.Application()
        application.router.add_post(http_engine.GENERATE_PATH, self.generate)
        application.router.add_post(http_engine.CANCEL_PATH, self.cancel)
        self.listener = listener_module.Listener(
            application=application,
            connections=entry_fixture.connections(clock_module.FakeClock()),
        )
        await self.listener.start(host="127.0.0.1", port=0)
        self.addAsyncCleanup(self.listener.stop)
        self.delayed_connector = DelayedConnector()
        session = aiohttp.ClientSession(connector=self.delayed_connector)
        self.addAsyncCleanup(session.close)
        stage = documents.Stage(
            model=fakes.SMALL.model,
            versions=(
                documents.VersionEntry(version=fakes.SMALL.version),
                documents.VersionEntry(version=NEXT.version),
            ),
        )
        self.fixture = fakes.Fixture(stages=(stage,))
        # An attempt that was never sent needs no retry permission.
        self.fixture.budget.permits = 0
        self.sink = fakes.RecordingSink()
        self.network = local.LocalNetwork(clock=self.fixture.clock)
        own = self.network.clock_of(MYSELF)
        self.detector = stall_detector.StallDetector(
            clock=own, events=self.fixture.events
        )
        self.fixture.backends = self.chooser(own)
        connector = http_engine.HttpEngineConnector(session=session)
        self.fixture.connect = connector.connect

    def chooser(self, own) -> chooser_module.LeastLoadedChooser:
        events = self.fixture.events
        tracker = load_tracker.LoadTracker(clock=own)
        self.directory = directory_module.BackendDirectory(
            clock=own, events=events, tracker=tracker
        )
        self.list_engine(instances.InstanceState.LIVE)
        self.directory.note_report(
            self.directory.find(self.listener.address),
            engine.LoadReport(
                loaded=(fakes.SMALL, NEXT),
                running=0,
                waiting=0,
                capacity=16,
            ),
            measured_at=own.monotonic(),
        )
        return chooser_module.LeastLoadedChooser(
            directory=self.directory,
            tracker=tracker,
            ejector=ejection.OutlierEjector(
                directory=self.directory, clock=own, events=events
            ),
            gossiper=None,
            clock=own,
            rng=random.Random(7),
            stall_detector=self.detector,
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
        self.ran.append(wanted.model_version)
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

    async def start_request(self) -> asyncio.Task:
        """Starts a request and waits until it needs its connection."""
        work = asyncio.ensure_future(
            self.fixture.dispatcher().generate(
                fakes.generation_request(self.fixture), self.sink
            )
        )
        await self.delayed_connector.asked.wait()
        return work

    async def ended(self, work: asyncio.Task):
        """Awaits work that waits for the clock and for loopback sockets."""
        while not work.done():
            await asyncio.sleep(0.001)
            await self.fixture.clock.advance(10 * MS)
        return await work

    async def test_a_request_chosen_before_a_pause_is_not_sent_after_it(self):
        """A process is stopped for 5 s between the choice and the send.

        Meanwhile the version may be withdrawn and the server leave, unknown to
        this instance. The caller must get "not run", or work would run on a
        withdrawn version after the bound.
        """
        ticking = asyncio.create_task(self.detector.run())
        work = await self.start_request()
        self.network.freeze(MYSELF)
        await self.fixture.clock.advance(PAUSE)
        self.network.thaw(MYSELF)
        self.delayed_connector.released.set()
        with self.assertRaises(errors.CodedError) as raised:
            await self.ended(work)
        self.assertIs(raised.exception.run_state, codes.RunState.NOT_RUN)
        self.assertIsNotNone(raised.exception.retry_after)
        self.assertEqual(self.ran, [])
        ticking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await ticking

    async def test_without_a_pause_it_is_sent(self):
        """The connection is made at once, and the caller gets its answer."""
        work = await self.start_request()
        self.delayed_connector.released.set()
        await self.ended(work)
        self.assertEqual(self.sink.text, "It does.")
        self.assertEqual(self.ran, [fakes.SMALL])

    async def test_a_version_withdrawn_meanwhile_gets_no_work(self):
        """The caller gets the other version's answer, from the same server.

        The instance receives the withdrawal while the request's connection is
        made, which may take a second. It may arrive just before the bound, so
        that the work would begin after it.
        """
        work = await self.start_request()
        self.fixture.versions.withdrawn.add(fakes.SMALL)
        self.delayed_connector.released.set()
        await self.ended(work)
        self.assertEqual(self.sink.text, "It does.")
        self.assertEqual(self.ran, [NEXT])

    async def test_a_server_that_left_meanwhile_gets_no_work(self):
        """The caller gets "not run", since there is no other server here."""
        work = await self.start_request()
        self.list_engine(instances.InstanceState.LEAVING)
        self.delayed_connector.released.set()
        with self.assertRaises(errors.CodedError) as raised:
            await self.ended(work)
        self.assertIs(raised.exception.run_state, codes.RunState.NOT_RUN)
        self.assertEqual(self.ran, [])

    async def test_repeated_withholding_ends(self):
        """Versions are withdrawn in turn; the caller finally gets "not run"."""
        work = await self.start_request()
        check = self.fixture.versions.check_dispatch
        asked = []

        def refuse_each_second_time(*, template, choice):
            asked.append(choice)
            check(template=template, choice=choice)
            if len(asked) % 2:
                raise errors.CodedError(code=codes.Code.NO_CANDIDATE)

        self.fixture.versions.check_dispatch = refuse_each_second_time
        self.delayed_connector.released.set()
        with self.assertRaises(errors.CodedError) as raised:
            await self.ended(work)
        self.assertIs(raised.exception.run_state, codes.RunState.NOT_RUN)
        self.assertEqual(self.ran, [])


class CheckedBodyTest(unittest.TestCase):
    """A body on a connection of uvloop, which all processes use."""

    def sent_in_one_step(self, check_send: engine.SendCheck) -> bytes:
        """Returns what was sent before the event loop's next iteration."""
        return uvloop.run(self.write(check_send))

    async def write(self, check_send: engine.SendCheck) -> bytes:
        mine, peer = socket.socketpair()
        peer.setblocking(False)
        loop = asyncio.get_running_loop()
        transport, protocol = await loop.create_connection(
            lambda: base_protocol.BaseProtocol(loop), sock=mine
        )
        writer = aiohttp.http.StreamWriter(protocol, loop)
        await writer.write_headers("POST / HTTP/1.1", multidict.CIMultiDict())
        body = checked_body.CheckedBody(
            content=b"content", check_send=check_send
        )
        with peer, contextlib.closing(transport):
            with contextlib.suppress(failures.WithheldError):
                await body.write_with_length(writer, None)
            try:
                return peer.recv(1000)
            except BlockingIOError:
                return b""

    def test_nothing_is_sent_before_the_check_and_all_in_one_step(self):
        """A process that is stopped after the check has sent all already.

        Otherwise the request would be sent when the process continues seconds
        later, after the bound of a withdrawal unknown to it.
        """
        sent = self.sent_in_one_step(lambda: None)
        self.assertTrue(sent.startswith(b"POST /"), sent)
        self.assertTrue(sent.endswith(b"content"), sent)

    def test_a_withheld_request_is_not_sent_in_part(self):
        """Its caller gets "not run", so not even its header may be sent."""

        def refuse() -> None:
            raise failures.WithheldError("it was withdrawn")

        self.assertEqual(self.sent_in_one_step(refuse), b"")


if __name__ == "__main__":
    unittest.main()
