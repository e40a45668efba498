"""Parts of prompts that crash each replica that answers on them."""

import asyncio

from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import crashing_replicas
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
EVENTS = (0, 1)
COMMON = "aa"
CRASHING = "bb"
OTHER = "cc"
# Requests that the users' rule allows after a part crashed five replicas.
SENDS_AFTER_FIVE = 3


class CrashingPartCase(crashing_replicas.CrashingReplicasCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sent = 0
        self.decide_by(self._reply)

    @staticmethod
    def _reply(request: users_replica.ReceivedRequest) -> Reply:
        if CRASHING in request.prompt_part_ids:
            return Reply(events=EVENTS, send_bytes=0, crash=True)
        return Reply(events=EVENTS)

    async def ask_with(self, *parts: str) -> bytes:
        """Sends a request unlike all others, and returns the answer."""
        self.sent += 1
        listed = ",".join(f"{part}:100" for part in (*parts, f"{self.sent:x}"))
        return await self.ask(
            STREAM,
            request_id=f"request-{self.sent}",
            body=b"prompt %d" % self.sent,
            extra=(
                relay_fixture.AUTHORIZATION,
                (headers.TOKEN_COUNTS, f"{100 * len(parts) + 100},20"),
                (headers.PROMPT_PARTS, listed),
            ),
        )

    def crashes(self) -> int:
        """Returns how many replicas have crashed."""
        return sum(len(replica.crashes) for replica in self.replicas)

    async def crash_with(self, *parts: str, count: int = 8) -> None:
        """Sends requests that crash replicas, one after another."""
        for _ in range(count):
            await self.ask_with(*parts)
            await self.restart_crashed()


class StoppedPartsTest(CrashingPartCase):
    async def test_a_part_is_stopped_whatever_else_requests_hold(self):
        """No two requests are alike, so each is new to a registry of whole
        requests, and crashes as many replicas as its route has attempts.
        """
        await self.ask_with(COMMON)
        await self.crash_with(COMMON, CRASHING, count=5)
        await self.crash_with(OTHER, CRASHING, count=5)
        self.assertLessEqual(self.crashes(), 5 + SENDS_AFTER_FIVE)

    async def test_a_stopped_part_is_refused_at_once_and_not_run(self):
        await self.ask_with(COMMON)
        await self.crash_with(COMMON, CRASHING)
        before = self.crashes()
        answer = await self.ask_with(COMMON, CRASHING)
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertIn(b"Retry-After: ", answer)
        self.assertEqual(self.crashes(), before)

    async def test_an_answer_that_ends_with_its_connection_shows_a_crash(self):
        """A replica's process ends while it sends an answer without length:
        its system closes the connection as at the end of the answer.
        """
        self.decide_by(
            lambda _: Reply(
                events=EVENTS, framed=False, send_bytes=10, crash=True
            )
        )
        await self.crash_with(CRASHING)
        self.assertLessEqual(self.crashes(), 5 + SENDS_AFTER_FIVE)


class SoundRequestsTest(CrashingPartCase):
    async def test_parts_shared_with_crashing_requests_are_served(self):
        """Sound requests have the caller and all parts but one in common with
        those that crash replicas.
        """
        await asyncio.gather(
            *(self.ask_with(COMMON, OTHER) for _ in range(4)),
        )
        await self.crash_with(COMMON, OTHER, CRASHING)
        for parts in ((COMMON,), (COMMON, OTHER), (OTHER,)):
            answer = await self.ask_with(*parts)
            self.assertTrue(relay_fixture.is_complete(answer))

    async def test_a_part_that_all_requests_have_is_served_from_the_start(self):
        """The first requests of a fleet crash replicas before any other one is
        answered, so nothing has shown yet that their common part is sound.
        """
        asking = [
            asyncio.create_task(self.ask_with(COMMON, CRASHING))
            for _ in range(4)
        ]
        await asyncio.gather(*asking, self.ask_with(COMMON))
        await self.restart_crashed()
        await self.crash_with(COMMON, CRASHING)
        answer = await self.ask_with(COMMON)
        self.assertTrue(relay_fixture.is_complete(answer))
