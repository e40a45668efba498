"""Streams through a relay: whole events, resuming, weak answers."""

import asyncio
import unittest

from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = (0, 1, 2, 3)
WHOLE = [users_replica.event(number) for number in EVENTS]
MODELS = ("small", "middle", "large")
ANY_MODEL = (relay_fixture.AUTHORIZATION, ("X-Model", "*"))


class StreamsTest(relay_fixture.RelayCase):
    async def ask_stream(self, **options) -> bytes:
        """Requests a stream and returns the whole response."""
        return await self.ask(STREAM, body=b"prompt", **options)

    async def test_a_stream_comes_whole(self):
        self.reply_with(Reply(events=EVENTS))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertTrue(relay_fixture.is_complete(answer))

    async def test_a_cut_stream_is_resumed_after_its_last_whole_event(self):
        """A replica breaks off inside its third event. The caller gets the
        first two, another replica resumes after them, and each event comes
        once, in order, under the first replica's seal.
        """
        inside = len(WHOLE[0]) * 2 + 5
        self.reply_with(
            Reply(events=EVENTS, send_bytes=inside, reset=True),
            Reply(events=EVENTS),
        )
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(answer.count(b"X-Replica-Seal"), 1)
        resumed = [
            seen.headers.get(headers.LAST_EVENT.lower())
            for seen in self.received_requests()
        ]
        self.assertEqual(set(resumed), {None, "1"})

    async def test_a_replica_s_refusal_of_an_invalid_request_is_forwarded(self):
        """A replica finds the request itself invalid. Others would find the
        same, so the caller gets the answer unchanged.
        """
        self.reply_with(Reply(status=422, body=b"no such prompt"))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.status_of(answer), 422)
        self.assertEqual(relay_fixture.body_of(answer), b"no such prompt")
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_replica_s_failure_goes_to_another_replica(self):
        self.reply_with(Reply(status=500), Reply(events=EVENTS))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_a_stream_that_may_not_be_resumed_is_cut(self):
        """A replica breaks off a stream that may run only once. The stream is
        not ended as complete, and no other replica is asked.
        """
        self.configuration.offer(
            relay_fixture.configuration(
                relay_fixture.route(STREAM, resumable=False), version=2
            ),
            source="test",
        )
        self.reply_with(Reply(events=EVENTS, send_bytes=30))
        answer = await self.ask_stream()
        self.assertFalse(relay_fixture.is_complete(answer))
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_stream_without_an_attempt_left_is_cut(self):
        """All replicas break off every run of a stream. After as many runs as
        the route allows the caller's stream is cut, not ended as if it were
        whole.
        """
        self.reply_with(Reply(events=EVENTS, send_bytes=30))
        answer = await self.ask_stream()
        self.assertFalse(relay_fixture.is_complete(answer))
        self.assertLessEqual(len(self.received_requests()), 3)

    async def test_a_stream_that_ends_inside_an_event_is_not_whole(self):
        """A replica ends its stream properly, but inside an event. Another
        replica resumes it.
        """
        self.reply_with(Reply(events=(0, 1), extra=b""), Reply(events=EVENTS))
        half = users_replica.Reply(body=WHOLE[0] + b"id: 1\ndata:")
        self.reply_with(half, Reply(events=EVENTS))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_a_silent_stream_is_resumed_elsewhere(self):
        """A replica falls silent after two events, for longer than any pause
        that counts as on time. The stream resumes at another replica.
        """
        await self.silence_is_short()
        self.reply_with(
            Reply(events=EVENTS, pause_s=30.0), Reply(events=EVENTS)
        )
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def silence_is_short(self) -> None:
        """Puts a route in force that tolerates 0.1 s of silence."""
        self.configuration.offer(
            relay_fixture.configuration(
                relay_fixture.route(
                    STREAM,
                    target=relay_fixture.SECOND / 20,
                    longest_pause=relay_fixture.SECOND / 50,
                    time_limit=1000 * relay_fixture.SECOND,
                ),
                version=2,
            ),
            source="test",
        )

    async def test_silence_cuts_no_stream_when_the_retry_budget_is_spent(self):
        """A replica pauses in the middle of a stream, and the retry budget is
        spent, so no other replica may take over. The caller waits and gets the
        whole stream.
        """
        await self.silence_is_short()
        while self.budgets.budget_for("service").try_spend():
            pass
        self.reply_with(Reply(events=EVENTS, pause_s=0.8))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(len(self.received_requests()), 1)

    async def test_silence_cuts_no_stream_when_no_other_replica_is_known(self):
        """The only replica of a service pauses in the middle of a stream. There
        is no other to resume at; the caller waits for this one.
        """
        await self.silence_is_short()
        self.directory.remove(self.replicas[1].replica_id)
        self.reply_with(Reply(events=EVENTS, pause_s=0.8))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_stream_falls_back_to_the_abandoned_replica(self):
        """A replica falls silent after two events, and the only other one
        refuses. The first one is healthy, so the stream falls back to it
        instead of being cut.
        """
        await self.silence_is_short()
        self.reply_with(
            Reply(events=(0, 1, 2), pause_s=0.8),
            Reply(status=503, not_run=True),
            Reply(events=EVENTS),
        )
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(len(self.received_requests()), 3)

    async def test_an_unreachable_replica_s_stream_is_resumed_at_once(self):
        """A replica's connections stay open and silent, and it answers no
        attempt to connect. The stream resumes at another replica long before
        the limit for silence.
        """
        self.configuration.offer(
            relay_fixture.configuration(
                relay_fixture.route(
                    STREAM,
                    target=1000 * relay_fixture.SECOND,
                    time_limit=1000 * relay_fixture.SECOND,
                ),
                version=2,
            ),
            source="test",
        )
        self.reply_with(Reply(silent=True), Reply(events=EVENTS))
        asking = asyncio.create_task(self.ask_stream())
        await self.arrival()
        (unreachable,) = [r for r in self.replicas if r.received]
        unreachable.become_unreachable()
        answer = await asking
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_a_caller_that_leaves_frees_the_replica(self):
        """The caller disconnects in the middle of a stream. The replica's
        connection is dropped, so that it stops the work.
        """
        self.reply_with(Reply(events=tuple(range(1000)), pause_s=0.01))
        await self.leave_after(b"data: part 1")

    async def test_a_caller_that_leaves_a_silent_stream_frees_the_replica(self):
        """The replica is silent when the caller disconnects, so no write fails:
        only the caller's close itself shows it.
        """
        self.reply_with(Reply(silent=True))
        await self.leave_after(b"")

    async def leave_after(self, expected: bytes) -> None:
        """Requests a stream, reads up to some bytes and disconnects.

        The replica must notice.
        """
        host, _, port = self.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /stream/x HTTP/1.1\r\nHost: {relay_fixture.HOST}\r\n"
            f"{headers.REQUEST_ID}: gone\r\n"
            f"Authorization: Token {relay_fixture.KEY}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        await self.arrival()
        if expected:
            await reader.readuntil(expected)
        writer.close()
        noticed = [
            asyncio.create_task(replica.request_abandoned.wait())
            for replica in self.replicas
        ]
        await asyncio.wait(noticed, return_when=asyncio.FIRST_COMPLETED)
        self.assertEqual(self.listener.in_flight, 0)


class WeakAnswersTest(relay_fixture.RelayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configuration.offer(
            relay_fixture.configuration(
                relay_fixture.route(STREAM, models=MODELS), version=2
            ),
            source="test",
        )

    def models_asked(self) -> list[str]:
        """Returns the models that replicas were asked for."""
        return sorted(
            seen.headers[headers.MODEL.lower()]
            for seen in self.received_requests()
        )

    async def test_a_confident_answer_of_the_smallest_model_is_kept(self):
        self.reply_with(Reply(events=EVENTS, confidence=90))
        answer = await self.ask(STREAM, extra=ANY_MODEL)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(self.models_asked(), ["small"])

    async def test_no_byte_of_a_dropped_answer_reaches_the_caller(self):
        """The small model's answer has a low confidence. It is dropped before
        the caller has a byte, and the largest model's comes whole, under its
        own seal.
        """
        self.reply_with(
            Reply(events=(7, 8, 9), confidence=10),
            Reply(events=EVENTS, confidence=10),
        )
        answer = await self.ask(STREAM, extra=ANY_MODEL)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(self.models_asked(), ["large", "small"])

    async def test_a_weak_answer_is_kept_when_no_time_is_left(self):
        """The small model's confidence is low, and the caller waits half a
        second more. The large one could not answer by then: the weak answer is
        better than none.
        """
        self.reply_with(Reply(events=EVENTS, confidence=10), Reply(silent=True))
        answer = await self.ask(
            STREAM, extra=(*ANY_MODEL, (headers.TIME_LEFT, "500"))
        )
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(self.models_asked(), ["small"])

    async def test_a_resumed_stream_stays_with_its_model(self):
        """The large model's stream is cut after two events. Texts of two models
        must not be joined, so it resumes with the large one, though the small
        one would answer sooner.
        """
        two_events = len(WHOLE[0]) * 2
        self.reply_with(
            Reply(events=(7,), confidence=10),
            Reply(events=EVENTS, confidence=10, send_bytes=two_events),
            Reply(events=EVENTS, confidence=10),
        )
        answer = await self.ask(STREAM, extra=ANY_MODEL)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(self.models_asked(), ["large", "large", "small"])


if __name__ == "__main__":
    unittest.main()
