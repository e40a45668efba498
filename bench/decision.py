"""Processor time of one choice of backend server, by number of replicas.

A decision is a choice and the records of its attempt's start and end; every
second one has an affinity key. All replicas are in one cell, which is the
worst case: at the planned size a cell has about sixty.
"""

import datetime
import random
import statistics
import time

from bench import report
from bench.models import fleet_parts
from bench.models import replicas
from bench.models import routers
from bench.models import simulation
from nutmeghook.internal.routing import backends

SMALL = 12
LARGE = 4400
ROUNDS = 31
DECISIONS = 1000
IN_FLIGHT_PER_REPLICA = 0.5


class RouterScenario:
    """A router with a number of replicas, some of them busy."""

    __slots__ = ("_clock", "_criteria", "_router")

    def __init__(self, *, size: int):
        self._clock = simulation.Simulation()
        shape = fleet_parts.Shape(
            routers=1, replicas=size, capacity=16, bursts=False
        )
        self._router = routers.ProductRouter(
            number=0, shape=shape, clock=self._clock, rng=random.Random(1)
        )
        idle = replicas.Replica(simulation=self._clock, capacity=16)
        for number in range(size):
            self._router.receive_report(
                number, fleet_parts.report_of(idle), 0.0
            )
        self._criteria = [
            backends.BackendCriteria(
                model_version=fleet_parts.VERSION,
                affinity_key=f"session-{number}" if number % 2 else "",
            )
            for number in range(DECISIONS)
        ]
        for criteria in self._criteria[: int(IN_FLIGHT_PER_REPLICA * size)]:
            chooser = self._router.chooser
            chooser.started(chooser.choose(criteria))

    def decide_all(self) -> float:
        """Makes the decisions; returns microseconds of processor time each."""
        chooser = self._router.chooser
        duration = datetime.timedelta(seconds=1)
        started_ns = time.process_time_ns()
        for criteria in self._criteria:
            backend = chooser.choose(criteria)
            chooser.started(backend)
            chooser.finished(
                backend,
                outcome=backends.AttemptOutcome.ANSWERED,
                duration=duration,
            )
        spent_ns = time.process_time_ns() - started_ns
        # Advances the clock, so that the records of changes expire as they do
        # in production.
        self._clock.run_until(self._clock.now_s + 10.0)
        return spent_ns / 1000 / DECISIONS


def run() -> list[report.Line]:
    """Measures both sizes alternately and compares the medians."""
    small, large = RouterScenario(size=SMALL), RouterScenario(size=LARGE)
    small.decide_all()
    large.decide_all()
    small_us, large_us = [], []
    for _ in range(ROUNDS):
        small_us.append(small.decide_all())
        large_us.append(large.decide_all())
    small_median_us = statistics.median(small_us)
    large_median_us = statistics.median(large_us)
    return [
        report.Line(
            name=f"decision.cost_us.{SMALL}_replicas",
            value=round(small_median_us, 2),
            unit="us of processor",
        ),
        report.Line(
            name=f"decision.cost_us.{LARGE}_replicas",
            value=round(large_median_us, 2),
            unit="us of processor",
        ),
        report.Line(
            name="decision.cost_growth",
            value=round(large_median_us / small_median_us, 3),
            unit="ratio",
            bound=1.5,
        ),
    ]
