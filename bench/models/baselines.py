"""Baseline policies for choosing a backend server.

Each sees the same delayed load reports as the product's own chooser, except
the clairvoyant one, which reads the replicas' queues.
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
    """Applies a rule to all backend servers at each choice."""

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
        """Returns the backend server that the rule selects."""
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
    """Selects any backend server."""
    return rng.choice(candidates)


def least_reported(
    candidates: Candidates, rng: random.Random
) -> backends.Backend:
    """Selects the one with the least load in its last report."""
    return min(candidates, key=lambda b: (_reported(b), rng.random()))


def two_choices(candidates: Candidates, rng: random.Random) -> backends.Backend:
    """Selects the less loaded of two random ones, by their last reports."""
    return min(rng.sample(candidates, 2), key=_reported)


def round_robin() -> Rule:
    """Returns a round-robin rule with a random starting point."""
    turn: list[int] = []

    def rule(candidates: Candidates, rng: random.Random) -> backends.Backend:
        if not turn:
            turn.append(rng.randrange(len(candidates)))
        turn[0] = (turn[0] + 1) % len(candidates)
        return candidates[turn[0]]

    return rule


def clairvoyant(fleet_replicas: list[replicas.Replica]) -> Rule:
    """Returns a rule that selects the least actual load, without reports."""

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
