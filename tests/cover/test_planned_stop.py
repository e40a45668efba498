"""An instance that stops: no request that was read ends without an answer."""

import asyncio
import datetime
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import expected_times
from nutmeghook.internal.relay import listener as listener_module
from nutmeghook.internal.relay import planned_stop
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import relay_fixture

ONCE = model.RouteKind.ONCE
STREAM = model.RouteKind.STREAM
SECOND = datetime.timedelta(seconds=1)
HOUR = datetime.timedelta(hours=1)
SILENT = users_replica.Reply(silent=True)


def message(
    request_id: str, *, prefix: str = "once", fields: str = "Content-Length: 8"
) -> bytes:
    """Returns the head of a request with a body, on a kept connection."""
    return (
        f"POST /{prefix}/x HTTP/1.1\r\nHost: {relay_fixture.HOST}\r\n"
        f"{headers.REQUEST_ID}: {request_id}\r\n"
        f"Authorization: Token {relay_fixture.KEY}\r\n{fields}\r\n\r\n"
    ).encode()


class StopTest(relay_fixture.RelayCase):
    def begin_stop(self, left: datetime.timedelta) -> None:
        self.listener.begin_stop(ends_at=self.clock.monotonic() + left)

    async def send(self, data: bytes):
        """Sends bytes on a new connection, and waits until they were read."""
        host, _, port = self.listener.address.rpartition(":")
        read = asyncio.Event()
        serve = listener_module.CallerListener._serve

        async def note_and_serve(*arguments):
            read.set()
            await serve(*arguments)

        with mock.patch.object(
            listener_module.CallerListener, "_serve", note_and_serve
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            self.addCleanup(writer.close)
            writer.write(data)
            await read.wait()
        return reader, writer

    def assert_refused(self, answer: bytes) -> None:
        """Checks that a caller may go elsewhere at once."""
        self.assertEqual(relay_fixture.status_of(answer), 503, answer)
        self.assertIn(b"\r\nRetry-After: 0.100\r\n", answer)
        self.assertIn(b"\r\nConnection: close\r\n", answer)

    async def test_a_body_that_has_not_come_is_refused_in_time(self):
        """A request was passed on once its body had come, late in the grace,
        and cut with no answer at its end.
        """
        framings = {
            "length": (message("1"), b"half", b"rest"),
            "chunks": (
                message("2", fields="Transfer-Encoding: chunked"),
                b"4\r\nhalf\r\n",
                b"0\r\n\r\n",
            ),
            "continue": (
                message(
                    "3", fields="Content-Length: 8\r\nExpect: 100-continue"
                ),
                b"half",
                b"rest",
            ),
        }
        opened = {
            name: await self.send(head + half)
            for name, (head, half, _) in framings.items()
        }
        self.begin_stop(HOUR)
        self.listener.stop_accepting()
        for name, (reader, writer) in opened.items():
            with self.subTest(name):
                writer.write(framings[name][2])
                answer = await reader.read()
                answer = answer.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
                self.assert_refused(answer)
        self.assertEqual(self.received_requests(), [])

    async def test_a_body_that_ends_as_it_is_refused_is_not_passed_on(self):
        """Its end was read, and its room given up, in one turn of the event
        loop: it ran, and its answer was dropped for want of that room.
        """
        chunked = message("1", fields="Transfer-Encoding: chunked")
        reader, _ = await self.send(chunked + b"4\r\nhalf\r\n")
        (connection,) = self.listener._server.connections
        self.begin_stop(HOUR)
        connection.data_received(b"0\r\n\r\n")
        self.listener.stop_accepting()
        self.assert_refused(await reader.read())
        self.assertEqual(self.received_requests(), [])

    async def test_an_attempt_that_begins_too_late_is_refused(self):
        """A request that was read in the grace was passed on, whatever its
        replica needs, and cut at the end.
        """
        self.begin_stop(SECOND)
        for kind in (ONCE, STREAM):
            with self.subTest(kind):
                self.assert_refused(await self.ask(kind))
        self.assertEqual(self.received_requests(), [])

    async def test_what_ends_by_its_deadline_is_passed_on(self):
        self.begin_stop(6 * SECOND)
        self.stop.is_closed = True
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 200)

    async def test_a_retry_that_begins_too_late_is_refused(self):
        """A replica turned a request away late in the grace. It went to another
        one, which was at work when the instance ended.
        """

        def turn_away(request):
            self.begin_stop(SECOND)
            return users_replica.Reply(status=503, not_run=True)

        for replica in self.replicas:
            replica.decide_by(turn_away)
        self.assert_refused(await self.ask(ONCE))
        self.assertEqual(len(self.received_requests()), 1)

    async def assert_ended(self, prefix: str) -> None:
        """Checks what a caller hears whose request is with a replica."""
        self.reply_with(SILENT)
        reader, _ = await self.send(message("1", prefix=prefix) + b"complete")
        await self.arrival()
        self.begin_stop(datetime.timedelta())
        self.listener.end_requests()
        answer = await reader.read()
        self.assertEqual(relay_fixture.status_of(answer), 502)
        self.assertNotIn(b"Retry-After", answer)

    async def test_a_request_under_way_at_the_end_gets_a_final_status(self):
        """Its connection was closed without any answer."""
        await self.assert_ended("once")

    async def test_a_stream_that_has_not_begun_gets_a_final_status(self):
        """Its connection was closed without any answer."""
        await self.assert_ended("stream")

    async def test_a_stream_under_way_at_the_end_does_not_look_complete(self):
        self.reply_with(users_replica.Reply(events=(0, 1), stall_after=1))
        reader, _ = await self.send(message("1", prefix="stream") + b"complete")
        answer = await reader.readuntil(b"part 0\n\n")
        self.begin_stop(datetime.timedelta())
        self.listener.end_requests()
        answer += await reader.read()
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertFalse(relay_fixture.is_complete(answer))

    async def test_requests_sent_in_one_go_are_all_answered(self):
        """The first answer said `close`, and the second request, which had been
        read, was closed without one.
        """
        self.begin_stop(HOUR)
        reader, _ = await self.send(
            message("1") + b"complete" + message("2") + b"complete"
        )
        answer = await reader.read()
        self.assertEqual(answer.count(b"HTTP/1.1 200 OK"), 2)
        self.assertEqual(answer.count(b"Connection: close"), 1)
        first, _, second = answer.partition(b"done")
        self.assertNotIn(b"Connection: close", first)
        self.assertIn(b"Connection: close", second)

    async def test_requests_behind_one_that_is_ended_are_refused(self):
        """Both had been read, and were closed without an answer."""
        self.reply_with(SILENT)
        reader, _ = await self.send(
            message("1") + b"complete" + message("2") + b"complete"
        )
        await self.arrival()
        self.begin_stop(datetime.timedelta())
        self.listener.end_requests()
        first, _, second = (await reader.read()).partition(b"run\n")
        self.assertEqual(relay_fixture.status_of(first), 502)
        self.assert_refused(second)
        self.assertEqual(len(self.received_requests()), 1)


class AllowedAttemptsTest(unittest.TestCase):
    @hypothesis.given(
        left_s=strategies.floats(-1, 10),
        needed_s=strategies.floats(0.01, 10),
        is_closed=strategies.booleans(),
        may_have_run=strategies.booleans(),
    )
    def test_no_attempt_is_expected_to_outlast_the_instance(
        self, left_s, needed_s, is_closed, may_have_run
    ):
        clock = clock_module.FakeClock()
        stop = planned_stop.PlannedStop(clock=clock)
        needed = datetime.timedelta(seconds=needed_s)
        arguments = {
            "deadline": HOUR,
            "target": needed,
            "may_have_run": may_have_run,
        }
        expected = expected_times.ExpectedTimes(
            first=needed, rest=datetime.timedelta()
        )
        self.assertTrue(stop.allows(expected=expected, **arguments))
        left = datetime.timedelta(seconds=left_s)
        stop.ends_at = clock.monotonic() + left
        stop.is_closed = is_closed
        for known in (expected, None):
            if stop.allows(expected=known, **arguments):
                self.assertLess(needed, left)
        if is_closed and not may_have_run:
            self.assertFalse(stop.allows(expected=None, **arguments))


if __name__ == "__main__":
    unittest.main()
