"""The queue's order: by priority, with a share by fairness alone."""

import collections
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import fair_queue


def _ticket(team, *, priority=5, cost_tokens=100, weight=1.0):
    return fair_queue.Ticket(
        request=admission.AdmissionRequest(
            team=team,
            template="t",
            weight=weight,
            priority=priority,
            deadline=datetime.timedelta(minutes=1),
            cost_tokens=cost_tokens,
        ),
        verdict=None,
        latest_start=datetime.timedelta(minutes=1),
    )


class FairQueueTest(unittest.TestCase):
    """Shares of the served work while all teams are backlogged."""

    @hypothesis.given(
        weights=strategies.lists(
            strategies.sampled_from([0.5, 1.0, 2.0, 4.0]),
            min_size=2,
            max_size=6,
        ),
        costs=strategies.lists(
            strategies.integers(1, 500), min_size=1, max_size=8
        ),
    )
    def test_backlogged_teams_get_their_weights_share(self, weights, costs):
        queue = fair_queue.FairQueue()
        # All of a team's requests arrive together; the order must not matter.
        for index, weight in enumerate(weights):
            for number in range(200):
                cost = costs[(number + index) % len(costs)]
                queue.push(_ticket(f"{index}", cost_tokens=cost, weight=weight))
        served = collections.Counter()
        for _ in range(100):
            request = queue.pop().request
            served[request.team] += request.cost_tokens
        virtual = [served[f"{i}"] / w for i, w in enumerate(weights)]
        # No team is ahead of another by more than one request.
        self.assertLessEqual(
            max(virtual) - min(virtual), max(costs) / min(weights)
        )

    @hypothesis.given(flooding_priority=strategies.integers(0, 9))
    def test_small_teams_are_served_beside_a_flood_of_any_priority(
        self, flooding_priority
    ):
        """A team marks all its work as most urgent and sends ten times more.

        The others' ordinary requests must still be served, by the guaranteed
        share of the work that is picked by fairness alone.
        """
        queue = fair_queue.FairQueue(guaranteed_share=0.25)
        for _ in range(1000):
            queue.push(_ticket("large", priority=flooding_priority))
        for index in range(9):
            for _ in range(100):
                queue.push(_ticket(f"small-{index}", priority=3))
        served = collections.Counter(
            queue.pop().request.team for _ in range(400)
        )
        for index in range(9):
            self.assertGreaterEqual(served[f"small-{index}"], 400 * 0.24 // 9)

    def test_urgent_work_goes_before_ordinary_work_of_all_teams(self):
        """An urgent request arrives behind a queue of ordinary ones.

        It must not wait behind its own team's ordinary requests (a priority
        inversion), nor behind those of others.
        """
        queue = fair_queue.FairQueue()
        for _ in range(20):
            queue.push(_ticket("agency"))
            queue.push(_ticket("other"))
        for _ in range(3):
            queue.push(_ticket("agency", priority=8))
        served = [queue.pop().request.priority for _ in range(4)]
        self.assertEqual(served[:3], [8, 8, 8])

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.integers(0, 9),
                strategies.sampled_from(["push", "pop", "remove"]),
            )
        )
    )
    def test_the_sums_agree_with_what_waits(self, steps):
        queue = fair_queue.FairQueue()
        waiting = []
        for team, priority, step in steps:
            if step == "push":
                waiting.append(_ticket(team, priority=priority))
                queue.push(waiting[-1])
            elif waiting:
                if step == "pop":
                    waiting.remove(queue.pop())
                else:
                    self.assertTrue(queue.remove(waiting.pop(0)))
        self.assertEqual(len(queue), len(waiting))
        for team in "abc":
            newcomer = _ticket(team, priority=0).request
            own = [t for t in waiting if t.request.team == team]
            for ahead in (
                queue.cost_by_fairness(newcomer),
                queue.cost_by_priority(newcomer),
            ):
                self.assertGreaterEqual(ahead, 100 * len(own))
                self.assertLessEqual(ahead, 100 * len(waiting))
