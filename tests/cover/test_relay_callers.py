"""Callers that send too much, too slowly, or what they may not send."""

import asyncio
import datetime
import unittest
from unittest import mock

from nutmeghook.internal.relay import listener as listener_module
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import relay_fixture

ONCE = model.RouteKind.ONCE
IDEMPOTENT = model.RouteKind.IDEMPOTENT
HOUR = datetime.timedelta(hours=1)


class CallersTest(relay_fixture.RelayCase):
    def limit(self, **changes) -> None:
        """Puts a configuration with other limits in force."""
        self.configuration.offer(
            relay_fixture.configuration(
                version=self.configuration.current.version + 1,
                limits=model.CallerLimits(**changes),
            ),
            source="test",
        )

    async def test_without_a_configuration_nothing_is_denied(self):
        """An instance has just started and the store is down. It can't know
        what is allowed, so it answers that the request was not run, never 404.
        """
        self.configuration.current = None
        self.listener._limits = model.CallerLimits
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"Retry-After", answer)

    async def test_unknown_hosts_paths_and_keys(self):
        cases = (
            (404, {"target": "/nowhere/x"}),
            (401, {"extra": ()}),
            (401, {"extra": (("Authorization", "Token wrong"),)}),
            (401, {"extra": (("Authorization", "Bearer a-key"),)}),
        )
        for status, options in cases:
            with self.subTest(options=options):
                answer = await self.ask(ONCE, **options)
                self.assertEqual(relay_fixture.status_of(answer), status)
        self.assertEqual(self.received_requests(), [])

    async def test_an_instance_that_knows_it_is_behind_denies_nothing(self):
        """A team gets a route and calls it at once. This instance has not
        received the change but knows from a peer that there is one. 404 would
        be final, so it answers that the request was not run and may be retried.
        """
        self.configuration.behind_for = datetime.timedelta
        for options in ({"target": "/nowhere/x"}, {"extra": ()}):
            with self.subTest(options=options):
                answer = await self.ask(ONCE, **options)
                self.assertEqual(relay_fixture.status_of(answer), 503)
                self.assertIn(b"Retry-After", answer)
        self.assertEqual(self.received_requests(), [])

    async def test_an_instance_long_behind_admits_nobody(self):
        """It reached neither the store nor the peer that told it of a newer
        configuration, and went on by its own.
        """
        self.configuration.behind_for = lambda: relay_fixture.CHANGE_TIME
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"Retry-After", answer)
        self.assertEqual(self.received_requests(), [])

    async def test_a_revoked_key_is_refused_on_an_open_connection(
        self,
    ):
        """A caller's connection stays open while its key is revoked. The next
        request on it is refused: an open connection authorizes nothing.
        """
        host, _, port = self.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        message = (
            f"POST /once/x HTTP/1.1\r\nHost: {relay_fixture.HOST}\r\n"
            f"{headers.REQUEST_ID}: 1\r\nContent-Length: 0\r\n"
            f"Authorization: Token {relay_fixture.KEY}\r\n\r\n"
        ).encode()
        writer.write(message)
        first = await reader.readuntil(b"done")
        self.configuration.offer(
            relay_fixture.configuration(
                version=2,
                teams_by_key={"other": model.Team(name="other")},
            ),
            source="test",
        )
        writer.write(message)
        second = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        self.assertEqual(relay_fixture.status_of(first), 200)
        self.assertEqual(relay_fixture.status_of(second), 401)

    async def test_no_key_is_accepted_once_the_last_one_is_revoked(self):
        """No team has a key any more, which is not the same as no teams."""
        self.configuration.offer(
            relay_fixture.configuration(version=2, teams_by_key={}),
            source="test",
        )
        credentials = (
            (relay_fixture.AUTHORIZATION,),
            (("Authorization", "Token "),),
            (("Authorization", "Token unknown"),),
            (),
        )
        for extra in credentials:
            with self.subTest(extra=extra):
                answer = await self.ask(ONCE, extra=extra)
                self.assertEqual(relay_fixture.status_of(answer), 401)
        self.assertEqual(self.received_requests(), [])

    async def test_what_only_the_router_may_set_is_dropped(self):
        """A caller sends headers that reserve memory or name a team. If they
        were forwarded, it would act as the router or as another team.
        """
        forged = (
            "X-Kv-Hold",
            "X-Pin-Ms",
            "X-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
            "X-Expect-Version",
            "X-Request-Urgency",
        )
        await self.ask(
            ONCE,
            extra=(
                relay_fixture.AUTHORIZATION,
                ("X-Tenant", "another"),
                ("X-Expect-Replica", "another"),
                *((name, "1") for name in forged),
            ),
        )
        (seen,) = self.received_requests()
        self.assertEqual(seen.headers["x-tenant"], relay_fixture.TEAM)
        self.assertNotIn("authorization", seen.headers)
        self.assertNotEqual(seen.headers["x-expect-replica"], "another")
        for name in forged:
            self.assertNotIn(name.lower(), seen.headers)

    async def test_a_target_is_forwarded_unchanged(self):
        """The path holds what a library would normalise. The replica must get
        the caller's own bytes, or another resource runs.
        """
        target = "/idempotent/a%2fb/../c//d?x=%41&x=1+2"
        await self.ask(IDEMPOTENT, target=target)
        self.assertEqual(self.received_requests()[0].target, target)

    async def test_headers_are_neither_added_nor_lost(self):
        await self.ask(
            IDEMPOTENT,
            extra=(
                relay_fixture.AUTHORIZATION,
                ("X-Own", "one"),
                ("Connection", "x-hop"),
                ("X-Hop", "of this connection"),
            ),
        )
        (seen,) = self.received_requests()
        self.assertEqual(seen.headers["x-own"], "one")
        for name in ("x-hop", "user-agent", "accept-encoding", "accept"):
            self.assertNotIn(name, seen.headers)

    async def test_length_and_chunks_together_are_refused(self):
        """A message has both a length and chunks, to hide a second message
        behind it. It is refused, and nothing of it reaches a replica.
        """
        answer = await self.ask(
            ONCE,
            extra=(
                relay_fixture.AUTHORIZATION,
                ("Transfer-Encoding", "chunked"),
            ),
            body=b"0\r\n\r\nPOST /once/hidden HTTP/1.1\r\n\r\n",
        )
        self.assertEqual(relay_fixture.status_of(answer), 400)
        self.assertEqual(self.received_requests(), [])

    async def test_a_body_over_the_limit_is_refused(self):
        self.limit(body_bytes=10)
        answer = await self.ask(ONCE, body=b"x" * 11)
        self.assertEqual(relay_fixture.status_of(answer), 413)
        self.assertEqual(self.received_requests(), [])

    async def test_a_malformed_time_limit_is_named(self):
        answer = await self.ask(
            ONCE,
            extra=(relay_fixture.AUTHORIZATION, (headers.TIME_LEFT, "soon")),
        )
        self.assertEqual(relay_fixture.status_of(answer), 400)
        self.assertIn(b"soon", relay_fixture.body_of(answer))

    async def test_half_a_head_is_not_waited_for(self):
        """A caller sends half a head and nothing more. After the time limit its
        connection is closed; a few hundred of them would use up all file
        descriptors.
        """
        self.limit(
            header_time=datetime.timedelta(milliseconds=50),
            idle_time=datetime.timedelta(hours=1),
        )
        connection = self.fake_connection()
        await asyncio.sleep(0)
        connection.data_received(b"POST /once/x HTTP/1.1\r\nHost: callers")
        self.assertIsNotNone(connection._head_timer)
        connection.connection_lost(None)
        answer = await self.raw(b"POST /once/x HTTP/1.1\r\nHost: callers")
        self.assertEqual(answer, b"")

    async def test_half_a_head_that_comes_at_once_is_not_waited_for(self):
        """It came before the connection's task had begun to wait for requests,
        and the connection stayed open until its caller left.
        """
        connection = self.fake_connection()
        connection.data_received(b"POST /once/x HTTP/1.1\r\nHost: callers")
        self.assertIsNotNone(connection._head_timer)
        connection.connection_lost(None)

    async def test_a_body_that_comes_after_its_head_is_not_a_late_head(self):
        """A caller's body arrives in a packet of its own, before its request's
        handler has begun. If it counted as the beginning of another head, the
        time limit for heads would cut the answer in the middle.
        """
        self.limit(header_time=datetime.timedelta(milliseconds=50))
        self.reply_with(users_replica.Reply(events=(0, 1), pause_s=0.1))
        connection = self.fake_connection()
        await asyncio.sleep(0)
        connection.data_received(
            f"POST /stream/x HTTP/1.1\r\nHost: {relay_fixture.HOST}\r\n"
            f"{headers.REQUEST_ID}: 1\r\nContent-Length: 4\r\n"
            f"Authorization: Token {relay_fixture.KEY}\r\n\r\n".encode()
        )
        connection.data_received(b"body")
        self.assertIsNone(connection._head_timer)
        connection.connection_lost(None)

    async def test_a_request_whose_handler_has_not_begun_is_under_way(self):
        """A request is read in the moment in which the listener stops
        accepting. Its handler has not begun, so a count of handlers misses it,
        and a stop that relies on that count ends the process during the
        request.
        """
        connection = self.fake_connection()
        await asyncio.sleep(0)
        connection.data_received(
            f"GET /idempotent/x HTTP/1.1\r\nHost: {relay_fixture.HOST}\r\n"
            f"{headers.REQUEST_ID}: 1\r\n"
            f"Authorization: Token {relay_fixture.KEY}\r\n\r\n".encode()
        )
        self.listener.stop_accepting()
        self.assertEqual(self.listener.in_flight, 0)
        self.assertEqual(self.listener.open_connections, 1)
        await self.arrival()
        self.assertEqual(self.received_requests()[0].request_id, "1")
        connection.connection_lost(None)

    def fake_connection(self) -> listener_module.CallerConnection:
        """Returns a connection whose packets are made by the test."""
        connection = self.listener.new_connection()
        transport = mock.Mock(spec=asyncio.Transport)
        transport.get_write_buffer_size.return_value = 0
        transport.is_closing.return_value = False
        connection.connection_made(transport)
        return connection

    async def test_the_remaining_time_is_forwarded(self):
        await self.ask(
            ONCE,
            extra=(relay_fixture.AUTHORIZATION, (headers.TIME_LEFT, "800")),
        )
        (seen,) = self.received_requests()
        left_ms = int(seen.headers[headers.TIME_LEFT.lower()])
        self.assertTrue(0 < left_ms <= 800)

    async def test_requests_under_way_end_after_the_listener_stops(self):
        """The instance stops while a stream is under way and a kept connection
        is idle. The idle one is closed; the stream comes whole, and its
        connection is closed after it.
        """
        self.reply_with(
            users_replica.Reply(events=(0, 1, 2), pause_s=0.05),
        )
        host, _, port = self.listener.address.rpartition(":")
        idle, idle_writer = await asyncio.open_connection(host, int(port))
        stream = asyncio.create_task(
            self.ask(model.RouteKind.STREAM, body=b"prompt")
        )
        await self.arrival()
        self.listener.begin_stop(ends_at=self.clock.monotonic() + HOUR)
        self.listener.stop_accepting()
        self.assertEqual(await idle.read(), b"")
        idle_writer.close()
        self.assertTrue(relay_fixture.is_complete(await stream))


if __name__ == "__main__":
    unittest.main()
