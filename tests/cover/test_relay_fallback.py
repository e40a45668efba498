"""The fallback replica: its retry stays reserved, is paid for, and is used."""

import asyncio
import unittest
from unittest import mock

from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.version_plans import view
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import driven_relay
from tests import fakes
from tests import relay_fixture

IDEMPOTENT = model.RouteKind.IDEMPOTENT
STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = driven_relay.EVENTS
WHOLE = driven_relay.WHOLE
LONG = driven_relay.LONG
SECOND = relay_fixture.SECOND
REFUSAL = Reply(status=503, not_run=True)


class FallbackCase(driven_relay.BudgetedRelayCase):
    def answer_in_turn(self, *acts) -> None:
        """Lets all replicas together answer by these functions, in turn.

        Each gets the replica that received the request; the last is repeated.
        """
        left = list(acts)

        def decide_at(replica):
            def decide(_: users_replica.ReceivedRequest) -> Reply:
                act = left.pop(0) if len(left) > 1 else left[0]
                return act(replica)

            return decide

        for replica in self.replicas:
            replica.decide_by(decide_at(replica))

    def limit(self, *, attempts: int = 3, **changes) -> None:
        """Puts routes with a time limit of a minute in force."""
        limits = {"time_limit": 60 * SECOND, "attempts": attempts}
        self.put_in_force(
            *(
                relay_fixture.route(kind, **(limits | changes))
                for kind in (IDEMPOTENT, STREAM)
            )
        )


class BegunStreamsTest(driven_relay.BegunStreamCase, FallbackCase):
    replica_count = 8

    async def test_the_fallback_outlasts_an_unreachable_replica(self):
        """A begun stream moves from a paused replica to one that becomes
        unreachable, and on to a third, which refuses with the budget spent. The
        retry reserved for the first replica must not be lost on the second
        move, or the stream is cut.
        """
        asking = await self.begun()
        (first,) = [r for r in self.replicas if r.received]
        self.spend_all(but=3)

        def become_unreachable(replica) -> Reply:
            replica.become_unreachable()
            return Reply(silent=True)

        def refuse(replica) -> Reply:
            return Reply(events=EVENTS) if replica is first else REFUSAL

        self.answer_in_turn(become_unreachable, refuse)
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.received_requests()), 4)

    async def test_a_reserved_attempt_counts_for_the_next_move(self):
        """A begun stream moves to a replica that stays silent. One retry is
        left and one is reserved for the fallback, enough for another move. If
        the reservation were not counted, the stream would wait until other
        attempts leave the window.
        """
        self.limit()
        asking = await self.begun()
        self.spend_all(but=3)
        arrivals = []

        def reply_at(reply: Reply):
            def act(_) -> Reply:
                arrivals.append(self.clock.monotonic())
                return reply

            return act

        self.answer_in_turn(
            reply_at(Reply(silent=True)), reply_at(Reply(events=EVENTS))
        )
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        silent_from, left_at = arrivals
        self.assertLess(left_at - silent_from, 5 * SECOND)

    async def test_no_fallback_to_a_withdrawn_version(self):
        """A begun stream's replica is abandoned and its version withdrawn; the
        next replica refuses with the budget spent. Nothing more may be sent to
        the withdrawn version, even if the stream is cut.
        """
        withdrawn = set()

        def accepts(*_, **__):
            return lambda entry: entry.version not in withdrawn

        for method in ("accepts", "accepts_stable"):
            patched = mock.patch.object(view.AnyVersion, method, accepts)
            patched.start()
            self.addCleanup(patched.stop)
        asking = await self.begun()
        (first,) = [r for r in self.replicas if r.received]
        self.directory.put(self.entry(first, version="v2"))
        self.spend_all(but=2)

        def refuse(_) -> Reply:
            withdrawn.add("v2")
            return REFUSAL

        self.answer_in_turn(refuse)
        answer = await self.answer_of(asking)
        self.assertFalse(relay_fixture.is_complete(answer))
        self.assertEqual(len(first.received), 1)

    async def test_a_reservation_serves_elsewhere_if_the_fallback_leaves(self):
        """A begun stream's replica is abandoned and then starts leaving, as at
        a roll-out's end. The next one refuses with the budget spent. The stream
        is cut unless the reserved retry may be used at another replica.
        """
        asking = await self.begun()
        (first,) = [r for r in self.replicas if r.received]
        self.spend_all(but=2)

        def refuse(_) -> Reply:
            self.directory.put(self.entry(first, leaving=True))
            return REFUSAL

        self.answer_in_turn(refuse, lambda _: Reply(events=EVENTS))
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(first.received), 1)
        self.assertEqual(len(self.received_requests()), 3)
        self.assertLess(self.budgets.budget_for("service").remaining(), 1)

    async def test_the_fallback_is_used_if_no_other_replica_is_listed(self):
        """A begun stream is moved, the next replica refuses, and all but the
        first disappear from the list. The first one's version gets no new
        requests but is the stable one. The stream is cut unless it falls back
        to it.
        """
        asking = await self.begun()
        (first,) = [r for r in self.replicas if r.received]
        self.directory.put(self.entry(first, version="v2"))
        patched = mock.patch.object(
            view.AnyVersion,
            "accepts",
            lambda *_, **__: lambda entry: entry.version == "v1",
        )
        patched.start()
        self.addCleanup(patched.stop)

        def refuse(_) -> Reply:
            for replica in self.replicas:
                if replica is not first:
                    self.directory.remove(replica.replica_id)
            return REFUSAL

        self.answer_in_turn(refuse, lambda _: Reply(events=EVENTS))
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(first.received), 2)


class FallbackReleaseTest(driven_relay.BegunStreamCase, FallbackCase):
    """A reservation never expires, so each end of a request releases it."""

    replica_count = 8

    async def moved(self) -> float:
        """Moves a begun stream to a replica that then stays silent.

        Returns:
            What is left of the budget with the one attempt paid for.
        """
        self.limit(attempts=2, time_limit=9 * SECOND)
        opened = asyncio.open_connection

        async def kept(host: str, port: int):
            reader, self.writer = await opened(host, port)
            return reader, self.writer

        with mock.patch.object(asyncio, "open_connection", kept):
            self.asking = await self.begun()
        before = self.budgets.budget_for("service").remaining()
        self.answer_in_turn(lambda _: Reply(silent=True))
        while len(self.received_requests()) < 2:
            await self.clock.advance(driven_relay.STEP)
            await asyncio.sleep(0.001)
        self.assertEqual(
            self.budgets.budget_for("service").remaining(), before - 2
        )
        return before - 1

    async def test_at_the_time_limit(self):
        """The second replica is silent until the time limit cuts the stream."""
        after_one_attempt = await self.moved()
        answer = await self.answer_of(self.asking)
        self.assertFalse(relay_fixture.is_complete(answer))
        self.assertEqual(
            self.budgets.budget_for("service").remaining(), after_one_attempt
        )

    async def test_when_the_caller_leaves(self):
        """The caller disconnects while the second replica is silent."""
        after_one_attempt = await self.moved()
        (silent,) = [
            replica
            for replica in self.replicas
            if replica.received and not replica.abandoned
        ]
        self.asking.cancel()
        self.writer.close()
        async with asyncio.timeout(5):
            await silent.request_abandoned.wait()
        await fakes.settle()
        self.assertEqual(self.listener.in_flight, 0)
        self.assertEqual(
            self.budgets.budget_for("service").remaining(), after_one_attempt
        )


class FallbackTest(FallbackCase):
    """Other abandoned work, followed by an attempt that is refused."""

    async def test_a_slow_whole_answer_is_asked_for_again(self):
        """A replica takes too long, and the next one refuses with the budget
        spent. The caller gets the first one's answer, not 502.
        """
        self.spend_all(but=2)
        self.reply_with(
            Reply(silent=True),
            Reply(status=503, not_run=True),
            Reply(body=b"at last"),
        )
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.body_of(answer), b"at last")
        first, _, back = self.in_order_of_arrival()
        self.assertEqual(first, back)

    async def test_a_weak_answer_is_asked_for_again(self):
        """A small model's answer is dropped for the large model's, whose
        replica refuses with the budget spent. The small model is asked once
        more, not the large one, and the caller gets its answer.
        """
        self.put_in_force(
            relay_fixture.route(
                STREAM, time_limit=LONG, models=driven_relay.MODELS
            )
        )
        self.spend_all(but=2)
        self.reply_with(
            Reply(events=(7, 8), confidence=10),
            Reply(status=503, not_run=True),
            Reply(events=EVENTS, confidence=10),
        )
        answer = await self.answer_of(
            asyncio.create_task(self.ask(STREAM, extra=driven_relay.ANY_MODEL))
        )
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        name = headers.MODEL.lower()
        asked = sorted(
            (s.arrived_s, s.headers[name]) for s in self.received_requests()
        )
        self.assertEqual(
            [model_name for _, model_name in asked], ["small", "large", "small"]
        )


class FallbackAfterFailureTest(FallbackCase):
    async def test_a_failure_does_not_replace_a_slow_answer(self):
        """A replica takes too long, and the next one fails the request with the
        budget spent. A failure must lead to the fallback as a refusal does, or
        the caller gets the failure.
        """
        self.spend_all(but=2)
        self.reply_with(
            Reply(silent=True),
            Reply(status=500, body=b"out of order"),
            Reply(body=b"at last"),
        )
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.body_of(answer), b"at last")
        first, _, back = self.in_order_of_arrival()
        self.assertEqual(first, back)

    async def test_a_weak_answer_outlasts_an_unreachable_replica(self):
        """A small model's answer is dropped, the large model's replica becomes
        unreachable, and the next one refuses with the budget spent. The small
        model is asked once more; otherwise the caller gets nothing.
        """
        self.limit(models=driven_relay.MODELS)
        self.spend_all(but=3)

        def become_unreachable(replica) -> Reply:
            replica.become_unreachable()
            return Reply(silent=True)

        def weak(_) -> Reply:
            # The large model's replica is to be another one.
            self.used_replica().health.note_unreachable(self.clock.monotonic())
            return Reply(events=(7, 8), confidence=10)

        self.answer_in_turn(
            weak,
            become_unreachable,
            lambda _: REFUSAL,
            lambda _: Reply(events=EVENTS, confidence=10),
        )
        answer = await self.answer_of(
            asyncio.create_task(self.ask(STREAM, extra=driven_relay.ANY_MODEL))
        )
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        asked = sorted(
            (s.arrived_s, s.headers[headers.MODEL.lower()])
            for s in self.received_requests()
        )
        self.assertEqual(
            [name for _, name in asked], ["small", "large", "large", "small"]
        )

    async def test_a_fallback_is_forecast_for_the_model_that_it_runs(self):
        """The small model is asked once more after the large one's replica
        refused. A forecast for the large model would distort what is recorded
        of the replica's speed and its cached prompt prefixes.
        """
        self.limit(models=driven_relay.MODELS)
        self.spend_all(but=2)
        self.reply_with(
            Reply(events=EVENTS, confidence=10),
            REFUSAL,
            Reply(events=EVENTS),
        )
        keys = []
        choose = choice_module.ReplicaChooser.choose

        def noted(chooser, criteria: choice_module.ReplicaCriteria):
            keys.append(criteria.key)
            return choose(chooser, criteria)

        with mock.patch.object(choice_module.ReplicaChooser, "choose", noted):
            await self.answer_of(
                asyncio.create_task(
                    self.ask(
                        STREAM,
                        extra=(
                            *driven_relay.ANY_MODEL,
                            (headers.TOKEN_COUNTS, "100,10"),
                            (headers.PROMPT_PARTS, "5c1e07a2:80"),
                        ),
                    )
                )
            )
        self.assertEqual(len(self.received_requests()), 3)
        self.assertEqual(keys[0], keys[-1])


if __name__ == "__main__":
    unittest.main()
