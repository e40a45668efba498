"""Requests with whole answers, through a relay to failing replicas."""

import unittest

from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import relay_fixture

IDEMPOTENT = model.RouteKind.IDEMPOTENT
ONCE = model.RouteKind.ONCE
Reply = users_replica.Reply


class WholeAnswersTest(relay_fixture.RelayCase):
    async def test_an_answer_comes_as_the_replica_made_it(self):
        self.reply_with(Reply(body=b"a finding"))
        answer = await self.ask(ONCE, body=b"question")
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(relay_fixture.body_of(answer), b"a finding")
        self.assertIn(b"X-Replica-Seal: seal-of-request-1", answer)
        (seen,) = self.received_requests()
        self.assertEqual(seen.body, b"question")

    async def test_a_reused_connection_that_breaks_sends_a_call_once(self):
        """A replica resets a reused connection after it has read a GET on a
        route whose calls may run only once. A client library would retry the
        GET by itself, and the call would run twice; the caller is told that it
        may have run.
        """
        self.configuration.offer(
            relay_fixture.configuration(relay_fixture.route(ONCE), version=2),
            source="test",
        )
        self.reply_with(
            Reply(), Reply(send_bytes=0, reset=True), Reply(body=b"second")
        )
        await self.ask(ONCE, method="GET", request_id="first")
        answer = await self.ask(ONCE, method="GET", request_id="second")
        self.assertEqual(relay_fixture.status_of(answer), 502)
        ids = [seen.request_id for seen in self.received_requests()]
        self.assertEqual(ids.count("second"), 1)

    async def test_a_reset_does_not_complete_a_body_without_length(self):
        """A replica sends half an answer without length and resets. Both arrive
        together, so the event loop may report a plain end of file, and the half
        would be forwarded as the whole answer.
        """
        self.reply_with(
            Reply(body=b"half of it", framed=False, send_bytes=4, reset=True)
        )
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 502)

    async def test_a_body_without_length_is_complete_at_a_plain_end(self):
        self.reply_with(Reply(body=b"all of it", framed=False))
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.body_of(answer), b"all of it")

    async def test_a_second_answer_is_forwarded_to_nobody(self):
        """A replica sends a second answer behind a whole one on a connection
        that is kept. It would be read as the answer to the next request, of
        another caller.
        """
        second = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
            b"X-Replica-Seal: s\r\n\r\nwrong"
        )
        self.reply_with(Reply(extra=second), Reply(body=b"right"))
        await self.ask(IDEMPOTENT, request_id="first")
        answer = await self.ask(IDEMPOTENT, request_id="second")
        self.assertEqual(relay_fixture.body_of(answer), b"right")

    async def test_an_answer_to_another_request_is_not_forwarded(self):
        """A late answer arrives in place of this request's, and no other one
        follows. Only the echoed id tells them apart; a call that may run once
        may have run, and has its answer until its time is up.
        """
        self.reply_with(Reply(answer_id="another"))
        time_left = (headers.TIME_LEFT, "300")
        answer = await self.ask(
            ONCE, extra=(relay_fixture.AUTHORIZATION, time_left)
        )
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_an_answer_without_seal_is_tried_elsewhere(self):
        """Something else answers at a replica's address, without the replica's
        seal. A repeatable request gets another replica's answer.
        """
        self.reply_with(Reply(sealed=False, body=b"?"), Reply(body=b"sealed"))
        answer = await self.ask(IDEMPOTENT)
        self.assertEqual(relay_fixture.body_of(answer), b"sealed")

    async def test_a_refusal_of_every_replica_says_not_run(self):
        """Both replicas refuse as full before running. The caller gets 503 at
        once, which promises that nothing ran, with the time to retry.
        """
        self.reply_with(Reply(status=503, not_run=True))
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"Retry-After: 0.", answer)
        self.assertNotIn(b"X-Replica-Seal", answer)

    async def test_a_call_that_may_have_run_is_never_reported_as_not_run(self):
        """The replica closes the connection after it has read the call. A 503
        would promise that it did not run; it is 502, and sent once.
        """
        self.reply_with(Reply(send_bytes=0))
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 502)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_refusal_then_a_lost_connection_is_an_unknown_end(self):
        """One replica refuses, the next breaks off after reading the call. The
        refused attempt did not run, but the second one may have.
        """
        self.reply_with(Reply(status=503, not_run=True), Reply(send_bytes=0))
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 502)

    async def test_a_replicas_own_failure_is_forwarded_unchanged(self):
        """A service fails a call on every replica. The caller gets that failure
        with its seal, not a rejection by the relay.
        """
        self.reply_with(Reply(status=500, body=b"no such file"))
        answer = await self.ask(IDEMPOTENT)
        self.assertEqual(relay_fixture.status_of(answer), 500)
        self.assertEqual(relay_fixture.body_of(answer), b"no such file")
        self.assertIn(b"X-Replica-Seal", answer)

    async def test_no_more_runs_than_the_route_allows(self):
        self.reply_with(Reply(status=500))
        await self.ask(IDEMPOTENT)
        self.assertLessEqual(len(self.received_requests()), 3)

    async def test_a_dead_replica_costs_no_answer(self):
        """A crashed replica is still in the list. Nothing was written to it, so
        even a call that may run once goes to the other replica.
        """
        for position in (0, 1):
            await self.replicas[position].stop()
            self.directory.put(self.entry(self.replicas[position]))
            answer = await self.ask(ONCE, request_id=f"id-{position}")
            if position == 0:
                self.assertEqual(relay_fixture.status_of(answer), 200)
            else:
                self.assertEqual(relay_fixture.status_of(answer), 503)

    async def test_a_silent_replica_is_abandoned_for_another(self):
        """A replica accepts and never answers a repeatable request. After a few
        times its target another replica is asked, and the first one's
        connection is dropped, so that it stops the work.
        """
        self.configuration.offer(
            relay_fixture.configuration(
                relay_fixture.route(
                    IDEMPOTENT, target=relay_fixture.SECOND / 20
                ),
                version=2,
            ),
            source="test",
        )
        self.reply_with(Reply(silent=True), Reply(body=b"from the other"))
        answer = await self.ask(IDEMPOTENT)
        self.assertEqual(relay_fixture.body_of(answer), b"from the other")
        left = [i for replica in self.replicas for i in replica.abandoned]
        self.assertEqual(left, ["request-1"])

    async def test_the_route_s_time_limit_is_an_answer(self):
        """The replica never answers a call that may run only once. At the
        route's time limit the caller gets 504: it may have run.
        """
        self.configuration.offer(
            relay_fixture.configuration(
                relay_fixture.route(ONCE, time_limit=relay_fixture.SECOND / 5),
                version=2,
            ),
            source="test",
        )
        self.reply_with(Reply(silent=True))
        answer = await self.ask(ONCE)
        self.assertEqual(relay_fixture.status_of(answer), 504)


if __name__ == "__main__":
    unittest.main()
