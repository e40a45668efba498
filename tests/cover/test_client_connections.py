"""Connections of clients: who has to go, and whose turn it is."""

import asyncio
import datetime
import unittest
from unittest import mock

from aiohttp import web
import hypothesis
from hypothesis import strategies

from nutmeghook.internal.clients import acceptor
from nutmeghook.internal.clients import bounds
from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.clients import http_connection
from nutmeghook.internal.clients import reading_lane
from nutmeghook.internal.foundation import clock as clock_module
from tests import entry_fixture

MAX_CONNECTIONS = 5
BOUND_BYTES = 1000
HEAD_BYTES = 1000
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["open", "forget", "wait", "run", "hold"]),
        strategies.integers(0, 9),
        strategies.integers(0, 600),
    ),
    max_size=60,
)


class FakeConnection(connection_table.ClientConnection):
    def __init__(self):
        self.is_dropped = False

    def drop(self) -> None:
        self.is_dropped = True


def small_table(
    clock: clock_module.FakeClock,
) -> connection_table.ConnectionTable:
    return entry_fixture.connections(
        clock,
        max_connections=MAX_CONNECTIONS,
        bound_bytes=BOUND_BYTES,
    )


def opened(
    table: connection_table.ConnectionTable, connection: FakeConnection
) -> bool:
    """Tells whether a connection has got a place."""
    if not table.has_place:
        return False
    table.reserve()
    table.admit(connection)
    table.end_reservation()
    return True


class ConnectionTableTest(unittest.IsolatedAsyncioTestCase):
    def admitted(self, table, count):
        connections = [FakeConnection() for _ in range(count)]
        for connection in connections:
            self.assertTrue(opened(table, connection))
        return connections

    def setUp(self):
        self.clock = clock_module.FakeClock()

    async def test_a_new_connection_takes_the_place_of_an_idle_one(self):
        """A crowd that stayed kept out those who came after it."""
        table = small_table(self.clock)
        busy, first, second, *_ = self.admitted(table, MAX_CONNECTIONS)
        table.note_busy(busy)
        table.note_waiting(first)
        await self.clock.advance(connection_table.GRACE)
        self.assertTrue(opened(table, FakeConnection()))
        self.assertTrue(second.is_dropped)
        self.assertFalse(busy.is_dropped or first.is_dropped)

    async def test_whole_requests_are_dropped_for_nobody(self):
        """A new connection must not end a request that is under way."""
        table = small_table(self.clock)
        for connection in self.admitted(table, MAX_CONNECTIONS):
            table.note_busy(connection)
        await self.clock.advance(connection_table.GRACE)
        self.assertFalse(table.has_place)
        self.assertEqual(table.open_connections, MAX_CONNECTIONS)

    def test_a_connection_that_has_just_come_is_dropped_for_nobody(self):
        """In a crowd nobody's request was read before the next one came."""
        table = small_table(self.clock)
        self.admitted(table, MAX_CONNECTIONS)
        self.assertFalse(table.has_place)

    @hypothesis.given(steps=STEPS)
    def test_its_bounds_hold(self, steps):
        """Whatever clients do, in any order."""
        table = small_table(self.clock)
        connections = [FakeConnection() for _ in range(10)]
        for step, number, count in steps:
            connection = connections[number]
            if step == "open" and not connection.is_dropped:
                opened(table, connection)
            elif step == "forget":
                table.forget(connection)
            elif step == "wait":
                table.note_waiting(connection)
            elif step == "run":
                table.note_busy(connection)
            else:
                table.hold(connection, count)
            self.assertLessEqual(table.open_connections, MAX_CONNECTIONS)
            self.assertLessEqual(table.held_bytes, BOUND_BYTES)
            self.assertGreaterEqual(table.held_bytes, 0)

    @hypothesis.given(
        descriptors=strategies.integers(64, 100_000),
        memory_mb=strategies.integers(64, 10_000),
    )
    def test_shares_fit_into_the_descriptors(self, descriptors, memory_mb):
        """Callers and peers must leave room for replicas and the store."""
        shares = bounds.bounds_for(
            memory_mb=memory_mb, max_descriptors=descriptors
        )
        self.assertGreater(shares.callers, 0)
        self.assertGreater(shares.strangers, 0)
        self.assertLess(shares.callers + shares.peers, descriptors)


class AcceptorTest(unittest.IsolatedAsyncioTestCase):
    async def test_nobody_gives_up_a_place_before_another_comes(self):
        """With all places taken, one idle connection was closed in vain."""
        clock = clock_module.FakeClock()
        table = small_table(clock)
        accepted = []

        def protocol() -> asyncio.Protocol:
            connection = FakeConnection()
            accepted.append(connection)
            table.admit(connection)
            return asyncio.Protocol()

        listening = acceptor.Acceptor(table=table, protocol=protocol)
        listening.start(host="127.0.0.1", port=0, receive_buffer_bytes=65536)
        self.addCleanup(listening.close)
        host, _, port = listening.address.rpartition(":")
        for _ in range(MAX_CONNECTIONS):
            _, writer = await asyncio.open_connection(host, int(port))
            self.addCleanup(writer.close)
        await entry_fixture.until(lambda: len(accepted) == MAX_CONNECTIONS)
        await clock.advance(connection_table.GRACE)
        self.assertFalse(any(one.is_dropped for one in accepted))
        _, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        await entry_fixture.until(lambda: len(accepted) > MAX_CONNECTIONS)
        self.assertEqual([one.is_dropped for one in accepted].count(True), 1)


class ReadingLaneTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_reads_in_each_turn(self):
        """Many clients' tiny chunks were parsed in one turn."""
        lane = reading_lane.ReadingLane(loop=asyncio.get_running_loop())
        members = [mock.Mock(spec=reading_lane.LaneMember) for _ in range(3)]
        for member in members:
            lane.add(member)
        for turn in range(1, 4):
            await asyncio.sleep(0)
            continued = sum(m.continue_reading.call_count for m in members)
            self.assertEqual(continued, turn)


class HttpConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def answer(request: web.BaseRequest) -> web.Response:
            return web.Response(text="done")

        loop = asyncio.get_running_loop()
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.connection = http_connection.HttpConnection(
            server=web.Server(answer),
            loop=loop,
            limits=lambda: http_connection.HttpLimits(
                head_bytes=HEAD_BYTES,
                header_time=datetime.timedelta(seconds=3),
                idle_time=datetime.timedelta(seconds=3),
                write_time=datetime.timedelta(),
            ),
            table=entry_fixture.connections(clock_module.FakeClock()),
            lane=reading_lane.ReadingLane(loop=loop),
        )
        self.connection.connection_made(self.transport)
        self.addCleanup(self.connection.connection_lost, None)
        await asyncio.sleep(0)

    def written(self) -> bytes:
        return b"".join(
            bytes(piece)
            for name, args, _ in self.transport.method_calls
            if name in ("write", "writelines")
            for piece in ([args[0]] if name == "write" else args[0])
        )

    async def test_a_head_over_the_limit_in_one_piece(self):
        """A head that came at once was not measured."""
        field = b"X-Field: " + b"v" * HEAD_BYTES
        self.connection.data_received(
            b"GET / HTTP/1.1\r\nHost: a\r\n" + field + b"\r\n\r\n"
        )
        await asyncio.sleep(0.01)
        self.assertIn(b" 431 ", self.written())

    async def test_a_head_of_the_largest_size_in_pieces(self):
        """A head inside the limit must be served, however it comes."""
        start = b"GET / HTTP/1.1\r\nHost: a\r\nX-Field: "
        end = b"\r\n\r\n"
        head = start + b"v" * (HEAD_BYTES - len(start) - len(end)) + end
        for byte in head:
            self.connection.data_received(bytes([byte]))
        await asyncio.sleep(0.01)
        self.assertIn(b" 200 ", self.written())

    async def test_a_client_that_reads_nothing_is_dropped(self):
        """An answer that nobody read stayed with its connection."""
        self.transport.get_write_buffer_size.return_value = 500
        self.connection.pause_writing()
        await asyncio.sleep(0.01)
        self.transport.abort.assert_called()


if __name__ == "__main__":
    unittest.main()
