"""A silent engine is timed out, before and after the response head."""

import asyncio
import datetime
import unittest

from aiohttp import web
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.entry import listener as listener_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_exchange
from tests import entry_fixture

GENERATION = engine.Generation(
    attempt_id="req-1/1",
    model_version=engine.ModelVersion(model="small", version="1"),
    messages=(),
    max_tokens=9,
)
# The first chunk has to arrive within it, even on a busy machine.
SILENCE_LIMIT = datetime.timedelta(seconds=1)
# Only ends a test that would hang.
HANGS_AFTER_S = 30


class SilentEngineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        application = web.Application()
        application.router.add_post(http_engine.GENERATE_PATH, self.answer)
        self.listener = listener_module.Listener(
            application=application,
            connections=entry_fixture.connections(clock_module.FakeClock()),
        )
        await self.listener.start(host="127.0.0.1", port=0)
        self.addAsyncCleanup(self.listener.stop)
        session = http_exchange.open_session()
        self.addAsyncCleanup(session.close)
        connector = http_engine.HttpEngineConnector(
            session=session, read_timeout=SILENCE_LIMIT
        )
        self.engine = connector.connect(self.listener.address)
        self.speaks_first = True

    async def answer(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        if self.speaks_first:
            chunk = engine.Chunk(
                attempt_id="req-1/1", token_index=0, tokens=1, text="The "
            )
            await response.prepare(request)
            await response.write(msgspec.json.encode(chunk) + b"\n")
        await asyncio.get_running_loop().create_future()
        return response

    async def read(self) -> list[str]:
        texts = []
        with self.assertRaises(failures.OutcomeUnknownError):
            async with asyncio.timeout(HANGS_AFTER_S):
                async for chunk in self.engine.generate(GENERATION):
                    texts.append(chunk.text)
        return texts

    async def test_silence_in_mid_stream_is_a_cut(self):
        """One chunk arrives, then nothing, on a connection that stays open.

        So it is when the engine's host disappears. The read must end as a cut,
        so that the stream is resumed instead of hanging until its deadline.
        """
        self.assertEqual(await self.read(), ["The "])

    async def test_silence_before_the_head_is_an_unknown_outcome(self):
        """The attempt ends; whether it ran is unknown."""
        self.speaks_first = False
        self.assertEqual(await self.read(), [])
