"""What an instance holds for callers and replicas stays within its bound."""

import asyncio
import contextlib
import datetime
import errno
import fcntl
import socket
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import caller_sink
from nutmeghook.internal.relay import held_bytes
from nutmeghook.internal.relay import request_bytes
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.standins import users_replica
from tests import driven_relay
from tests import relay_fixture
from tests import slow_peers

KB = 1024
SECOND = datetime.timedelta(seconds=1)
STREAM = model.RouteKind.STREAM
IDEMPOTENT = model.RouteKind.IDEMPOTENT
ONCE = model.RouteKind.ONCE
WRITE_BUFFER = caller_sink.WRITE_BUFFER_BYTES
READ_BUFFER = 2 * connection_module.READ_BUFFER_BYTES
# The largest read of a socket, which the parser may hold back.
SOCKET_READ = 256 * KB


class FakeCaller:
    """A request's buffers, without a network."""

    def __init__(self, account: held_bytes.HeldBytes):
        self.written = 0
        self.unsent = 0
        self.was_cut = False
        self.read_buffer = 0
        self.held = account.begin(
            measure_writes=lambda: request_bytes.WriteProgress(
                read_bytes=self.written - self.unsent,
                unsent_bytes=self.unsent,
            ),
            cut=self._cut,
        )
        self._reading = contextlib.ExitStack()
        self._reading.enter_context(self.held.reading(lambda: self.read_buffer))

    def _cut(self) -> None:
        self.was_cut = True

    def write(self, count: int) -> None:
        """Writes bytes, of which the system accepts none yet."""
        self.held.note_write()
        self.written += count
        self.unsent += count
        self.held.sample()

    def take(self, count: int) -> None:
        """Lets the caller read."""
        self.unsent -= min(count, self.unsent)

    def end(self) -> None:
        """Ends the request."""
        self._reading.close()
        self.held.end()


class AccountCase(unittest.IsolatedAsyncioTestCase):
    """Gives each test an account of an instance of 160 MB."""

    def setUp(self):
        self.build()

    def build(self, bound_bytes: int = held_bytes.bound_for(160)) -> None:
        """Sets up an account with its own clock."""
        self.clock = clock_module.FakeClock()
        self.metrics = metrics_module.Metrics()
        self.account = held_bytes.HeldBytes(
            bound_bytes=bound_bytes, metrics=self.metrics, clock=self.clock
        )

    async def sweep_for(self, duration: datetime.timedelta) -> None:
        """Lets time pass with its sweeps."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            await self.clock.advance(held_bytes.WATCH_INTERVAL)
            self.account.sweep()


class DecisionsTest(AccountCase):
    def test_the_bound_is_a_quarter_of_the_memory(self):
        self.assertEqual(held_bytes.bound_for(160), 40_000_000)
        self.assertEqual(held_bytes.bound_for(300), 75_000_000)

    def test_the_largest_request_fits_the_smallest_bound(self):
        """An instance with little memory is started. If a body or answer of the
        permitted size were beyond its bound, that request could never run.
        """
        account = held_bytes.HeldBytes(
            bound_bytes=held_bytes.bound_for(1),
            metrics=self.metrics,
            clock=self.clock,
        )
        caller = FakeCaller(account)
        self.assertTrue(
            caller.held.try_hold_body(model.CallerLimits().body_bytes)
        )
        self.assertTrue(caller.held.try_hold_answer(8 * KB * KB))

    async def test_a_caller_that_does_not_read_is_kept_while_memory_lasts(self):
        """A caller stops reading for a minute, and little else is held. Cutting
        it would lose an answer that it may still read before its deadline.
        """
        caller = FakeCaller(self.account)
        caller.held.deadline = 100 * SECOND
        caller.write(WRITE_BUFFER)
        await self.sweep_for(60 * SECOND)
        self.assertFalse(caller.was_cut)

    async def test_over_half_of_the_bound_it_is_cut_after_four_seconds(self):
        reader, stopped = FakeCaller(self.account), FakeCaller(self.account)
        for caller in (reader, stopped):
            caller.held.deadline = 100 * SECOND
            caller.write(15_000_000)
        for _ in range(19):
            reader.take(1)
            await self.sweep_for(held_bytes.WATCH_INTERVAL)
        self.assertFalse(stopped.was_cut)
        reader.take(1)
        await self.sweep_for(held_bytes.WATCH_INTERVAL)
        self.assertTrue(stopped.was_cut)
        self.assertFalse(reader.was_cut)
        self.assertEqual(self.account.total_bytes, reader.held.size)

    async def test_a_slow_reader_behind_a_full_send_buffer_is_kept(self):
        """The system accepts an answer's first bytes at once, and holds them.
        If those counted as read for good, a caller that reads slowly would
        appear to read nothing until it has read that many, and would be cut.
        """
        accepted, unacknowledged = 100 * KB, 0
        unsent = 0
        held = self.account.begin(
            measure_writes=lambda: request_bytes.WriteProgress(
                read_bytes=accepted - unacknowledged, unsent_bytes=unsent
            ),
            cut=lambda: None,
        )
        held.deadline = 100 * SECOND
        held.sample()
        unacknowledged, unsent = accepted, self.account.bound_bytes
        held.sample()
        for _ in range(10):
            unacknowledged -= KB
            await self.sweep_for(1 * SECOND)
        self.assertFalse(held.is_cut)
        await self.sweep_for(4 * SECOND)
        self.assertTrue(held.is_cut)

    async def test_at_the_bound_the_largest_is_cut_after_two_seconds(self):
        """The bound is reached by callers that don't read. A new request is
        refused until one of them has read nothing for 2 s; then the one that
        holds most is cut, and the request gets its place.
        """
        small, large = FakeCaller(self.account), FakeCaller(self.account)
        for caller, size in ((small, 15_000_000), (large, 25_000_000)):
            caller.held.deadline = 100 * SECOND
            caller.write(size)
        new = FakeCaller(self.account)
        await self.sweep_for(1.8 * SECOND)
        self.assertFalse(new.held.try_hold_body(1000))
        self.assertFalse(large.was_cut)
        with mock.patch.object(logs, "note") as note:
            await self.sweep_for(0.2 * SECOND)
            self.assertTrue(new.held.try_hold_body(1000))
        self.assertTrue(large.was_cut)
        self.assertFalse(small.was_cut)
        note.assert_called_once_with(
            "caller:not_reading",
            request="",
            held_bytes=25_000_000,
            unread_ms=2000,
        )
        page = self.metrics.render([])[0].decode()
        self.assertIn("nutmeghook_callers_not_reading_total 1", page)

    async def test_a_write_ends_half_a_second_after_the_deadline(self):
        caller = FakeCaller(self.account)
        caller.held.deadline = 10 * SECOND
        caller.write(WRITE_BUFFER)
        await self.sweep_for(10.2 * SECOND)
        self.assertFalse(caller.was_cut)
        await self.sweep_for(0.3 * SECOND)
        self.assertTrue(caller.was_cut)

    async def test_an_answer_that_is_ready_late_gets_its_half_second(self):
        """The instance was busy, and a whole answer is ready a second after its
        deadline. It must be delivered, so its time counts from its write.
        """
        caller = FakeCaller(self.account)
        caller.held.deadline = 1 * SECOND
        await self.clock.advance(2 * SECOND)
        self.account.restart_sweeps()
        caller.write(WRITE_BUFFER)
        await self.sweep_for(0.2 * SECOND)
        self.assertFalse(caller.was_cut)
        caller.take(WRITE_BUFFER)
        await self.sweep_for(5 * SECOND)
        self.assertFalse(caller.was_cut)

    async def test_a_process_that_stood_still_cuts_nobody_at_once(self):
        """The process gets no processor time for 10 s. Its callers' systems had
        no chance to take bytes, so that time says nothing about them.
        """
        caller = FakeCaller(self.account)
        caller.held.deadline = 5 * SECOND
        caller.write(self.account.bound_bytes)
        await self.clock.advance(10 * SECOND)
        self.account.sweep()
        self.assertFalse(caller.was_cut)

    async def test_a_whole_answer_waits_for_room(self):
        first, second = FakeCaller(self.account), FakeCaller(self.account)
        self.assertTrue(first.held.try_hold_answer(self.account.bound_bytes))
        waiting = asyncio.create_task(second.held.hold_answer(1000))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        first.end()
        await waiting
        self.assertEqual(self.account.total_bytes, 1000)

    def test_a_write_does_not_measure_what_is_read(self):
        """The production event loop writes at the end of its turn, so each
        event is unsent for a moment. To measure what its caller has read takes
        a system call, which would be made for every event.
        """
        measure = mock.Mock()
        held = self.account.begin(measure_writes=measure, cut=mock.Mock())
        held.note_unsent(100)
        measure.assert_not_called()
        self.assertEqual(self.account.total_bytes, 100)
        self.assertTrue(self.account.has_unread)

    def test_bodies_leave_room_for_an_answer(self):
        """Requests with large bodies arrive until they are refused. Each holds
        its body until its answer has come, so bodies that filled the bound
        would all wait for room for their answers until their deadlines.
        """
        callers = [FakeCaller(self.account) for _ in range(50)]
        taken = [c for c in callers if c.held.try_hold_body(1_000_000)]
        self.assertTrue(taken[0].held.try_hold_answer(8 * KB * KB))
        self.assertEqual(len(taken), 31)
        for caller in callers:
            caller.end()
        another = FakeCaller(self.account)
        self.assertTrue(another.held.try_hold_body(31_000_000))

    async def test_a_thousand_callers_that_stop_reading(self):
        """A thousand callers stop reading on the smallest instance. All their
        buffers fill; the bound must hold, and others must be served again
        within seconds.
        """
        callers = []
        for _ in range(1000):
            caller = FakeCaller(self.account)
            caller.held.deadline = 30 * SECOND
            caller.write(WRITE_BUFFER)
            callers.append(caller)
        # Each fills its read buffer as far as the replicas' speed allows.
        most = 0
        for _ in range(30):
            for caller in callers:
                caller.read_buffer = min(
                    caller.read_buffer + 2 * KB, READ_BUFFER
                )
            await self.sweep_for(held_bytes.WATCH_INTERVAL)
            most = max(most, self.account.total_bytes)
        buffers = 1000 * (WRITE_BUFFER + READ_BUFFER)
        self.assertLess(self.account.bound_bytes, buffers)
        self.assertLessEqual(most, self.account.bound_bytes)
        cut = [caller for caller in callers if caller.was_cut]
        self.assertTrue(0 < len(cut) < 1000)
        half = self.account.bound_bytes // 2
        self.assertLessEqual(self.account.total_bytes, half)
        self.assertTrue(FakeCaller(self.account).held.try_hold_body(1000))


# A small bound, so that a few steps reach it.
_BOUND = 100
_BUFFER = 10
_STEP = strategies.tuples(
    strategies.sampled_from(
        (
            "begin",
            "body",
            "answer",
            "drop",
            "write",
            "take",
            "read",
            "sweep",
            "end",
        )
    ),
    strategies.integers(min_value=0, max_value=7),
    strategies.integers(min_value=0, max_value=60),
)


class AccountPropertiesTest(AccountCase):
    @hypothesis.settings(max_examples=200)
    @hypothesis.given(steps=strategies.lists(_STEP, max_size=60))
    def test_any_order_of_events(self, steps):
        """Requests end, retry and are cut in any order. An account that drifts
        would refuse all requests in the end, or none.
        """
        asyncio.run(self._follow(steps))

    async def _follow(self, steps) -> None:
        self.build(bound_bytes=_BOUND)
        callers: list[FakeCaller] = []
        for action, which, amount in steps:
            if action == "begin" or not callers:
                callers.append(FakeCaller(self.account))
                continue
            caller = callers[which % len(callers)]
            if action == "sweep":
                await self.sweep_for(amount / 10 * SECOND)
            elif action == "end":
                caller.end()
            else:
                self._act(caller, action, amount)
            self._check(callers)
        for caller in callers:
            caller.end()
        self.assertEqual(self.account.total_bytes, 0)

    def _act(self, caller: FakeCaller, action: str, amount: int) -> None:
        held = caller.held
        if action == "body":
            held.try_hold_body(amount)
        elif action == "answer":
            held.try_hold_answer(amount)
        elif action == "drop":
            held.release_answer(amount)
        elif action == "write" and not caller.unsent:
            # A further write waits until the buffer is empty.
            caller.write(min(amount, _BUFFER))
        elif action == "take":
            caller.take(amount)
            held.sample()
        elif action == "read":
            caller.read_buffer = min(amount, _BUFFER)
            held.sample()

    def _check(self, callers: list[FakeCaller]) -> None:
        self.assertGreaterEqual(self.account.total_bytes, 0)
        self.assertEqual(
            self.account.total_bytes,
            sum(c.held.size for c in callers if not c.held.is_ended),
        )
        buffers = 2 * _BUFFER * len(callers)
        self.assertLessEqual(self.account.total_bytes, _BOUND + buffers)


class SlowCallersTest(driven_relay.DrivenRelayCase):
    def build_replica(self, replica_id):
        return slow_peers.FloodingReplica(replica_id=replica_id)

    def sent_bytes(self) -> int:
        """Returns what the replicas have written of all answers."""
        return sum(replica.sent_bytes for replica in self.replicas)

    async def ask_slowly(self, count: int = 1) -> list[slow_peers.SlowCaller]:
        """Sends requests whose answers are not read."""
        callers = []
        for number in range(count):
            caller = slow_peers.SlowCaller(address=self.listener.address)
            self.addCleanup(caller.close)
            await caller.ask(STREAM, request_id=f"request-{number}")
            callers.append(caller)
        return callers

    async def until_blocked(self, count: int = 1) -> None:
        """Waits until all buffers on the way to the callers are full."""
        quiet, before = 0, (-1, -1)
        while quiet < 50:
            await asyncio.sleep(0.002)
            now = (self.sent_bytes(), self.account_size())
            is_quiet = now == before and self.listener.in_flight == count
            quiet = quiet + 1 if is_quiet and now[1] else 0
            before = now

    def account_size(self) -> int:
        """Returns what is held, with all buffers measured now."""
        for request in list(self.held._requests):
            request.sample()
        return self.held.total_bytes

    def set_time_limit(self, limit: datetime.timedelta) -> None:
        """Sets the streams' time limit."""
        self.put_in_force(relay_fixture.route(STREAM, time_limit=limit))

    async def pass_time(self, duration: datetime.timedelta) -> None:
        """Advances the clock, with real time for the sockets between."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            await self.clock.advance(held_bytes.WATCH_INTERVAL)
            await asyncio.sleep(0.001)

    async def test_a_caller_that_stops_reading_stops_its_replica(self):
        """A caller stops reading. The instance must stop reading from the
        replica, or it holds the whole answer; 0.5 s after the deadline it must
        end the request, and the answer must not look complete.
        """
        self.set_time_limit(20 * SECOND)
        (caller,) = await self.ask_slowly()
        await self.until_blocked()
        stopped_at = self.sent_bytes()
        self.assertLess(stopped_at, slow_peers.FLOOD_BYTES // 4)
        self.assertLessEqual(
            self.account_size(),
            WRITE_BUFFER + READ_BUFFER + SOCKET_READ + slow_peers.EVENT_BYTES,
        )
        await self.pass_time(20 * SECOND)
        self.assertEqual(self.sent_bytes(), stopped_at)
        self.assertEqual(self.listener.in_flight, 1)
        with mock.patch.object(logs, "note", wraps=logs.note) as note:
            await self.pass_time(0.6 * SECOND)
        noted = {call.args[0]: call.kwargs for call in note.call_args_list}
        self.assertEqual(noted["caller:not_reading"]["request"], "request-0")
        self.assertEqual(
            noted["request:ended"]["outcome"], "the caller does not read"
        )
        self.assertTrue(noted["request:ended"]["cut"])
        self.assertFalse(relay_fixture.is_complete(await caller.read_all()))
        self.assertEqual(self.held.total_bytes, 0)
        self.assertEqual(self.listener.in_flight, 0)

    async def test_a_caller_that_reads_a_kilobyte_a_second(self):
        """A caller reads 1 KB a second, and nothing else is held. It must get
        its answer, every event once and in order.
        """
        count = 200
        for replica in self.replicas:
            replica.events = count
        (caller,) = await self.ask_slowly()
        await self.until_blocked()
        for _ in range(30):
            await caller.read(KB)
            await self.pass_time(1 * SECOND)
        self.assertEqual(self.listener.in_flight, 1)
        answer = await caller.read_all()
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(
            relay_fixture.events_of(answer),
            [slow_peers.large_event(number) for number in range(count)],
        )
        await self.pass_time(1 * SECOND)
        self.assertEqual(self.held.total_bytes, 0)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_over_half_of_the_bound_a_slow_reader_is_kept(self):
        """A caller reads 4 KB a second while more than half of the bound is
        held. Only callers that read nothing may be cut. Its system
        acknowledges some 6 KB at a time.
        """
        (caller,) = await self.ask_slowly()
        await self.until_blocked()
        self.held.bound_bytes = self.account_size() * 3 // 2
        for _ in range(12):
            await caller.read(4 * KB)
            await self.pass_time(1 * SECOND)
        self.assertEqual(self.listener.in_flight, 1)

    async def test_at_the_bound_requests_are_refused_and_then_served(self):
        """Callers that don't read hold all that may be held. Another request is
        refused as not run, which must be true; 2 s later one of them is cut and
        the next request is let in.
        """
        await self.ask_slowly(3)
        await self.until_blocked(3)
        self.held.bound_bytes = self.account_size()
        sent = len(self.received_requests())
        answer = await self.ask(STREAM, request_id="request-9")
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"Retry-After", answer)
        self.assertEqual(len(self.received_requests()), sent)
        await self.pass_time(2.4 * SECOND)
        self.assertEqual(self.listener.in_flight, 3)
        for replica in self.replicas:
            replica.events = 1
        asking = asyncio.create_task(self.ask(STREAM, request_id="request-10"))
        answer = await self.answer_of(asking)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(self.listener.in_flight, 2)


class HeldBodiesTest(driven_relay.DrivenRelayCase):
    async def test_a_body_beyond_the_bound_is_refused_and_not_run(self):
        self.held.bound_bytes = 100 * KB
        answer = await self.ask(ONCE, body=b"x" * 200 * KB)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertEqual(self.received_requests(), [])
        answer = await self.ask(ONCE, body=b"x" * 50 * KB)
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(self.held.total_bytes, 0)

    async def test_answers_that_don_t_fit_together_come_one_after_another(self):
        """Two answers are held until they are whole, and the bound has room for
        one. The other waits at its replica; neither may be refused, since both
        have run.
        """
        body = b"y" * 300 * KB
        self.held.bound_bytes = 400 * KB
        self.reply_with(users_replica.Reply(body=body))
        asking = [
            asyncio.create_task(self.ask(IDEMPOTENT, request_id=str(number)))
            for number in range(4)
        ]
        for task in asking:
            answer = await self.answer_of(task)
            self.assertEqual(relay_fixture.body_of(answer), body)
        self.assertEqual(self.held.total_bytes, 0)
        self.assertEqual(len(self.received_requests()), 4)

    async def test_the_answer_to_head_needs_no_room_for_its_stated_length(self):
        """The answer to HEAD states the length of a body that never comes. If
        room for it were awaited, the request would wait until its deadline.
        """
        self.held.bound_bytes = 100 * KB
        reply = users_replica.Reply(body=b"y" * 300 * KB, send_bytes=0)
        self.reply_with(reply)
        self.put_in_force(relay_fixture.route(IDEMPOTENT))
        asking = asyncio.create_task(self.ask(IDEMPOTENT, method="HEAD"))
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(self.held.total_bytes, 0)


class SocketOptionsTest(driven_relay.DrivenRelayCase):
    async def test_a_system_that_refuses_options(self):
        """Systems refuse options of a connection that was just reset, and some
        lack them. A request must not fail for it, and least of all as perhaps
        run, since nothing was written.
        """
        refused = []

        def refuse(_, level: int, option: int, value: int) -> None:
            if (level, option) in (
                (socket.SOL_SOCKET, socket.SO_SNDBUF),
                (socket.SOL_SOCKET, socket.SO_RCVBUF),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            ):
                refused.append(value)
                raise OSError(errno.EINVAL, "Invalid argument")

        error = OSError(errno.ENOTTY, "Inappropriate ioctl for device")
        with (
            mock.patch("asyncio.trsock.TransportSocket.setsockopt", refuse),
            mock.patch.object(fcntl, "ioctl", side_effect=error),
        ):
            answer = await asyncio.wait_for(self.ask(ONCE), 5.0)
        self.assertEqual(relay_fixture.status_of(answer), 200)
        # Two of the caller's connection, two of the replica's.
        self.assertEqual(len(refused), 4)


class EndlessEventsTest(driven_relay.DrivenRelayCase):
    def build_replica(self, replica_id):
        return slow_peers.EndlessEventReplica(replica_id=replica_id)

    async def test_an_event_that_never_ends(self):
        """A faulty replica never ends an event. An event is held until it is
        complete, so without a limit the instance would hold all of it.
        """
        asking = asyncio.create_task(self.ask(STREAM))
        most = 0
        while not asking.done():
            await self.clock.advance(driven_relay.STEP)
            await asyncio.sleep(0.001)
            for request in list(self.held._requests):
                request.sample()
            most = max(most, self.held.total_bytes)
        answer = await asking
        self.assertEqual(relay_fixture.status_of(answer), 502)
        self.assertLess(most, KB * KB + READ_BUFFER + SOCKET_READ)
        self.assertEqual(self.held.total_bytes, 0)


class UnreadWholeAnswersTest(driven_relay.DrivenRelayCase):
    async def until_unread(self) -> None:
        """Waits until a write to the caller waits."""
        for _ in range(5000):
            if self.held.has_unread:
                return
            await asyncio.sleep(0.002)
        self.fail("no write waits")

    async def test_a_whole_answer_that_is_not_read(self):
        """A whole answer is larger than all buffers, and its caller reads
        nothing. The write waits inside the HTTP library, and must still end
        0.5 s after the deadline, with an answer that is shorter than stated.
        """
        size = 6 * KB * KB
        self.reply_with(users_replica.Reply(body=b"y" * size))
        self.put_in_force(relay_fixture.route(IDEMPOTENT))
        caller = slow_peers.SlowCaller(address=self.listener.address)
        self.addCleanup(caller.close)
        await caller.ask(IDEMPOTENT)
        await self.until_unread()
        # The answer and what of it is unsent are the same bytes.
        (request,) = self.held._requests
        self.assertEqual(self.held.total_bytes, size + request._head)
        for _ in range(5):
            await self.clock.advance(1 * SECOND)
            await asyncio.sleep(0.002)
        self.assertEqual(self.listener.in_flight, 1)
        for _ in range(3):
            await self.clock.advance(held_bytes.WATCH_INTERVAL)
            await asyncio.sleep(0.002)
        self.assertEqual(self.held.total_bytes, 0)
        self.assertLess(len(await caller.read_all()), size)


class NonReadingReplicasTest(driven_relay.DrivenRelayCase):
    BODY = b"z" * 4 * KB * KB

    def build_replica(self, replica_id):
        if replica_id == "replica-0":
            return slow_peers.NonReadingReplica(replica_id=replica_id)
        return users_replica.StandInReplica(replica_id=replica_id)

    async def sent_to_the_deaf_one(self, kind) -> asyncio.Task[bytes]:
        """Sends a request while only the replica that does not read is known.

        Returns:
            Its answer, once a part of it was written.
        """
        self.directory.remove("replica-1")
        self.put_in_force(relay_fixture.route(kind))
        asking = asyncio.create_task(self.ask(kind, body=self.BODY))
        await self.replicas[0].request_received.wait()
        return asking

    async def test_a_body_that_is_not_read_may_have_run(self):
        """A replica reads nothing of a body. Part of it was written, so the
        request may have run: one that may run only once is not sent again, and
        its caller is told so at the deadline.
        """
        asking = await self.sent_to_the_deaf_one(ONCE)
        self.directory.put(self.entry(self.replicas[1]))
        await self.clock.advance(5 * SECOND)
        answer = await asking
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(self.received_requests(), [])
        self.assertEqual(self.held.total_bytes, 0)

    async def test_a_repeatable_request_moves_to_a_replica_that_reads(self):
        asking = await self.sent_to_the_deaf_one(IDEMPOTENT)
        self.directory.put(self.entry(self.replicas[1]))
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.status_of(answer), 200)
        (request,) = self.received_requests()
        self.assertEqual(request.body, self.BODY)
        self.assertEqual(self.held.total_bytes, 0)


if __name__ == "__main__":
    unittest.main()
