"""A request that ends each replica that begins to run it, and its copies."""

from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
CRASHING = b"no replica survives this"
EVENTS = (0, 1)
# What the users' rule allows once three replicas have ended under a request.
RETRIES_AFTER_THREE = 3


class CrashingRequestCase(relay_fixture.RelayCase):
    replica_count = 6

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.starts = 0
        for replica in self.replicas:
            replica.decide_by(self._reply)

    @staticmethod
    def _reply(request: users_replica.SeenRequest) -> Reply:
        if request.body == CRASHING:
            return Reply(events=EVENTS, send_bytes=0, crash=True)
        return Reply(events=EVENTS)

    async def bring_back(self) -> None:
        """Lists each replica that has ended as another start of it."""
        for replica in self.replicas:
            if not replica.crashed.is_set():
                continue
            self.directory.remove(replica.replica_id)
            self.starts += 1
            await replica.come_back(replica_id=f"start-{self.starts}")
            self.directory.put(self.entry(replica))

    def arrivals(self, body: bytes = CRASHING) -> int:
        """Returns how often a request has reached a replica."""
        return sum(seen.body == body for seen in self.seen())


class CopiesAtOneInstanceTest(CrashingRequestCase):
    async def test_copies_of_a_request_that_ended_three_replicas(self):
        """A caller's request ends each replica that begins to run it, and
        everybody else's work there with it. The caller gets a failure and
        sends the same again, under another id. Each copy was new to the
        instance and ended three more replicas: nothing was known of a request
        beyond one attempt of its caller.
        """
        await self.ask(STREAM, body=CRASHING)
        after_three = self.arrivals()
        self.assertLessEqual(after_three, 3)
        for number in range(8):
            await self.bring_back()
            await self.ask(STREAM, request_id=f"copy-{number}", body=CRASHING)
        self.assertLessEqual(self.arrivals() - after_three, RETRIES_AFTER_THREE)
