"""What proves a version bad, and what does not."""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies

from nutmeghook.internal.version_plans import baseline as baseline_module
from nutmeghook.internal.version_plans import evidence as evidence_module
from tests import version_fixture


class ProofTest(version_fixture.PlanCase):
    async def test_a_proof_acts_at_once_and_for_good(self):
        """The new version fails half of its requests.
        After a few bad answers of two replicas it gets no requests, and a
        stale plan that is still open doesn't bring it back.
        """
        self.instance.answer("v1", times=60)
        self.instance.begin()
        for number in (1, 2, 1, 2, 1, 2, 1, 2):
            self.instance.answer("v2", number=number, failed=True)
            self.instance.answer("v2", number=number)
        self.assertEqual(self.new_share("after"), 0.0)
        self.instance.begin()
        self.assertEqual(self.new_share("later"), 0.0)

    async def test_one_failing_replica_is_not_a_bad_version(self):
        """One replica of the new version fails, the others are fine.
        The version must not be reverted for a fault of one machine.
        """
        self.instance.begin()
        self.instance.answer("v2", number=1, failed=True, times=20)
        self.assertIsNone(self.instance.rollouts.judge(version_fixture.ORDER))

    async def test_a_version_bad_on_one_route_only_is_found(self):
        """A version fails half of the requests of one of three routes.
        Over all routes its share of failures is small.
        """
        self.instance.begin()
        pooled = self.instance.rollouts.evidence_of(version_fixture.ORDER)
        for number in range(12):
            pooled.note("one", f"v2-{number % 3}", bad=False)
            pooled.note("two", f"v2-{number % 3}", bad=False)
            pooled.note("bad", f"v2-{number % 3}", bad=number % 2 == 0)
        baseline = baseline_module.BaselineAnswers()
        for _ in range(40):
            baseline.note(version_fixture.observed_answer(route="bad"))
        self.assertIn("on bad", pooled.proven_bad(3, baseline))

    async def test_a_version_that_is_several_times_slower_is_found(self):
        self.instance.begin()
        self.instance.answer("v1", times=30)
        for number in (1, 2, 3, 1, 2, 3, 1, 2):
            self.instance.rollouts.note_answer(
                version_fixture.entry(number, "v2"),
                version_fixture.observed_answer(duration_s=0.8),
            )
        self.assertIsNotNone(
            self.instance.rollouts.judge(version_fixture.ORDER)
        )

    async def test_a_version_whose_every_answer_is_slower_is_found(self):
        """A version's events come at three times the interval.
        Load alone makes single answers differ as much, so only all of them
        together are a proof.
        """
        drawn = random.Random(1)
        paces = [math.exp(drawn.gauss(-3.5, 0.5)) for _ in range(60)]
        self.pace("v1", *paces)
        self.instance.begin()
        self.pace("v2", *paces[:12])
        self.assertIsNone(self.instance.rollouts.judge(version_fixture.ORDER))
        self.pace("v2", *[3 * pace for pace in paces[:25]])
        self.assertIn(
            "slower", self.instance.rollouts.judge(version_fixture.ORDER)
        )

    async def test_a_version_slow_in_some_first_events_is_found(self):
        """A version's first event comes five times later in 3 of 10 requests.
        Prompt and queue make first events differ as much; relative to what was
        expected of each they vary by a factor of two.
        """
        drawn = random.Random(3)
        baseline = [math.exp(drawn.gauss(-0.3, 0.8)) for _ in range(200)]
        self.pace("v1", *baseline)
        self.instance.begin()
        slow = [
            math.exp(drawn.gauss(-0.3, 0.8)) * (5 if number % 10 < 3 else 1)
            for number in range(80)
        ]
        self.pace("v2", *slow)
        self.assertIsNotNone(
            self.instance.rollouts.judge(version_fixture.ORDER)
        )

    async def test_a_version_with_baseline_first_events_is_not_called_slow(
        self,
    ):
        """A hundred good versions, each tested after each of eighty answers."""
        for seed in range(100):
            drawn = random.Random(seed)
            self.setUp()
            self.pace(
                "v1", *[math.exp(drawn.gauss(-0.3, 0.8)) for _ in range(200)]
            )
            self.instance.begin()
            for _ in range(80):
                self.pace("v2", math.exp(drawn.gauss(-0.3, 0.8)))
                self.assertIsNone(
                    self.instance.rollouts.judge(version_fixture.ORDER), seed
                )

    async def test_load_in_the_final_phase_is_not_a_slow_version(self):
        """All requests go to the new version when a burst of load comes.
        Its events come slower than the old version's before the burst.
        """
        self.pace("v1", *[0.02, 0.03] * 20)
        self.instance.begin()
        await self.advance(0.9)
        self.pace("v2", *[0.09] * 40)
        self.assertIsNone(self.instance.rollouts.judge(version_fixture.ORDER))

    def pace(self, version: str, *paces_s: float) -> None:
        """Records paces of a version's answers."""
        for pace_s in paces_s:
            self.instance.rollouts.note_pace(
                version_fixture.entry(1, version),
                measure=baseline_module.LatencyMeasure.EVENT_INTERVAL,
                kind="kind",
                pace_s=pace_s,
            )

    @given(strategies.integers(min_value=0, max_value=2**32))
    def test_a_good_version_is_not_reverted(self, seed):
        """A version fails 3 in 100 requests, as the old one does."""
        drawn = random.Random(seed)
        pooled = evidence_module.PooledEvidence(order_id=1)
        for _ in range(300):
            pooled.note(
                "route",
                f"replica-{drawn.randrange(6)}",
                bad=drawn.random() < 0.02,
            )
        self.assertIsNone(
            pooled.proven_bad(6, baseline_module.BaselineAnswers())
        )

    async def test_failures_as_in_the_baseline_prove_nothing(self):
        """A service's old and new version both fail one in seven requests.
        The new one must not be reverted for it.
        """
        for number in range(70):
            self.instance.answer("v1", failed=number % 7 == 0)
        self.instance.begin()
        for number in range(70):
            self.instance.answer(
                "v2", number=1 + number % 3, failed=number % 7 == 0
            )
        self.assertIsNone(self.instance.rollouts.judge(version_fixture.ORDER))

    async def test_slowness_of_all_versions_proves_nothing(self):
        """A burst makes every answer ten times slower, on both versions.
        The new one is compared with the old as it is now, not before the burst.
        """
        self.instance.answer("v1", times=20)
        self.instance.begin()
        for number in range(40):
            slow = version_fixture.observed_answer(duration_s=1.0)
            self.instance.rollouts.note_answer(
                version_fixture.entry(1, "v1"), slow
            )
            if number % 4 == 0:
                self.instance.rollouts.note_answer(
                    version_fixture.entry(1 + number % 3, "v2"), slow
                )
        self.assertIsNone(self.instance.rollouts.judge(version_fixture.ORDER))


class PooledEvidenceTest(unittest.TestCase):
    def test_counts_read_twice_or_out_of_order_add_nothing(self):
        """A row of another instance is read again after a 410.
        Counted twice, a few bad answers could become a proof.
        """
        row = evidence_module.EvidenceRow(
            order_id=1,
            routes={
                "r": evidence_module.RouteCount(
                    good=4, bad=2, bad_replicas={"a", "b"}
                )
            },
        )
        once = evidence_module.PooledEvidence(order_id=1)
        once.merge("other", row)
        often = evidence_module.PooledEvidence(order_id=1)
        for _ in range(50):
            often.merge("other", row)
        self.assertEqual(once._answers, often._answers)

    def test_a_stale_row_adds_nothing(self):
        """Two datagrams of an instance arrive in the wrong order, and the newer
        row arrives once more from the store.
        """
        pooled = evidence_module.PooledEvidence(order_id=1)
        for bad in (2, 1, 2, 1, 2):
            pooled.merge("other", _row_of(bad=bad))
        self.assertEqual(pooled._answers["r"], [True, True])

    def test_an_instance_that_starts_again_is_counted_with_both_runs(self):
        pooled = evidence_module.PooledEvidence(order_id=1)
        pooled.merge("other", _row_of(bad=2, run_id="first"))
        pooled.merge("other", _row_of(bad=1, run_id="second"))
        self.assertEqual(pooled._answers["r"], [True, True, True])

    def test_evidence_of_another_order_is_ignored(self):
        pooled = evidence_module.PooledEvidence(order_id=2)
        pooled.merge("other", evidence_module.EvidenceRow(order_id=1))
        self.assertEqual(pooled._peer_rows, {})


def _row_of(*, bad: int, run_id: str = "") -> evidence_module.EvidenceRow:
    count = evidence_module.RouteCount(bad=bad, bad_replicas={"a", "b"})
    return evidence_module.EvidenceRow(
        order_id=1, routes={"r": count}, run_id=run_id
    )


if __name__ == "__main__":
    unittest.main()
