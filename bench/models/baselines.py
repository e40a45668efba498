"""The usual policies for choosing a backend server, to compare with.

Each knows the same late reports as the product's own chooser, but for the
clairvoyant, which looks into the replicas' queues.
"""

from collections.abc import Callable
import datetime
import random

from bench.models import replicas
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.routing import backends

Candidates = list[backends.Backend]
Rule = Callable[[Candidates, random.Random], backends.Backend]


class BaselineChooser(backends.BackendChooser):
    """A rule that is applied to all backend servers at each choice."""

    __slots__ = ("_candidates", "_rng", "_rule")

    def __init__(
        self, *, candidates: Candidates, rule: Rule, rng: random.Random
    ):
        self._candidates = candidates
        self._rule = rule
        self._rng = rng

    def choose(
        self, criteria: backends.BackendCriteria
    ) -> backends.Backend | None:
        """Returns what the rule says."""
        return self._rule(self._candidates, self._rng)

    def started(self, backend: backends.Backend) -> None:
        """Counts the attempt."""
        backend.in_flight += 1

    def finished(
        self,
        backend: backends.Backend,
        *,
        outcome: backends.AttemptOutcome,
        duration: datetime.timedelta,
        report: engine.LoadReport | None = None,
    ) -> None:
        """Counts the attempt's end."""
        backend.in_flight -= 1


def at_random(candidates: Candidates, rng: random.Random) -> backends.Backend:
    """Any of them."""
    return rng.choice(candidates)


def least_reported(
    candidates: Candidates, rng: random.Random
) -> backends.Backend:
    """The one whose last report shows the least load."""
    return min(candidates, key=lambda b: (_reported(b), rng.random()))


def two_choices(candidates: Candidates, rng: random.Random) -> backends.Backend:
    """The less loaded of two, by their last reports."""
    return min(rng.sample(candidates, 2), key=_reported)


def round_robin() -> Rule:
    """One after the other, from a start of the router's own."""
    turn: list[int] = []

    def rule(candidates: Candidates, rng: random.Random) -> backends.Backend:
        if not turn:
            turn.append(rng.randrange(len(candidates)))
        turn[0] = (turn[0] + 1) % len(candidates)
        return candidates[turn[0]]

    return rule


def clairvoyant(fleet_replicas: list[replicas.Replica]) -> Rule:
    """The one with the truly least load; it is told of no report."""

    def rule(candidates: Candidates, rng: random.Random) -> backends.Backend:
        loads = [replica.load for replica in fleet_replicas]
        least = min(loads)
        return rng.choice(
            [
                b
                for b, load in zip(candidates, loads, strict=True)
                if load == least
            ]
        )

    return rule


def _reported(backend: backends.Backend) -> int:
    if backend.report is None:
        return 0
    return backend.report.running + backend.report.waiting
