"""What brittle replicas say, and which sends they allow."""

import asyncio
import datetime
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import brittle_replicas
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import refusal_risk
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.platform import headers

SECOND = datetime.timedelta(seconds=1)
SLOTS = 8
TRAFFIC = refusal_risk.ServiceTraffic(own_part=1 / 7, per_s=20.0, occupancy=5.0)
counts = strategies.integers(0, SLOTS)


class BrittleCase(unittest.TestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.directory = directory_module.ReplicaDirectory(clock=self.clock)
        self.brittle = brittle_replicas.BrittleReplicas(
            directory=self.directory, clock=self.clock
        )
        for number in range(2):
            self.directory.put(
                entries.ReplicaEntry(
                    replica_id=f"r-{number}",
                    service="service",
                    address=f"10.0.0.{number}:1",
                    data_centre="here",
                    version="v1",
                    slots=SLOTS,
                    leaving=False,
                )
            )
        self.first, self.second = self.directory.all()

    def hear(self, replica, refusals_per_s, *, sent_ago_s=0.0, refused=False):
        self.brittle.note_answer(
            replica,
            refusals_per_s,
            sent_at=self.clock.monotonic() - sent_ago_s * SECOND,
            refused=refused,
        )

    def report(self, replica, running, waiting=0):
        replica.note_load(
            replica_module.LoadReport(
                running=running, waiting=waiting, at=self.clock.monotonic()
            )
        )


class StatementsTest(BrittleCase):
    def test_a_statement_holds_for_replicas_that_were_not_heard(self):
        """An instance of a large fleet hears each replica once in seconds, and
        each would get a first request too many.
        """
        self.hear(self.first, 3)
        self.assertEqual(self.brittle.refusals_per_s(self.second), 3)
        self.hear(self.second, None)
        self.assertIsNone(self.brittle.refusals_per_s(self.second))
        self.assertEqual(self.brittle.refusals_per_s(self.first), 3)

    def test_a_late_answer_lifts_nothing(self):
        self.hear(self.first, 3)
        asyncio.run(self.clock.advance(SECOND))
        self.hear(self.first, None, sent_ago_s=2.0)
        self.assertEqual(self.brittle.refusals_per_s(self.first), 3)
        self.hear(self.first, 2, sent_ago_s=2.0)
        self.assertEqual(self.brittle.refusals_per_s(self.first), 2)
        self.hear(self.first, None)
        self.assertIsNone(self.brittle.refusals_per_s(self.first))

    def test_a_statement_that_is_not_repeated_ends(self):
        self.hear(self.first, 3)
        asyncio.run(self.clock.advance(11 * SECOND))
        self.assertIsNone(self.brittle.refusals_per_s(self.first))

    def test_a_value_that_cannot_be_read_counts_as_none_borne(self):
        read = headers.PlatformHeaders().read_answer
        for text, stated in (("4", 4), ("0", 0), ("x", 0), ("-1", 0)):
            signals = read(200, [(headers.BRITTLE, text)]).signals
            self.assertEqual(signals.refusals_per_s, stated, text)
        self.assertIsNone(read(200, []).signals.refusals_per_s)


class RoomTest(BrittleCase):
    def test_a_full_replica_gets_nothing(self):
        self.hear(self.first, 3)
        for running, waiting in ((SLOTS, 0), (2, 1)):
            self.report(self.first, running, waiting)
            self.assertFalse(self.brittle.has_room(self.first, own_requests=0))
            self.assertEqual(self.brittle.without_room("service"), [self.first])

    def test_an_idle_replica_has_room(self):
        self.hear(self.first, 0)
        self.report(self.first, 0)
        self.assertTrue(self.brittle.has_room(self.first, own_requests=0))

    def test_after_a_refusal_nothing_is_risked_for_a_while(self):
        budget = refusal_risk.RefusalBudget()
        now = self.clock.monotonic()
        self.assertTrue(budget.allows(0.1, now, rate_per_s=0.5))
        budget.note_refused(now)
        self.assertFalse(budget.allows(0.1, now + SECOND, rate_per_s=0.5))
        self.assertTrue(budget.allows(0.1, now + 3 * SECOND, rate_per_s=0.5))
        self.assertTrue(budget.allows(0.0, now, rate_per_s=0.5))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(running=counts, more=counts, own=counts)
    def test_fuller_replicas_are_riskier(self, running, more, own):
        now = self.clock.monotonic() + SECOND / 10
        self.first.in_flight = own
        risks = []
        for count in (running, min(SLOTS, running + more)):
            self.first.report = None
            self.report(self.first, count)
            risks.append(
                refusal_risk.refusal_risk(
                    self.first, TRAFFIC, now, own_requests=0
                )
            )
        self.assertLessEqual(risks[0], risks[1] + 1e-9)
        self.assertLessEqual(risks[1], 1.0)

    def test_a_budget_makes_falls_very_unlikely(self):
        for most in (0, 1, 5, 100):
            mean = refusal_risk.safe_mean(most)
            self.assertLess(mean, most + 1)
            self.assertGreater(refusal_risk.safe_mean(most + 1), mean)


if __name__ == "__main__":
    unittest.main()
