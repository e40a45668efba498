"""Answers with neither a length nor chunks, which end with their connection."""

from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
IDEMPOTENT = model.RouteKind.IDEMPOTENT
Reply = users_replica.Reply
EVENTS = (0, 1, 2)
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

    async def test_an_answer_whose_replica_crashed_is_not_passed_on(self):
        self.reply_with(
            Reply(body=b"half", framed=False, send_bytes=2, crash=True),
            Reply(body=b"half and half"),
        )
        answer = await self.ask(IDEMPOTENT)
        self.assertEqual(relay_fixture.body_of(answer), b"half and half")

    async def test_a_leaving_replica_may_end_after_its_answer(self):
        """A replica that leaves accepts no connections, and ends once it has
        answered what it had.
        """
        self.reply_with(
            Reply(
                events=EVENTS,
                framed=False,
                pause_s=0.05,
            )
        )
        for replica in self.replicas:
            replica.decide_by(self._leave_and_answer)
        answer = await self.ask(STREAM)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(len(self.received_requests()), 1)

    def _leave_and_answer(self, _: users_replica.ReceivedRequest) -> Reply:
        for replica in self.replicas:
            replica.refuse_connections()
            self.directory.put(self.entry(replica, leaving=True))
        return Reply(events=EVENTS, framed=False)
