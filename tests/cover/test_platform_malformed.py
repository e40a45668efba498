"""The adapters against servers that break docs/STANDIN_INTERFACES.md."""

import asyncio
import contextlib
import unittest

from aiohttp import web
import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_plain
from nutmeghook.internal.standin_http import http_table
from tests.cover import platform_case


class MalformedServerTest(unittest.IsolatedAsyncioTestCase):
    """Servers whose answers the page of interfaces rules out."""

    async def serve(self, answer) -> str:
        """Serves a handler and returns its address."""
        app = web.Application()
        app.add_routes([web.route("*", "/{path:.*}", answer)])
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def test_an_answer_without_not_run_proves_nothing(self):
        """A proxy before the service answers with a page or a redirection.

        The outcome of a write is unknown then, and a plain service's answer is
        passed on unchanged. Following the redirection would make the call
        again elsewhere.
        """
        calls = []
        for status, body in (
            (503, b"<p>out"),
            (503, b'{"not_run": false}'),
            (500, b"{}"),
            (200, b"<p>welcome"),
            (200, b'{"more":' + b"[" * 100_000),
            (307, b""),
        ):

            async def answer(request, status=status, body=body):
                calls.append(request.method)
                return web.Response(
                    status=status,
                    body=body,
                    content_type="application/json",
                    headers={"Location": "/elsewhere"},
                )

            address = await self.serve(answer)
            with self.subTest(status=status, body=body):
                await self.check_nothing_is_proved(address)
                opened = http_exchange.open_session(reuse_connections=False)
                async with opened as session:
                    services = http_plain.HttpPlainServices(session=session)
                    call = plain.PlainCall(
                        request_id="r", method="POST", path="/"
                    )
                    got = await services.call(address, call)
                self.assertEqual((got.status, got.body), (status, body))
        self.assertEqual(calls, ["POST", "GET", "POST", "POST"] * 6)

    async def check_nothing_is_proved(self, address):
        """Checks a commit, a read and a generation against an address."""
        async with http_exchange.open_session() as session:
            exchange = http_exchange.HttpExchange(
                session=session, address=address
            )
            service = http_table.HttpTable(exchange=exchange)
            with self.assertRaises(failures.OutcomeUnknownError):
                await service.commit(table.Transaction())
            with self.assertRaises(failures.NotDoneError):
                await service.read("k")
            connector = http_engine.HttpEngineConnector(session=session)
            chunks = connector.connect(address).generate(
                platform_case.GENERATION
            )
            with self.assertRaises(failures.OutcomeUnknownError):
                await anext(chunks)

    async def test_chunks_are_the_same_however_bytes_are_split(self):
        """A stream arrives in pieces of any size, cut short, or without end.

        The chunks must be the same however the bytes are split. Without the
        last chunk, or with one endless line, the outcome is unknown.
        """
        chunks = [
            engine.Chunk(
                attempt_id="a",
                token_index=index,
                tokens=1,
                text="å\n",
                finish=engine.FinishReason.STOP if index == 4 else None,
            )
            for index in range(5)
        ]
        lines = [msgspec.json.encode(chunk) + b"\n" for chunk in chunks]
        whole = b"".join(lines)
        endless = b"x" * (http_engine.MAX_LINE_BYTES + 1)
        for body, piece_bytes, expected in (
            (whole, 1, chunks),
            (whole, 7, chunks),
            (whole, len(whole), chunks),
            (b"".join(lines[:4]), 7, chunks[:4]),
            (whole[:-9], len(whole), chunks[:4]),
            (endless, len(endless), []),
        ):

            async def answer(request, body=body, piece_bytes=piece_bytes):
                response = web.StreamResponse()
                await response.prepare(request)
                for start in range(0, len(body), piece_bytes):
                    await response.write(body[start : start + piece_bytes])
                return response

            address = await self.serve(answer)
            with self.subTest(len=len(body), piece_bytes=piece_bytes):
                await self.check_chunks(address, expected)

    async def check_chunks(self, address, expected):
        """Reads a stream; without a last chunk its outcome is unknown."""
        seen = []
        ended = contextlib.nullcontext()
        if not expected or expected[-1].finish is None:
            ended = self.assertRaises(failures.OutcomeUnknownError)
        async with http_exchange.open_session() as session:
            connector = http_engine.HttpEngineConnector(session=session)
            with ended:
                async for chunk in connector.connect(address).generate(
                    platform_case.GENERATION
                ):
                    seen.append(chunk)
        self.assertEqual(seen, expected)

    async def test_a_late_end_of_the_body_is_awaited(self):
        """To an engine that is left before its end the caller seems gone."""
        connections = set()
        left_early = []
        last = engine.Chunk(
            attempt_id="a",
            token_index=0,
            tokens=1,
            text="t",
            finish=engine.FinishReason.STOP,
        )

        async def answer(request):
            connections.add(request.transport)
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(msgspec.json.encode(last) + b"\n")
            await asyncio.sleep(0.02)
            left_early.append(request.transport is None)
            await response.write_eof()
            return response

        address = await self.serve(answer)
        async with http_exchange.open_session() as session:
            connector = http_engine.HttpEngineConnector(session=session)
            for _ in range(2):
                chunks = connector.connect(address).generate(
                    platform_case.GENERATION
                )
                async with contextlib.aclosing(chunks):
                    self.assertEqual(await anext(chunks), last)
        self.assertEqual(left_early, [False, False])
        self.assertEqual(len(connections), 2)
