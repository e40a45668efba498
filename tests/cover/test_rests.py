"""Replicas that turn requests away and ask for rest."""

import datetime
import re
import unittest

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import gated_relay
from tests import relay_fixture

REST_S = 3
# The users' bound on requests from one instance during a rest.
ALLOWED = 2
SECOND = datetime.timedelta(seconds=1)
REFUSAL = users_replica.Reply(status=503, not_run=True)


class RestTest(gated_relay.GatedRelayCase):
    """The first of three replicas turns all requests away for a while."""

    replica_count = 3

    def build_clock(self) -> clock_module.Clock:
        return clock_module.FakeClock()

    def rest(self, replica) -> None:
        """Lets a replica turn requests away and ask for rest."""
        replica.signals = ((headers.REST, str(REST_S)),)
        replica.decide_by(lambda request: REFUSAL)

    async def test_it_gets_no_requests_of_any_kind_for_so_long(self):
        """Its refusals free it of work, so it looks idle to the choice, and all
        requests of its prompts and keys are offered to it first.
        """
        resting = self.replicas[0]
        self.rest(resting)
        for _ in range(5):
            for answer in await self.ask_all_kinds(12):
                self.assertEqual(relay_fixture.status_of(answer), 200)
            await self.clock.advance(SECOND / 2)
        self.assertLessEqual(len(resting.received), 1 + ALLOWED)

    async def test_it_gets_requests_again_at_the_end(self):
        resting = self.replicas[0]
        self.rest(resting)
        await self.ask_all_kinds(12)
        resting.signals = ()
        resting.decide_by(gated_relay.reply_to)
        await self.clock.advance(REST_S * SECOND + SECOND / 10)
        before = len(resting.received)
        await self.ask_all_kinds(24)
        self.assertGreater(len(resting.received), before)

    async def test_an_answer_to_an_older_request_does_not_end_a_rest(self):
        resting = self.replicas[0]
        self.rest(resting)
        await self.ask_all_kinds(12)
        (known,) = [
            replica
            for replica in self.directory.of_service("service")
            if replica.entry.replica_id == resting.replica_id
        ]
        self.signals.note_answer(
            known,
            headers.PlatformHeaders().read_answer(200, ()).signals,
            sent_at=self.clock.monotonic() - SECOND,
        )
        before = len(resting.received)
        await self.ask_all_kinds(12)
        self.assertEqual(len(resting.received), before)

    async def test_callers_are_told_when_the_first_rest_ends(self):
        """All replicas rest. A request is refused at once, truly not run."""
        for replica in self.replicas:
            self.rest(replica)
        await self.ask_all_kinds(12)
        before = len(self.received_requests())
        answer = await self.ask(model.RouteKind.IDEMPOTENT, request_id="last")
        self.assertEqual(relay_fixture.status_of(answer), 503)
        found = re.search(rb"(?i)retry-after: ([\d.]+)", answer)
        self.assertGreater(float(found[1]), REST_S - 1.0)
        self.assertLess(float(found[1]), REST_S + 2.0)
        self.assertEqual(len(self.received_requests()), before)


if __name__ == "__main__":
    unittest.main()
