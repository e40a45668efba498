"""The inner protocol over TCP on loopback; faults don't affect other calls."""

import asyncio
import contextlib
import datetime
import random
import struct
import tracemalloc
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import uvloop

from nutmeghook.internal.foundation import clock
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import frames
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import tcp_client
from nutmeghook.internal.inner import tcp_server
from nutmeghook.internal.inner import traffic
from nutmeghook.internal.inner.generated import ttypes

LONG = datetime.timedelta(seconds=60)
SHORT = datetime.timedelta(milliseconds=50)
CREDENTIAL = "of this fleet"


def setUpModule():
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())


class Pair:
    """A server, a caller, and a gate that delays replies to pulls of 1."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.entered = asyncio.Event()
        self.handled = []
        self.server_traffic = traffic.Traffic()
        self.caller_traffic = traffic.Traffic()
        self.handlers = peers.PeerHandlers()
        self.handlers.register(ttypes.ConfigPull, self._pull)
        self.handlers.register(ttypes.EventsPull, self._events)
        self.server = self.new_server()
        self.caller = self.new_caller(CREDENTIAL)
        self.address = ""

    def new_server(self):
        return tcp_server.TcpServer(
            clock=clock.SystemClock(),
            handlers=self.handlers,
            credential=CREDENTIAL,
            traffic=self.server_traffic,
        )

    def new_caller(self, credential, max_in_flight=64):
        return tcp_client.TcpPeerCaller(
            clock=clock.SystemClock(),
            credential=credential,
            traffic=self.caller_traffic,
            random=random.Random(1),
            max_in_flight=max_in_flight,
        )

    async def _pull(self, request):
        self.handled.append(request.after_revision)
        if request.after_revision == 1:
            self.entered.set()
            await self.gate.wait()
        return ttypes.ConfigDigest(
            revision=request.after_revision, confirmed_age_ms=0
        )

    async def _events(self, request):
        return "no struct" if request.after_sequence else None

    def pull(self, revision, timeout=LONG, caller=None):
        return asyncio.ensure_future(
            (caller or self.caller).call(
                self.address,
                ttypes.ConfigPull(after_revision=revision),
                timeout=timeout,
            )
        )


@contextlib.asynccontextmanager
async def running_pair():
    pair = Pair()
    pair.address = await pair.server.start(host="127.0.0.1", port=0)
    try:
        yield pair
    finally:
        await pair.caller.close(grace=SHORT)
        await pair.server.close(grace=SHORT)


async def eventually_pull(pair, revision):
    """Retries while the caller backs off."""
    while True:
        try:
            return await pair.pull(revision)
        except peers.PeerUnreachableError:
            await asyncio.sleep(0.01)


def kept(open_connection, connections):
    """Wraps `open_connection` to record the writers that it returns."""

    async def open_and_keep(*arguments, **options):
        reader, writer = await open_connection(*arguments, **options)
        connections.append(writer)
        return reader, writer

    return open_and_keep


def raw_frame(data):
    return struct.pack(">I", len(data)) + data


HELLO = raw_frame(frames.hello(CREDENTIAL).data)
REQUEST = codec.encode(
    ttypes.ConfigPull(after_revision=2), sequence=5, wants_reply=True
).data


class TcpTest(unittest.IsolatedAsyncioTestCase):
    """Calls, failures of the peer, and closed connections."""

    async def test_a_slow_reply_delays_no_other(self):
        async with running_pair() as pair:
            slow = pair.pull(1)
            await pair.entered.wait()
            for revision in range(2, 40):
                reply = await pair.pull(revision)
                self.assertEqual(reply.revision, revision)
            self.assertFalse(slow.done())
            pair.gate.set()
            self.assertEqual((await slow).revision, 1)
            self.assertEqual(
                pair.caller_traffic.total().sent_bytes,
                pair.server_traffic.total().received_bytes,
            )

    async def test_a_late_reply_is_dropped(self):
        """A call times out, and its reply arrives while the next call on the
        same connection waits. That one must get its own reply, by sequence.
        """
        async with running_pair() as pair:
            with self.assertRaises(peers.PeerUnreachableError):
                await pair.pull(1, timeout=SHORT)
            pair.gate.set()
            self.assertEqual((await pair.pull(9)).revision, 9)

    async def test_failing_handlers_fail_their_own_request(self):
        async with running_pair() as pair:
            for sequence in (0, 1):
                with self.assertRaises(peers.PeerRefusedError) as caught:
                    await pair.caller.call(
                        pair.address,
                        ttypes.EventsPull(after_sequence=sequence),
                        timeout=LONG,
                    )
                self.assertEqual(
                    caught.exception.code_number, codes.Code.INTERNAL.number
                )
            with self.assertRaises(peers.PeerRefusedError) as caught:
                await pair.caller.call(
                    pair.address, ttypes.LedgerAppend(), timeout=LONG
                )
            self.assertEqual(
                caught.exception.code_number, codes.Code.NOT_FOUND.number
            )
            for bad in ("text", 1 << 80):
                with self.assertRaises((TypeError, ValueError)):
                    await pair.pull(bad)
            self.assertEqual((await pair.pull(3)).revision, 3)

    async def test_another_credential_is_refused(self):
        async with running_pair() as pair:
            stranger = pair.new_caller("of another fleet")
            with self.assertRaises(peers.PeerRefusedError) as caught:
                await pair.pull(3, caller=stranger)
            self.assertEqual(
                caught.exception.code_number, codes.Code.BAD_TOKEN.number
            )
            await stranger.close(grace=SHORT)
            self.assertEqual(pair.handled, [])

    async def test_no_reply_and_a_later_reconnect_after_a_crash(self):
        """The server ends without grace while a call runs, and restarts on the
        same port. The call fails with its outcome unknown; later calls fail at
        once during the back-off, then reconnect.
        """
        async with running_pair() as pair:
            running = pair.pull(1)
            await pair.entered.wait()
            await pair.server.close(grace=datetime.timedelta())
            with self.assertRaises(peers.PeerUnreachableError):
                await running
            with self.assertRaises(peers.PeerUnreachableError):
                await pair.pull(2)
            pair.server = pair.new_server()
            host, port = pair.address.split(":")
            await pair.server.start(host=host, port=int(port))
            self.assertEqual((await eventually_pull(pair, 4)).revision, 4)

    async def test_a_refused_connection_tells_that_no_instance_runs(self):
        """An ended instance can't be told from one that is cut off."""
        async with running_pair() as pair:
            await pair.server.close(grace=datetime.timedelta())
            for number in range(2):
                with self.assertRaises(peers.PeerNotListeningError):
                    await pair.pull(number)
            pair.server = pair.new_server()
            host, port = pair.address.split(":")
            await pair.server.start(host=host, port=int(port))
            await eventually_pull(pair, 4)
            with self.assertRaises(peers.PeerUnreachableError) as raised:
                await pair.pull(1, timeout=SHORT)
            self.assertNotIsInstance(
                raised.exception, peers.PeerNotListeningError
            )

    async def test_a_call_as_its_connection_ends_fails_as_unreachable(self):
        """A connection ends, and a call is made before its reader's next turn.
        The transport refuses the write with an exception that is no
        `ConnectionError`; unhandled, it ended the instance.
        """
        for turns in range(4):
            with self.subTest(turns=turns):
                async with running_pair() as pair:
                    connections = []
                    with mock.patch.object(
                        asyncio,
                        "open_connection",
                        kept(asyncio.open_connection, connections),
                    ):
                        await pair.pull(2)
                    (writer,) = connections
                    writer.transport.abort()
                    for _ in range(turns):
                        await asyncio.sleep(0)
                    with self.assertRaises(peers.PeerUnreachableError):
                        await pair.pull(3)

    async def test_a_graceful_close_answers_running_requests(self):
        async with running_pair() as pair:
            running = pair.pull(1)
            await pair.entered.wait()
            closing = asyncio.ensure_future(pair.server.close(grace=LONG))
            await asyncio.sleep(0)
            pair.gate.set()
            self.assertEqual((await running).revision, 1)
            await closing

    async def test_requests_in_flight_are_bounded(self):
        async with running_pair() as pair:
            narrow = pair.new_caller(CREDENTIAL, max_in_flight=2)
            held = [pair.pull(1, caller=narrow) for _ in range(2)]
            await pair.entered.wait()
            with self.assertRaises(peers.PeerUnreachableError):
                await pair.pull(2, caller=narrow, timeout=SHORT)
            pair.gate.set()
            await asyncio.gather(*held)
            await narrow.close(grace=SHORT)
            sent = pair.caller_traffic.kinds()["config_pull"]
            self.assertEqual(sent.sent_messages, 2)


class MalformedTest(unittest.TestCase):
    """Malformed bytes affect only the connection that sent them."""

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        strategies.booleans(),
        strategies.one_of(
            strategies.binary(max_size=200),
            strategies.binary(max_size=200).map(raw_frame),
            strategies.tuples(
                strategies.integers(0, len(REQUEST) - 1),
                strategies.integers(0, 255),
            ).map(
                lambda change: raw_frame(
                    REQUEST[: change[0]]
                    + bytes([change[1]])
                    + REQUEST[change[0] + 1 :]
                )
            ),
        ),
    )
    @hypothesis.example(True, b"\xff\xff\xff\xff")
    @hypothesis.example(False, raw_frame(REQUEST))
    def test_arbitrary_bytes_affect_no_other_call(self, knows_credential, data):
        async def scenario():
            async with running_pair() as pair:
                held = pair.pull(1)
                await pair.entered.wait()
                host, port = pair.address.split(":")
                reader, writer = await asyncio.open_connection(host, port)
                writer.write((HELLO if knows_credential else b"") + data)
                writer.write_eof()
                # The server closes in the end, whatever it made of it.
                await asyncio.wait_for(reader.read(), 60)
                writer.close()
                pair.gate.set()
                self.assertEqual((await held).revision, 1)
                self.assertEqual((await pair.pull(6)).revision, 6)
                if not knows_credential:
                    self.assertEqual(pair.handled, [1, 6])

        asyncio.run(scenario())

    @hypothesis.given(strategies.binary(max_size=300))
    def test_decoding_ends_in_an_envelope_or_a_malformed_error(self, data):
        try:
            received = codec.decode(data)
        except codec.MalformedError:
            return
        self.assertIsInstance(received.sequence, int)

    def test_a_short_frame_can_not_allocate_much_memory(self):
        """A frame must not cost this process hundreds of megabytes: a list of
        empty structs, which grow a hundredfold when decoded, and a frame whose
        header claims 2**31 bytes are refused.
        """
        empty = ttypes.MemberState()
        bomb = codec.encode(
            ttypes.Probe(rumours=[empty] * 200_000), sequence=5
        ).data
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(codec.MalformedError):
            codec.decode(bomb)
        self.assertLess(tracemalloc.get_traced_memory()[1], 5_000_000)

        async def read_header():
            reader = asyncio.StreamReader()
            reader.feed_data(b"\x80\x00\x00\x00")
            reader.feed_eof()
            await frames.read(reader, traffic=traffic.Traffic())

        with self.assertRaises(codec.MalformedError):
            asyncio.run(read_header())


if __name__ == "__main__":
    unittest.main()
