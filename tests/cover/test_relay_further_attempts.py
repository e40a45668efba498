"""Attempts under way and further attempts: what may end them too early."""

import asyncio
from collections.abc import Awaitable
import datetime
import unittest
from unittest import mock

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import retry_permission
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import pool as pool_module
from nutmeghook.internal.upstream import reachability as reachability_module
from nutmeghook.standins import users_replica
from tests import driven_relay
from tests import relay_fixture

IDEMPOTENT = model.RouteKind.IDEMPOTENT
ONCE = model.RouteKind.ONCE
STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = driven_relay.EVENTS
WHOLE = driven_relay.WHOLE
LONG = driven_relay.LONG
SECOND = relay_fixture.SECOND


class BusyClock(clock_module.FakeClock):
    """Lets a wait time out in the same turn in which its result arrives.

    Attributes:
        late_waits: How many of the next waits end so.
    """

    def __init__(self):
        super().__init__()
        self.late_waits = 0

    async def wait_for(
        self, awaitable: Awaitable, duration: datetime.timedelta
    ):
        """Awaits a result; the time may run out as it comes."""
        if not self.late_waits:
            return await super().wait_for(awaitable, duration)
        self.late_waits -= 1
        await asyncio.wait({asyncio.ensure_future(awaitable)})
        raise TimeoutError


class SlowAnswersTest(driven_relay.BudgetedRelayCase):
    replica_count = 8

    def build_clock(self) -> clock_module.Clock:
        return BusyClock()

    async def test_a_slow_replica_that_is_not_abandoned_is_not_ejected(self):
        """A request that may run only once takes far longer than usual, is not
        abandoned, and is answered. Counting a failure for each timeout that
        passed would eject a healthy replica.
        """
        self.reply_with(Reply(body=b"at last", pause_s=0.3))
        asking = asyncio.create_task(self.ask(ONCE))
        await self.arrival()
        await self.clock.advance(10 * SECOND)
        replica = self.used_replica()
        now = self.clock.monotonic()
        self.assertEqual(replica.health.failure_rate(now), 0.0)
        self.assertFalse(replica.health.is_ejected(now))
        answer = await asking
        self.assertEqual(relay_fixture.body_of(answer), b"at last")
        self.assertEqual(len(self.received_requests()), 1)

    async def test_an_answer_that_comes_with_the_timeout_is_forwarded(self):
        """The process is busy, so the answer and the timeout arrive in one turn
        of the event loop. The answer must be forwarded, not dropped and
        requested from another replica.
        """
        self.clock.late_waits = 1
        self.reply_with(Reply(body=b"in hand"), Reply(body=b"another"))
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.body_of(answer), b"in hand")
        self.assertEqual(len(self.received_requests()), 1)

    async def test_an_answer_that_comes_at_the_time_limit_is_forwarded(self):
        """The same at the request's time limit."""
        self.put_in_force(relay_fixture.route(IDEMPOTENT, time_limit=SECOND))
        self.clock.late_waits = 1
        self.reply_with(Reply(body=b"in hand"))
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.body_of(answer), b"in hand")

    async def test_a_caller_that_leaves_ends_a_slow_answer(self):
        """A caller disconnects after the timeout for another attempt has
        passed. Its replica must stop the work.
        """
        self.spend_all()
        self.reply_with(Reply(silent=True))
        host, _, port = self.listener.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"GET /idempotent/x HTTP/1.1\r\nHost: {relay_fixture.HOST}\r\n"
            f"Authorization: Token {relay_fixture.KEY}\r\n\r\n".encode()
        )
        await self.arrival()
        await self.clock.advance(4 * SECOND)
        (replica,) = [r for r in self.replicas if r.received]
        writer.close()
        async with asyncio.timeout(5):
            await replica.request_abandoned.wait()
        self.assertEqual(len(self.received_requests()), 1)

    async def test_own_failures_count_among_all_attempts(self):
        """Replicas refuse a request, and then all fail it. One limit applies to
        all attempts of a request, however each of them ended.
        """
        self.put_in_force(
            relay_fixture.route(IDEMPOTENT, time_limit=LONG, attempts=5)
        )
        refusals = [Reply(status=503, not_run=True)] * (
            retry_permission.MAX_TRIES - 1
        )
        self.reply_with(*refusals, Reply(status=500, body=b"out of order"))
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.status_of(answer), 500)
        self.assertEqual(
            len(self.received_requests()), retry_permission.MAX_TRIES
        )


class SilentStreamsTest(driven_relay.BudgetedRelayCase):
    def probe_with(self, probe) -> None:
        """Replaces the probe of a replica by a new connection."""
        replaced = mock.patch.object(pool_module.ConnectionPool, "probe", probe)
        replaced.start()
        self.addCleanup(replaced.stop)

    async def test_an_event_that_comes_during_the_probe_keeps_its_replica(self):
        """A silent replica's events arrive while it is probed, and the probe
        times out, as after a lost packet. The replica is healthy, so the
        stream must not move to another one.
        """

        async def lost(_, address: str) -> reachability_module.Reachability:
            await asyncio.sleep(0.6)
            return reachability_module.Reachability.DARK

        self.probe_with(lost)
        self.reply_with(Reply(events=EVENTS, pause_s=0.1), Reply(events=EVENTS))
        asking = asyncio.create_task(self.ask(STREAM))
        await self.arrival()
        await self.clock.advance(0.7 * SECOND)
        answer = await asking
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_no_attempt_begins_after_the_time_limit(self):
        """A replica is found unreachable as the request's time ends. Another
        attempt could not answer the caller in time.
        """

        async def slow(_, address: str) -> reachability_module.Reachability:
            await self.clock.advance(0.35 * SECOND)
            return reachability_module.Reachability.DARK

        self.probe_with(slow)
        self.put_in_force(relay_fixture.route(STREAM, time_limit=0.7 * SECOND))
        self.reply_with(Reply(silent=True), Reply(events=EVENTS))
        answer = await self.answer_of(asyncio.create_task(self.ask(STREAM)))
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_failure_and_a_cut_are_not_joined(self):
        """A replica fails a stream, and the next one breaks it off after it has
        begun, with no attempt left. The caller's stream is cut, and the first
        replica's failure is not appended to it.
        """
        self.put_in_force(
            relay_fixture.route(STREAM, time_limit=LONG, attempts=2)
        )
        self.reply_with(
            Reply(status=500, body=b"out of order"),
            Reply(events=EVENTS, send_bytes=len(WHOLE[0]) * 2),
        )
        answer = await self.answer_of(asyncio.create_task(self.ask(STREAM)))
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertNotIn(b"out of order", answer)
        self.assertFalse(relay_fixture.is_complete(answer))

    async def test_a_weak_stream_that_may_run_once_is_kept(self):
        """The small model's answer is weak, but the stream may not be resumed
        and so may run only once. Asking a larger model would be a second run.
        """
        self.put_in_force(
            relay_fixture.route(
                STREAM,
                time_limit=LONG,
                models=driven_relay.MODELS,
                resumable=False,
            )
        )
        self.reply_with(Reply(events=EVENTS, confidence=10))
        answer = await self.answer_of(
            asyncio.create_task(self.ask(STREAM, extra=driven_relay.ANY_MODEL))
        )
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.received_requests()), 1)


class PermittedAttemptsTest(
    driven_relay.BegunStreamCase, driven_relay.BudgetedRelayCase
):
    replica_count = retry_permission.MAX_TRIES + 2

    async def test_a_refused_further_attempt_cuts_no_stream(self):
        """A begun stream moves from a silent replica to one that refuses, with
        the last of the retry budget. The first replica is still healthy, and
        the stream falls back to it.
        """
        asking = await self.begun()
        self.spend_all(but=2)
        self.reply_with(Reply(status=503, not_run=True), Reply(events=EVENTS))
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        first, refusing, back = self.in_order_of_arrival()
        self.assertNotEqual(first, refusing)
        self.assertEqual(first, back)

    async def test_the_last_retry_is_not_spent_on_abandoning_a_replica(self):
        """A begun stream's replica pauses, and the budget allows one attempt
        only. If that were refused, there would be no retry left for falling
        back, so the stream stays and comes whole.
        """
        self.reply_with(Reply(events=EVENTS, pause_s=0.2))
        asking = asyncio.create_task(self.ask(STREAM))
        await self.arrival()
        self.spend_all(but=1)
        await self.clock.advance(9 * SECOND)
        answer = await asking
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_reservation_is_released_once_a_stream_is_resumed(self):
        """A stream moves and is resumed elsewhere. The retry reserved for its
        fallback is released: one attempt was made, and one is paid for.
        """
        asking = await self.begun()
        before = self.budgets.budget_for("service").remaining()
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(
            self.budgets.budget_for("service").remaining(), before - 1
        )

    async def test_a_further_attempt_that_can_not_be_sent_cuts_no_stream(self):
        """A begun stream's replica falls silent, and all others have stopped,
        as at a roll-out's end. The relay must fall back to the first instead of
        using up all attempts on them.
        """
        asking = await self.begun()
        for replica in self.replicas:
            if not replica.received:
                replica.refuse_connections()
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        first, back = self.in_order_of_arrival()
        self.assertEqual(first, back)


class MovedBudgetsTest(driven_relay.BudgetedRelayCase):
    replica_count = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other = self.replicas[1]
        self.directory.put(self.entry(self.other, service="other"))

    def move(self, *_) -> Reply:
        """Moves the route as its request arrives, and replies."""
        self.put_in_force(
            relay_fixture.route(
                IDEMPOTENT,
                time_limit=LONG,
                shares=(model.ServiceShare(service="other", weight=1.0),),
            )
        )
        return self.first_reply

    async def asked(self) -> bytes:
        self.replicas[0].decide_by(self.move)
        self.other.reply_from([Reply(body=b"from the other")])
        return await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))

    async def test_a_retry_uses_the_budget_of_its_service(self):
        """A route moves to another service while its request is under way, and
        its replica crashes. The next attempt would go to the other service,
        whose retry budget is spent, so it must not be sent.
        """
        self.first_reply = Reply(send_bytes=0, reset=True)
        self.spend_all("other")
        self.assertEqual(relay_fixture.status_of(await self.asked()), 502)
        self.assertEqual(self.other.received, [])

    async def test_a_retry_does_not_use_the_budget_of_the_former_service(self):
        """The same, but the old service's budget is spent."""
        self.first_reply = Reply(status=503, not_run=True)
        self.spend_all("service")
        answer = await self.asked()
        self.assertEqual(relay_fixture.body_of(answer), b"from the other")

    async def test_a_retry_after_a_failure_uses_the_budget_of_its_service(self):
        """The same, after a replica's own failure."""
        self.first_reply = Reply(status=500, body=b"out of order")
        self.spend_all("other")
        answer = await self.asked()
        self.assertEqual(relay_fixture.status_of(answer), 500)
        self.assertEqual(self.other.received, [])


class BehindInstanceTest(driven_relay.BudgetedRelayCase):
    async def test_a_refused_request_is_not_denied_by_an_instance_behind(self):
        """A replica refuses a request whose key has been revoked, and this
        instance knows of a newer configuration that it has not received. The
        newer one may admit the request, so it is told to retry; 401 would be
        final.
        """

        def act(_) -> Reply:
            self.revoke_key()
            self.configuration.behind_for = datetime.timedelta
            return Reply(status=503, not_run=True)

        for replica in self.replicas:
            replica.decide_by(act)
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertEqual(len(self.received_requests()), 1)


if __name__ == "__main__":
    unittest.main()
