"""Elected readers are few, the same everywhere, and change little."""

import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import readers


def member(number, data_centre="a", health=members_module.MemberHealth.ALIVE):
    return members_module.Member(
        inner_address=f"10.0.0.{number}:7000",
        incarnation=f"i{number}",
        region="r",
        data_centre=data_centre,
        health=health,
    )


def elect(members, purpose="list"):
    return readers.elected_readers(
        members, data_centre="a", count=2, purpose=purpose
    )


class ElectedReadersTest(unittest.TestCase):
    @hypothesis.given(
        strategies.sets(strategies.integers(1, 250), min_size=1, max_size=40),
        strategies.randoms(use_true_random=False),
    )
    def test_order_is_agreed_and_one_loss_moves_one_reader(self, numbers, rng):
        members = [member(n) for n in sorted(numbers)]
        others = [member(n, data_centre="b") for n in range(5)]
        elected = elect(members + others)
        shuffled = members + others
        rng.shuffle(shuffled)
        self.assertEqual(elect(shuffled), elected)
        self.assertEqual(len(elected), min(2, len(members)))
        gone = rng.choice(members)
        left = elect([m for m in members if m != gone])
        kept = [m for m in elected if m != gone]
        self.assertTrue(all(m in left for m in kept))

    def test_purposes_fall_on_different_members(self):
        members = [member(n) for n in range(50)]
        chosen = {elect(members, f"purpose {n}")[0] for n in range(20)}
        self.assertGreater(len(chosen), 10)

    def test_unhealthy_members_come_last(self):
        suspect = members_module.MemberHealth.SUSPECT
        members = [member(n, health=suspect) for n in range(20)]
        members += [member(30), member(31)]
        self.assertEqual(set(elect(members)), {member(30), member(31)})
        with self.assertRaises(ValueError):
            readers.elected_readers([], data_centre="a", count=0, purpose="x")


if __name__ == "__main__":
    unittest.main()
