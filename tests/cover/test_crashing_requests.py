"""Requests that crash each replica that runs them, and their copies."""

import asyncio

from nutmeghook.internal.routes import model
from nutmeghook.internal.suspects import probes
from nutmeghook.standins import users_replica
from tests import crashing_replicas
from tests import driven_relay
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
IDEMPOTENT = model.RouteKind.IDEMPOTENT
Reply = users_replica.Reply
CRASHING = b"no replica survives this"
ALSO_CRASHING = b"nor this"
INNOCENT = b"this is nothing to them"
EVENTS = (0, 1)
SECOND = relay_fixture.SECOND
# Retries that the users' rule allows after a request crashed three replicas.
RETRIES_AFTER_THREE = 3


class CrashingRequestCase(crashing_replicas.CrashingReplicasCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.decide_by(self._reply)

    @staticmethod
    def _reply(request: users_replica.ReceivedRequest) -> Reply:
        is_stream = request.target.startswith(f"/{STREAM.value}/")
        events = EVENTS if is_stream else ()
        if request.body in (CRASHING, ALSO_CRASHING):
            return Reply(events=events, send_bytes=0, crash=True)
        return Reply(events=events)

    def arrivals(self, body: bytes = CRASHING) -> int:
        """Returns how often a request has reached replicas."""
        return sum(seen.body == body for seen in self.received_requests())


class CopiesAtOneInstanceTest(CrashingRequestCase):
    async def test_copies_of_a_crashing_request_run_no_more_often(self):
        """A caller's request crashes each replica that runs it. The caller gets
        a failure and sends a copy with another id. If the instance knew
        requests by their ids only, each copy would crash three more replicas.
        """
        await self.ask(STREAM, body=CRASHING)
        after_three = self.arrivals()
        self.assertLessEqual(after_three, 3)
        for number in range(8):
            await self.restart_crashed()
            await self.ask(STREAM, request_id=f"copy-{number}", body=CRASHING)
        self.assertLessEqual(self.arrivals() - after_three, RETRIES_AFTER_THREE)

    async def test_a_copy_is_refused_at_once_and_not_run(self):
        await self.ask(STREAM, body=CRASHING)
        await self.restart_crashed()
        before = self.arrivals()
        answer = await self.ask(STREAM, request_id="copy", body=CRASHING)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"Retry-After: ", answer)
        self.assertEqual(self.arrivals(), before)

    async def test_crashes_before_an_answer_count_on_idle_replicas(
        self,
    ):
        """Six replicas crashed, since the request might have waited in their
        queues, though they had free slots.
        """
        self.decide_by(lambda _: Reply(silent=True))
        asking = asyncio.create_task(self.ask(STREAM, body=CRASHING))
        while not asking.done():
            for replica in self.replicas:
                if replica.received and not replica.crashed.is_set():
                    replica.crash()
            await asyncio.sleep(0.01)
        await self.restart_crashed()
        answer = await self.ask(STREAM, request_id="copy", body=CRASHING)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertEqual(self.arrivals(), 3)

    async def test_an_error_response_clears_no_request(self):
        """Some replicas fail a share of requests before they run them. If such
        a failure counted as an answer, it would clear a crashing request and
        protect it for half a minute, while copies crash further replicas.
        """
        ends = Reply(events=EVENTS, send_bytes=0, crash=True)
        replies = [ends, ends, Reply(status=500)]
        self.decide_by(lambda _: replies.pop(0) if replies else ends)
        for number in range(6):
            await self.ask(STREAM, request_id=f"copy-{number}", body=CRASHING)
            await self.restart_crashed()
        self.assertLessEqual(self.arrivals(), 3 + RETRIES_AFTER_THREE)

    async def test_two_crashing_requests_are_each_stopped(self):
        bodies = (CRASHING, ALSO_CRASHING)
        for number in range(6):
            await asyncio.gather(
                *(
                    self.ask(STREAM, request_id=f"{number}-{i}", body=body)
                    for i, body in enumerate(bodies)
                )
            )
            await self.restart_crashed()
        for body in bodies:
            self.assertLessEqual(self.arrivals(body), 3 + RETRIES_AFTER_THREE)

    async def test_a_crashing_request_to_a_plain_service_is_stopped(self):
        for number in range(6):
            await self.ask(
                IDEMPOTENT, request_id=f"copy-{number}", body=CRASHING
            )
            await self.restart_crashed()
        self.assertLessEqual(self.arrivals(), 3 + RETRIES_AFTER_THREE)


class InnocentRequestsTest(CrashingRequestCase):
    async def test_an_innocent_request_is_answered_and_cleared(self):
        """A stream runs at a replica that crashes under another request. It
        becomes a suspect, continues at the next replica and is answered.
        """
        begun = [Reply(events=EVENTS, stall_after=1)]

        def decide(request: users_replica.ReceivedRequest) -> Reply:
            return begun.pop() if begun else self._reply(request)

        self.decide_by(decide)
        asking = asyncio.create_task(self.ask(STREAM, body=INNOCENT))
        await self.arrival()
        (first,) = [r for r in self.replicas if r.received]
        first.crash()
        answer = await asking
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(self.suspects.most_suspect(10, age=10 * SECOND), [])

    async def test_connection_resets_quarantine_no_request(self):
        """The network resets connections, but no replica crashes. Each copy is
        attempted as often as the first one.
        """
        self.decide_by(lambda _: Reply(events=EVENTS, send_bytes=0, reset=True))
        for number in range(5):
            await self.ask(STREAM, request_id=f"copy-{number}", body=INNOCENT)
            self.assertEqual(self.arrivals(INNOCENT), 3 * (number + 1))


class ProbeTest(driven_relay.DrivenRelayCase, CrashingRequestCase):
    async def answer_to_copy(self) -> bytes:
        """Returns the answer to one more copy of the crashing request."""
        asking = asyncio.create_task(self.ask(STREAM, body=CRASHING))
        return await self.answer_of(asking)

    async def crash_three(self) -> None:
        """Crashes and restarts three replicas, and waits for the probe."""
        await self.answer_to_copy()
        await self.restart_crashed()
        await self.clock.advance(probes.PROBE_DELAY + SECOND)

    async def test_a_probe_crashes_one_replica_at_most(self):
        await self.crash_three()
        await self.answer_to_copy()
        self.assertEqual(self.arrivals(), 4)
        await self.restart_crashed()
        await self.clock.advance(probes.PROBE_DELAY + SECOND)
        answer = await self.answer_to_copy()
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertEqual(self.arrivals(), 4)

    async def test_an_answered_probe_ends_the_quarantine(self):
        """The fault was fixed, or another request caused the crashes."""
        await self.crash_three()
        self.decide_by(lambda _: Reply(events=EVENTS))
        for _ in range(3):
            answer = await self.answer_to_copy()
            self.assertTrue(relay_fixture.is_complete(answer))

    async def test_a_probe_waits_for_an_available_replica(self):
        """The probe is due, but no replica is available. If the refused copy
        used up the one probe, an innocent request would be refused for an hour.
        """
        await self.crash_three()
        for replica in self.replicas:
            self.directory.remove(replica.replica_id)
        await self.answer_to_copy()
        self.decide_by(lambda _: Reply(events=EVENTS))
        for replica in self.replicas:
            self.directory.put(self.entry(replica))
        answer = await self.answer_to_copy()
        self.assertTrue(relay_fixture.is_complete(answer))
