"""Error bounds of the rules that judge versions."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.rollout import decisions
from nutmeghook.internal.rollout import evidence
from nutmeghook.internal.rollout import pool

SHARES = strategies.floats(0.01, 0.4)
PASTS = strategies.lists(strategies.booleans(), max_size=40)


def after(rule, past):
    """Returns the evidence after ratings."""
    found = evidence.Evidence()
    for bad in past:
        found = rule.with_rating(found, bad=bad)
    return found


class BoundTest(unittest.TestCase):
    """The inequality from which the error bounds follow."""

    @hypothesis.given(SHARES, PASTS, strategies.floats(0, 1))
    def test_within_tolerance_a_rating_adds_no_more_than_its_weight(
        self, tolerated, past, part
    ):
        bad_share = tolerated * part
        for rule, weights in (
            (evidence.RollOutRule(tolerated_bad_share=tolerated), None),
            (evidence.FullShareRule(tolerated_bad_share=tolerated), 1.0),
        ):
            before = after(rule, past)
            expected = sum(
                probability * sum(rule.with_rating(before, bad=bad).sums)
                for bad, probability in (
                    (True, bad_share),
                    (False, 1 - bad_share),
                )
            )
            weight = weights or rule._weight_of_change(len(past))
            count = len(before.sums)
            limit = sum(before.sums) + weight * count
            self.assertLessEqual(expected, limit * (1 + 1e-9))

    def test_the_weights_of_a_roll_out_sum_to_no_more_than_one(self):
        rule = evidence.RollOutRule(tolerated_bad_share=0.05)
        total = sum(rule._weight_of_change(n) for n in range(20_000))
        self.assertLessEqual(total, 1.0)
        self.assertGreater(total, 0.95)

    def test_good_versions_are_rarely_stopped_and_bad_ones_soon(self):
        """Versions just within tolerance are tested after each of 400 ratings.

        At most one in a hundred may be stopped, while a version that fails
        each third caller is stopped within 40 ratings in most runs, also if it
        turned bad late.
        """
        source = random.Random(11)
        rule = evidence.RollOutRule(tolerated_bad_share=0.05)

        def stopped_after(bad_share, found, ratings):
            for number in range(ratings):
                bad = source.random() < bad_share
                found = rule.with_rating(found, bad=bad)
                if rule.proves_bad(found):
                    return number + 1
            return None

        false_stops = sum(
            stopped_after(0.05, evidence.Evidence(), 400) is not None
            for _ in range(400)
        )
        self.assertLessEqual(false_stops, 4)
        good_past = after(rule, [False] * 150)
        for past in (evidence.Evidence(), good_past):
            delays = [stopped_after(0.33, past, 400) for _ in range(60)]
            self.assertTrue(all(delays))
            self.assertLess(sorted(delays)[30], 40)


class GrowthTest(unittest.TestCase):
    """When a version may grow to its next share."""

    def _snapshot(self, percent):
        entries = (
            documents.VersionEntry(version="1", share_percent=100 - percent),
            documents.VersionEntry(
                version="2",
                state=documents.VersionState.ROLLING_OUT,
                share_percent=percent,
            ),
        )
        template = documents.Template(
            team="t",
            name="n",
            stages=(documents.Stage(model="m", versions=entries),),
        )
        return documents.Snapshot(
            revision=1,
            fleet=documents.Fleet(),
            teams={},
            templates={"t/n": template},
        )

    @hypothesis.given(strategies.integers(0, 40), strategies.integers(0, 59))
    def test_ratings_of_earlier_answers_do_not_count_for_the_next_share(
        self, out_unrated, rated_since
    ):
        """The version grows to 50%, where it turns bad.

        Good ratings of answers sent at 25% still come in. If they counted, all
        callers would get the version before a single answer sent at 50% was
        rated.
        """
        version = engine.ModelVersion(model="m", version="2")
        key = pool.VersionKey(team="t", template="n", model_version=version)
        watch = pool.Watch(
            key=key,
            rollout_id=1,
            rolling_out=True,
            share_percent=25.0,
            ratings_at_share=60,
            rated=60,
            reserved=60 + out_unrated,
        )
        found = pool.Pool(watches=(watch,))
        snapshot = self._snapshot(50.0)
        found = pool.with_versions_of(found, snapshot)
        for bad in [False] * out_unrated + [False] * rated_since:
            found = self._rated(found, snapshot, bad)
        self.assertEqual(decisions.steps(found, snapshot), [])
        for _ in range(60 - rated_since):
            found = self._rated(found, snapshot, False)
        self.assertEqual(len(decisions.steps(found, snapshot)), 1)

    def test_many_bad_ratings_hold_a_version_before_they_prove_it_bad(self):
        snapshot = self._snapshot(50.0)
        found = pool.with_versions_of(pool.Pool(), snapshot)
        for _ in range(200):
            found = self._rated(found, snapshot, bad=False)
        found = pool.with_versions_of(found, self._snapshot(25.0))
        found = pool.with_versions_of(found, snapshot)
        for number in range(60):
            found = self._rated(found, snapshot, bad=number % 8 == 0)
        self.assertIs(found.watches[0].verdict, pool.Verdict.OPEN)
        self.assertEqual(decisions.steps(found, snapshot), [])

    def _rated(self, found, snapshot, bad):
        rating = ratings.Rating(
            cursor=1,
            request_id="",
            team="t",
            template="n",
            model_version=engine.ModelVersion(model="m", version="2"),
            stage=0,
            quality=0.0 if bad else 1.0,
        )
        return pool.with_ratings(found, [rating], snapshot)


if __name__ == "__main__":
    unittest.main()
