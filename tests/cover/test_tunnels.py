"""Requests of an instance that is cut off, carried by its peers."""

import asyncio
import datetime
import itertools
import socket
import struct
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import uvloop

from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import pieces as pieces_module
from nutmeghook.internal.upstream import reachability
from nutmeghook.internal.upstream import tunnelled_connection
from nutmeghook.platform import headers
from nutmeghook.standins import loopback_host
from nutmeghook.standins import users_replica
from tests import relay_fixture
from tests import tunnel_fixture

STREAM = model.RouteKind.STREAM
ONCE = model.RouteKind.ONCE
Reachability = reachability.Reachability
Reply = users_replica.Reply
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=800)
PROBED_WITHIN_S = 2.0
RESTORED_WITHIN_S = 2.0
# Of an answer that waits for good.
_TIMEOUT_S = 5


def setUpModule():
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())


class ResettingReplica:
    """Resets an answer without a length in the same step as it sends it.

    Attributes:
        body: The part of the answer's body that it sends.
    """

    replica_id = "resetting"

    def __init__(self):
        self.body = b"half"
        self._socket = socket.create_server((loopback_host.own_host(), 0))
        self._socket.setblocking(False)
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _accept(self) -> None:
        connection, _ = self._socket.accept()
        self._loop.add_reader(connection, self._reset, connection)

    def _reset(self, connection: socket.socket) -> None:
        self._loop.remove_reader(connection)
        with connection:
            if connection.recv(65536):
                connection.send(
                    b"HTTP/1.1 200 OK\r\n"
                    + f"{headers.SEAL}: seal\r\n\r\n".encode()
                    + self.body
                )
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )


class TunnelledConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_large_answer_that_came_in_one_read_ends(self):
        """What the parser held back while its buffer was full was parsed only
        with the next bytes, so an answer without any waited for its deadline.
        """
        connection = tunnelled_connection.TunnelledConnection(
            loop=asyncio.get_running_loop(), helper="peer"
        )
        transport = mock.Mock()
        transport.is_closing.return_value = False
        connection.connection_made(transport)
        connection.data_received(pieces_module.encode(b"reply"))
        sending = asyncio.ensure_future(
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", has_body=True)
        )
        await asyncio.sleep(0)
        body = b"x" * 60_000
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + body
        connection.data_received(
            b"".join(
                pieces_module.encode(answer[begin : begin + 8_000])
                for begin in range(0, len(answer), 8_000)
            )
        )
        head = await sending
        received = b""
        while piece := await asyncio.wait_for(head.read(), _TIMEOUT_S):
            received += piece
        self.assertEqual(received, body)


class TunnelsTest(tunnel_fixture.TunnelCase):
    async def test_events_pass_through_a_peer(self):
        self.dialer.refuses = True
        self.reply_with(Reply(events=(0, 1, 2), pause_s=0.01))
        answer = await self.ask(STREAM, body=b"prompt")
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(len(relay_fixture.events_of(answer)), 3)
        self.assertTrue(relay_fixture.is_complete(answer))

    async def test_a_path_that_hangs_is_bypassed(self):
        """Connections to replicas hang. Each request would wait out the time
        for connecting at one replica after the other.
        """
        self.dialer.answers.clear()
        answer = await self.ask(ONCE, body=b"order")
        self.assertEqual(relay_fixture.status_of(answer), 200)

    async def test_a_peer_that_is_cut_off_too_passes_nothing_on(self):
        """The first peer is cut off as well. It neither asks a third instance
        nor counts as evidence that the replica is at fault.
        """
        self.dialer.refuses = True
        self.helpers[0].dialer.refuses = True
        answer = await self.ask(ONCE, body=b"order")
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_request_is_refused_if_no_peer_reaches_a_replica(self):
        self.dialer.refuses = True
        for helper in self.helpers:
            helper.dialer.refuses = True
        answer = await self.ask(ONCE, body=b"order")
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"Retry-After", answer)

    async def test_a_lost_path_is_no_crash_of_its_replica(self):
        """Connections are reset and new ones refused, as if the replica had
        crashed. Counted as such, three of them would quarantine a request.
        """
        self.dialer.refuses = True
        address = self.replicas[0].address
        self.assertEqual(await self.pool.probe(address), Reachability.BYPASSED)
        for helper in self.helpers:
            helper.dialer.refuses = True
        self.pool.forget(address)
        self.assertEqual(await self.pool.probe(address), Reachability.NOT_ASKED)

    async def test_peers_agree_that_a_replica_has_crashed(self):
        address = self.replicas[0].address
        for helper in self.helpers:
            helper.paths.note_open(self.replicas[1].address)
        self.replicas[0].crash()
        self.assertEqual(await self.pool.probe(address), Reachability.REFUSES)

    async def test_a_crash_is_known_behind_a_silent_path(self):
        """A replica crashes while the path to it is silent. From here it looks
        dark; its peers know better.
        """
        for helper in self.helpers:
            helper.paths.note_open(self.replicas[1].address)
        self.dialer.answers.clear()
        self.replicas[0].crash()
        self.assertEqual(
            await self.pool.probe(self.replicas[0].address),
            Reachability.REFUSES,
        )

    async def test_a_crash_counts_while_peers_are_cut_off(self):
        """No peer can tell whose fault a refused connection is. Another replica
        accepts one from here, so that it is the replica's; if it did not count,
        a request that crashes replicas would be sent on and on.
        """
        for helper in self.helpers:
            helper.dialer.refuses = True
        await self.pool.acquire(
            self.replicas[1].address, request_id="", max_idle_s=0
        )
        self.replicas[0].crash()
        self.assertEqual(
            await self.pool.probe(self.replicas[0].address),
            Reachability.REFUSES,
        )

    async def test_the_end_of_a_peer_completes_no_answer(self):
        """The peer ends in the middle of an answer without a length. Its
        connections are closed cleanly, as a replica ends such an answer.
        """
        self.dialer.refuses = True
        self.reply_with(Reply(events=(0, 1, 2, 3), framed=False, stall_after=1))
        asking = asyncio.create_task(self.ask(STREAM, body=b"prompt"))
        await self.arrival()
        for helper in self.helpers:
            await helper.close()
        self.assertFalse(relay_fixture.is_complete(await asking))

    async def test_a_replica_ends_an_answer_without_a_length(self):
        self.dialer.refuses = True
        self.reply_with(Reply(body=b"all of it", framed=False))
        answer = await self.ask(ONCE, body=b"order")
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(relay_fixture.body_of(answer), b"all of it")

    async def test_a_reset_answer_without_a_length_is_not_complete(self):
        """The replica resets an answer midway, and uvloop reports to the peer
        that the connection was closed.
        """
        self.dialer.refuses = True
        self.list_resetting_replica()
        answer = await self.ask(ONCE, body=b"order")
        self.assertEqual(relay_fixture.status_of(answer), 502)

    async def test_events_before_a_reset_pass_through_a_peer(self):
        self.dialer.refuses = True
        resetting = self.list_resetting_replica()
        resetting.body = users_replica.event(0)
        answer = await self.ask(STREAM, body=b"prompt")
        self.assertEqual(
            relay_fixture.events_of(answer), [users_replica.event(0)]
        )
        self.assertFalse(relay_fixture.is_complete(answer))

    def list_resetting_replica(self) -> "ResettingReplica":
        """Lists a replica that resets its answers, and no other."""
        resetting = ResettingReplica()
        self.addCleanup(resetting.close)
        for replica in self.replicas:
            self.directory.remove(replica.replica_id)
        self.directory.put(self.entry(resetting))
        for helper in self.helpers:
            helper.listed = {resetting.address}
        return resetting

    async def test_a_caller_that_leaves_ends_the_work_behind_a_peer(self):
        self.dialer.refuses = True
        self.reply_with(Reply(silent=True))
        asking = asyncio.create_task(
            self.session.post(
                f"http://{self.listener.address}/once/x",
                headers=dict([relay_fixture.AUTHORIZATION])
                | {"Host": relay_fixture.HOST, headers.REQUEST_ID: "1"},
                data=b"order",
            )
        )
        await self.arrival()
        asking.cancel()
        (busy,) = (r for r in self.replicas if r.received)
        async with asyncio.timeout(PROBED_WITHIN_S):
            await busy.request_abandoned.wait()

    async def test_a_stream_on_a_path_that_fell_silent_moves(self):
        """A stream has begun on a direct connection when the path falls silent.
        The replica answers a probe through a peer, which says nothing of that
        connection.
        """
        self.reply_with(
            Reply(events=(0, 1, 2), stall_after=1), Reply(events=(0, 1, 2))
        )
        asking = asyncio.create_task(self.ask(STREAM, body=b"prompt"))
        await self.arrival()
        self.dialer.answers.clear()
        answer = await asking
        self.assertEqual(len(relay_fixture.events_of(answer)), 3)
        self.assertTrue(relay_fixture.is_complete(answer))

    async def test_the_direct_path_is_taken_again(self):
        self.dialer.refuses = True
        await self.ask(ONCE, body=b"order")
        self.assertTrue(self.pool.paths.bypassed())
        self.dialer.refuses = False
        restoring = asyncio.create_task(self.pool.restore_paths())
        await asyncio.sleep(RESTORED_WITHIN_S)
        restoring.cancel()
        self.assertEqual(self.pool.paths.bypassed(), [])
        for helper in self.helpers:
            helper.is_leaving = True
        answer = await self.ask(ONCE, request_id="2", body=b"order")
        self.assertEqual(relay_fixture.status_of(answer), 200)

    async def test_a_peer_connects_to_listed_replicas_only(self):
        for helper in self.helpers:
            helper.listed = set()
        with self.assertRaises(tunnelled_connection.TunnelError) as caught:
            await self.tunnels.open(self.replicas[0].address)
        self.assertIsNone(caught.exception.sign)
        self.assertEqual(self.helpers[0].dialer.dialled, [])

    async def test_nobody_else_gets_a_tunnel(self):
        self.tunnels.connect(
            helpers=tunnel_fixture.Helpers(*self.helpers),
            credential="a guess",
            traffic=traffic_module.Traffic(),
        )
        with self.assertRaises(tunnelled_connection.TunnelError):
            await self.tunnels.open(self.replicas[0].address)
        self.assertEqual(self.helpers[0].dialer.dialled, [])

    async def test_a_replica_that_nobody_reaches_is_refused_at_once(self):
        """Known to be dark, it would cost each request the whole time for
        connecting.
        """
        self.dialer.answers.clear()
        for helper in self.helpers:
            helper.dialer.answers.clear()
        address = self.replicas[0].address
        with self.assertRaises(outcomes.NotSentError):
            await self.pool.acquire(address, request_id="", max_idle_s=0)
        dialled = len(self.dialer.dialled)
        with self.assertRaises(outcomes.NotSentError):
            await self.pool.acquire(address, request_id="", max_idle_s=0)
        self.assertEqual(len(self.dialer.dialled), dialled)


class PiecesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(
        pieces=strategies.lists(strategies.binary(min_size=1, max_size=9)),
        sizes=strategies.lists(strategies.integers(1, 7), min_size=1),
    )
    def test_any_split_of_pieces_gives_the_same_bytes(self, pieces, sizes):
        reader = pieces_module.PieceReader()
        data = b"".join(struct.pack(">I", len(p)) + p for p in pieces)
        data += struct.pack(">I", 0) + b"no piece"
        received = b""
        for size in itertools.cycle(sizes):
            received += b"".join(reader.feed(data[:size]))
            data = data[size:]
            if not data:
                break
        self.assertEqual(received, b"".join(pieces))
        self.assertTrue(reader.is_ended)


if __name__ == "__main__":
    unittest.main()
