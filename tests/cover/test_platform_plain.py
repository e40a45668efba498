"""The adapter of plain services: at most one run, truthful refusals."""

import asyncio

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_plain
from nutmeghook.standins import users_replica
from tests.cover import platform_case


async def _break_off(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    users_replica.close_connection(writer, reset=True)


class PlainTest(platform_case.FleetCase):
    """Plain services run a call at most once, as their log shows."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        session = http_exchange.open_session(reuse_connections=False)
        self.addAsyncCleanup(session.close)
        self.services = http_plain.HttpPlainServices(session=session)

    async def call(self, **changes: object) -> plain.PlainAnswer:
        """Makes a call."""
        call = plain.PlainCall(
            request_id="req-1", method="POST", path="/bookings?crew=%207"
        )
        return await self.services.call(
            self.addresses.named("registry").address,
            msgspec.structs.replace(call, **changes),
        )

    async def test_a_call_cut_after_the_effect_runs_once(self):
        """The service does the work and breaks the connection.

        The HTTP library would repeat PUT, DELETE and GET by itself, and the
        same booking would be made twice. Each call must run once and its
        outcome must be unknown.
        """
        for method in ("POST", "PUT", "DELETE", "GET"):
            await self.control("registry", "faults", lose_next_answers=1)
            with self.subTest(method):
                with self.assertRaises(failures.OutcomeUnknownError):
                    await self.call(method=method, request_id=method)
                runs = [run["request_id"] for run in await self.log("registry")]
                self.assertEqual(runs.count(method), 1)

    async def test_an_answer_without_a_length_is_an_unknown_outcome(self):
        """The service breaks off, and the HTTP library reports its end."""
        server = await asyncio.start_server(_break_off, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        call = plain.PlainCall(request_id="1", method="POST", path="/x")
        with self.assertRaises(failures.OutcomeUnknownError):
            await self.services.call(f"{host}:{port}", call)

    async def test_a_refused_call_did_not_run(self):
        await self.control("registry", "refuse", refuse_next=1)
        with self.assertRaises(failures.NotDoneError) as caught:
            await self.call()
        self.assertTrue(caught.exception.overloaded)
        await self.control("registry", "faults", down="gone")
        with self.assertRaises(failures.NotDoneError):
            await self.call()
        await self.control("registry", "faults")
        self.assertEqual(await self.log("registry"), [])
        answer = await self.call(body=b'{"marker": "w7"}')
        self.assertEqual(msgspec.json.decode(answer.body)["marker"], "w7")
        self.assertEqual(
            [run["path"] for run in await self.log("registry")],
            ["/bookings?crew=%207"],
        )

    async def test_what_could_break_the_request_line_is_refused(self):
        for path in ("bookings", "/a b", "/a\r\nX: y", "/a\x00", "/ä"):
            with self.subTest(path), self.assertRaises(ValueError):
                await self.call(path=path)
        with self.assertRaises(ValueError):
            await self.call(headers=(("X-A", "b\r\nX-C: d"),))
        with self.assertRaises(ValueError):
            http_plain.HttpPlainServices(session=self.session)
        self.assertEqual(await self.log("registry"), [])
