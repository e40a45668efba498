"""Requests under way whose key is revoked or whose route is removed.

Guards against a check that comes too late: a begun stream's replica pauses, the
relay reserves another replica and a retry, abandons the pausing one, and only
then checks route and key again. With the key revoked, the further attempt is
denied, and the stream is cut though its replica could have completed it.
"""

import asyncio
import unittest

from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import driven_relay
from tests import relay_fixture

IDEMPOTENT = model.RouteKind.IDEMPOTENT
STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = driven_relay.EVENTS
WHOLE = driven_relay.WHOLE
LONG = driven_relay.LONG


class BegunStreamsTest(driven_relay.BegunStreamCase):
    async def test_a_begun_stream_is_not_cut_when_its_key_is_revoked(self):
        """The caller has two events when its key is revoked. Its replica then
        falls silent, and another one is asked to resume. The stream was
        admitted with a valid key, so it is completed.
        """
        asking = await self.begun()
        self.revoke_key()
        await self.assert_goes_on(asking)

    async def test_a_begun_stream_survives_an_unreachable_replica(self):
        """The same, but the replica answers no attempt to connect, and is
        abandoned long before the limit for silence.
        """
        asking = await self.begun()
        (unreachable,) = [r for r in self.replicas if r.received]
        unreachable.become_unreachable()
        self.revoke_key()
        await self.assert_goes_on(asking)

    async def test_a_begun_stream_survives_a_crash_of_its_replica(self):
        """The same, but the replica crashes, so the relay does not choose to
        move.
        """
        asking = await self.begun()
        self.revoke_key()
        (crashed,) = [r for r in self.replicas if r.received]
        await crashed.stop()
        await self.assert_goes_on(asking)

    async def test_a_begun_stream_survives_the_removal_of_its_route(self):
        """The operator removes the route of a stream that has begun."""
        asking = await self.begun()
        self.put_in_force(
            relay_fixture.route(model.RouteKind.IDEMPOTENT, time_limit=LONG)
        )
        await self.assert_goes_on(asking)

    async def test_a_new_request_with_a_revoked_key_is_denied(self):
        """Requests admitted before are completed; later ones are refused."""
        asking = await self.begun()
        self.revoke_key()
        denied = await self.ask(STREAM, request_id="request-2")
        self.assertEqual(relay_fixture.status_of(denied), 401)
        await self.assert_goes_on(asking)


class MovedRoutesTest(driven_relay.BegunStreamCase):
    replica_count = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other = self.replicas[2]
        self.directory.put(self.entry(self.other, service="other"))

    async def test_a_begun_stream_stays_with_its_service(self):
        """The operator moves a stream's route to another service while its
        replica is silent. Texts of two services must not be joined, so the
        stream resumes at another replica of its own service.
        """
        asking = await self.begun()
        self.put_in_force(
            relay_fixture.route(
                STREAM,
                time_limit=LONG,
                shares=(model.ServiceShare(service="other", weight=1.0),),
            )
        )
        await self.assert_goes_on(asking)
        self.assertEqual(self.other.received, [])


class PendingAnswersTest(driven_relay.DrivenRelayCase):
    def on_arrival(self, act, *replies: users_replica.Reply) -> None:
        """Replies in turn, and acts as the first request arrives."""
        left = list(replies)

        def decide(_: users_replica.ReceivedRequest) -> users_replica.Reply:
            if len(left) == len(replies):
                act()
            return left.pop(0) if len(left) > 1 else left[0]

        for replica in self.replicas:
            replica.decide_by(decide)

    def ask_later(self, kind: model.RouteKind, **options) -> asyncio.Task:
        return asyncio.create_task(self.ask(kind, **options))

    async def test_a_weak_answer_is_not_dropped_for_a_refusal(self):
        """The small model's answer is weak, and its key is revoked meanwhile.
        The answer is dropped only if the larger model is really asked;
        otherwise the caller would get neither.
        """
        self.put_in_force(
            relay_fixture.route(
                STREAM, time_limit=LONG, models=driven_relay.MODELS
            )
        )
        self.on_arrival(
            self.revoke_key,
            Reply(events=EVENTS, confidence=10),
            Reply(events=EVENTS, confidence=10),
        )
        answer = await self.answer_of(
            self.ask_later(STREAM, extra=driven_relay.ANY_MODEL)
        )
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertTrue(relay_fixture.is_complete(answer))

    async def test_a_whole_answer_is_not_lost_with_its_key(self):
        """A replica is silent beyond the timeout, and the key is revoked
        meanwhile. Another replica's answer comes, not a failure.
        """
        self.on_arrival(
            self.revoke_key, Reply(silent=True), Reply(body=b"from another")
        )
        answer = await self.answer_of(self.ask_later(IDEMPOTENT))
        self.assertEqual(relay_fixture.body_of(answer), b"from another")

    async def test_a_slow_answer_is_awaited_when_the_retry_budget_is_spent(
        self,
    ):
        """A replica takes longer than the timeout, but the retry budget is
        spent, so no other replica may be asked. The caller waits and gets the
        answer.
        """
        while self.budgets.budget_for("service").try_spend():
            pass
        self.reply_with(Reply(body=b"at last", pause_s=0.3))
        asking = self.ask_later(IDEMPOTENT)
        await self.arrival()
        await self.clock.advance(4 * relay_fixture.SECOND)
        answer = await asking
        self.assertEqual(relay_fixture.body_of(answer), b"at last")
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_replicas_own_failure_is_not_replaced_by_a_refusal(self):
        """A replica fails a stream before its first event, and all others
        refuse it. The caller gets the replica's failure, which says more than a
        rejection for want of a replica.
        """
        self.reply_with(
            Reply(status=500, body=b"out of order"),
            Reply(status=503, not_run=True),
        )
        answer = await self.answer_of(self.ask_later(STREAM))
        self.assertEqual(relay_fixture.status_of(answer), 500)
        self.assertEqual(relay_fixture.body_of(answer), b"out of order")

    async def test_a_request_that_has_not_run_is_authorized_again(self):
        """A replica refuses a request after it waited in its queue, and the key
        is revoked meanwhile. Nothing has run: the caller gets 401, and no other
        replica is asked.
        """
        self.on_arrival(
            self.revoke_key, Reply(status=503, not_run=True), Reply()
        )
        answer = await self.answer_of(self.ask_later(IDEMPOTENT))
        self.assertEqual(relay_fixture.status_of(answer), 401)
        self.assertEqual(len(self.received_requests()), 1)


if __name__ == "__main__":
    unittest.main()
