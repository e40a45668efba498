"""Adding or removing a backend server moves only its own keys."""

import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.routing import affinity

KEYS = [f"session-{number}" for number in range(1500)]


def address(number):
    return f"10.1.{number // 250}.{number % 250}:8000"


def owners(ring):
    return [next(ring.owners(key, limit=1), None) for key in KEYS]


class AffinityRingTest(unittest.TestCase):
    """Who owns which key."""

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(
        numbers=strategies.sets(strategies.integers(0, 500), min_size=2),
        index=strategies.integers(0, 10**6),
    )
    def test_removal_moves_only_the_removed_ones_keys(self, numbers, index):
        """One replica of many is removed and added again.

        Only its keys may move, or sessions of healthy replicas would lose
        their cached prefixes. It had at most about twice its share of the
        keys, and all return to it.
        """
        numbers = sorted(numbers)
        gone = address(numbers[index % len(numbers)])
        ring = affinity.AffinityRing()
        ring.add_all(address(n) for n in numbers)
        before = owners(ring)
        ring.remove(gone)
        after = owners(ring)
        moved = {a for a, b in zip(before, after, strict=True) if a != b}
        self.assertLessEqual(moved, {gone})
        self.assertNotIn(gone, after)
        fair = len(KEYS) / len(numbers)
        self.assertLessEqual(before.count(gone), 2 * fair + 20)
        ring.add(gone)
        self.assertEqual(owners(ring), before)

    @hypothesis.given(order=strategies.permutations(range(12)))
    def test_order_of_arrival_does_not_matter(self, order):
        ring = affinity.AffinityRing()
        for number in order:
            ring.add(address(number))
        expected = affinity.AffinityRing()
        expected.add_all(address(n) for n in range(12))
        for key in KEYS[:50]:
            self.assertEqual(
                list(ring.owners(key, limit=3)),
                list(expected.owners(key, limit=3)),
            )
            self.assertEqual(len(set(ring.owners(key, limit=3))), 3)

    def test_empty_ring_owns_nothing(self):
        ring = affinity.AffinityRing()
        ring.add(address(1))
        ring.remove(address(1))
        self.assertEqual(list(ring.owners("key", limit=3)), [])
