"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import functools

from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
IDEMPOTENT = model.RouteKind.IDEMPOTENT
Reply = users_replica.Reply
EVENTS = (0, 1, 2)
BORN_MS = 1_700_000_000_000

FIRST_EVENT_BYTES = len(users_replica.event(0))
WHOLE = [users_replica.event(number) for number in EVENTS]


class AnswersWithoutLengthTest(relay_fixture.RelayCase):
    async def test_a_stream_is_passed_on_whole(self):
        self.reply_with(Reply(events=EVENTS, framed=False))
        answer = await self.ask(STREAM)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_an_empty_answer_is_passed_on(self):
        self.reply_with(Reply(body=b"", framed=False))
        answer = await self.ask(IDEMPOTENT)
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(relay_fixture.body_of(answer), b"")

    async def test_a_stream_cut_inside_an_event_is_resumed(self):
        self.reply_with(
            Reply(
                events=EVENTS, framed=False, send_bytes=FIRST_EVENT_BYTES + 5
            ),
            Reply(events=EVENTS),
        )
        answer = await self.ask(STREAM)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_a_stream_whose_replica_crashed_between_events_goes_on(self):
        """The system of a replica whose process ends closes its connections,
        here after a whole event, and the stream looks ended.
        """
        self.reply_with(
            Reply(
                events=EVENTS,
                framed=False,
                send_bytes=FIRST_EVENT_BYTES,
                crash=True,
            ),
            Reply(events=EVENTS),
        )
        answer = await self.ask(STREAM)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_the_next_start_of_a_replica_does_not_end_its_streams(self):
        """A replica had ended between two events, and its next start, under the
        same id and address, answered the liveness probe.
        """
        for replica in self.replicas:
            replica.started_ms = BORN_MS + 2000
            self.directory.put(self.entry(replica, started_ms=BORN_MS))
        self.reply_with(
            Reply(events=EVENTS, framed=False, send_bytes=FIRST_EVENT_BYTES),
            Reply(events=EVENTS),
        )
        answer = await self.ask(STREAM)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_a_stated_start_confirms_the_end_after_a_standstill(self):
        for replica in self.replicas:
            replica.started_ms = BORN_MS
            self.directory.put(self.entry(replica, started_ms=BORN_MS))
        self.stand_still()
        self.reply_with(Reply(events=EVENTS, framed=False))
        answer = await self.ask(STREAM)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_after_a_standstill_only_a_stated_start_confirms_an_end(self):
        """This process had slept while a replica ended and started again."""
        self.stand_still()
        self.reply_with(
            Reply(events=EVENTS, framed=False, send_bytes=FIRST_EVENT_BYTES),
            Reply(events=EVENTS),
        )
        answer = await self.ask(STREAM)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    def stand_still(self) -> None:
        """Has a standstill of this process end during the next request."""
        later = self.clock.monotonic() + relay_fixture.SECOND
        self.standstills._ended_at = later

    async def test_an_answer_whose_replica_crashed_is_not_passed_on(self):
        self.reply_with(
            Reply(body=b"half", framed=False, send_bytes=2, crash=True),
            Reply(body=b"half and half"),
        )
        answer = await self.ask(IDEMPOTENT)
        self.assertEqual(relay_fixture.body_of(answer), b"half and half")

    async def test_a_leaving_replica_that_has_ended_completes_no_stream(self):
        """A leaving replica exits in the middle of a stream. It no longer
        answers, as after the whole stream.
        """
        self.leave_in_the_first_answer(
            Reply(events=EVENTS, framed=False, send_bytes=FIRST_EVENT_BYTES),
            Reply(events=EVENTS),
            exits=True,
        )
        answer = await self.ask(STREAM)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_a_leaving_replica_that_answers_completes_its_stream(self):
        self.leave_in_the_first_answer(
            Reply(events=EVENTS, framed=False), exits=False
        )
        answer = await self.ask(STREAM)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(len(self.received_requests()), 1)

    def leave_in_the_first_answer(self, *replies: Reply, exits: bool) -> None:
        """Gives these replies in order; the first one's replica leaves."""
        remaining = list(replies)

        def answer(replica, _: users_replica.ReceivedRequest) -> Reply:
            if len(remaining) == len(replies):
                self.directory.put(self.entry(replica, leaving=True))
                if exits:
                    replica.refuse_connections()
            return remaining.pop(0)

        for replica in self.replicas:
            replica.decide_by(functools.partial(answer, replica))

    async def test_a_process_that_ends_still_accepts_connections(self):
        """The system closes a killed process's connections one by one, and
        accepts connections for it until its listening socket is closed.
        """
        for replica in self.replicas:
            replica.answers_probes = False
        self.reply_with(
            Reply(events=EVENTS, framed=False, send_bytes=FIRST_EVENT_BYTES),
            Reply(events=EVENTS),
        )
        answer = await self.ask(STREAM)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertLess(sum(replica.probes for replica in self.replicas), 8)

    async def test_an_unreachable_replica_completes_no_answer(self):
        """Its machine loses power, and it answers no connection any more."""

        def answer(_: users_replica.ReceivedRequest) -> Reply:
            for replica in self.replicas:
                replica.become_unreachable()
            return Reply(body=b"half", framed=False, send_bytes=2)

        for replica in self.replicas:
            replica.decide_by(answer)
        once = await self.ask(model.RouteKind.ONCE, body=b"order")
        self.assertEqual(relay_fixture.status_of(once), 502)

    async def test_answers_that_end_together_share_a_probe(self):
        self.directory.remove(self.replicas[1].replica_id)
        self.reply_with(Reply(body=b"whole", framed=False, pause_s=0.2))
        answers = await asyncio.gather(
            *(self.ask(IDEMPOTENT, request_id=f"{n}") for n in range(20))
        )
        self.assertEqual(
            {relay_fixture.body_of(a) for a in answers}, {b"whole"}
        )
        self.assertLess(self.replicas[0].probes, 10)
