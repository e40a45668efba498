"""Chooses the backend server for each attempt.

docs/design/backend-choice.md compares this policy with others.
"""

import datetime
import random

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import ejection
from nutmeghook.internal.routing import load_gossip
from nutmeghook.internal.routing import load_tracker
from nutmeghook.internal.routing import pools
from nutmeghook.internal.routing import stall_detector as stall_detector_module

# Candidates drawn from the own cell, whose load is known well, and from each
# remoter locality, where a choice among many would lead all instances to the
# same backend server.
CELL_CANDIDATES = 4
OUTER_CANDIDATES = 2
# Above this utilisation a backend server counts as full: remoter ones are
# considered, and affinity tries the next owner on the ring.
FULL_SHARE = 1.0
# Difference in utilisation that justifies one step of locality.
DISTANCE_COST_SHARE = 0.1
# Owners of a session that are tried before the least loaded backend server.
AFFINITY_TRIES = 3


class LeastLoadedChooser(backends.BackendChooser):
    """Chooses by session affinity, otherwise the least loaded."""

    __slots__ = (
        "_clock",
        "_directory",
        "_ejector",
        "_gossiper",
        "_rng",
        "_stall_detector",
        "_tracker",
    )

    def __init__(
        self,
        *,
        directory: directory_module.BackendDirectory,
        tracker: load_tracker.LoadTracker,
        ejector: ejection.OutlierEjector,
        gossiper: load_gossip.LoadGossiper | None,
        clock: clock_module.Clock,
        rng: random.Random,
        stall_detector: stall_detector_module.StallDetector | None = None,
    ):
        self._directory = directory
        self._tracker = tracker
        self._ejector = ejector
        self._gossiper = gossiper
        self._clock = clock
        self._rng = rng
        self._stall_detector = stall_detector

    def choose(
        self, criteria: backends.BackendCriteria
    ) -> backends.Backend | None:
        """Returns a backend server that may take new work now, or None."""
        if (
            self._stall_detector is not None
            and not self._stall_detector.may_send()
        ):
            return None
        self._ejector.restore_due()
        pool = self._directory.pool(criteria)
        if pool is None:
            return None
        if criteria.affinity_key:
            owner = self._owner_with_room(pool, criteria)
            if owner is not None:
                return owner
        return self._least_loaded(pool, criteria)

    def may_send(self, backend: backends.Backend) -> bool:
        """Tells whether work may still go to a backend server chosen before.

        It may have left since, or this process may have been paused and not
        know of that yet.
        """
        if (
            self._stall_detector is not None
            and not self._stall_detector.may_send()
        ):
            return False
        known = self._directory.find(backend.address)
        return known is backend and not backend.leaving

    def started(self, backend: backends.Backend) -> None:
        """Notes that an attempt was sent."""
        self._note_own(backend, 1)

    def finished(
        self,
        backend: backends.Backend,
        *,
        outcome: backends.AttemptOutcome,
        duration: datetime.timedelta,
        report: engine.LoadReport | None = None,
    ) -> None:
        """Notes how it ended, with the load report that the answer carried."""
        self._note_own(backend, -1)
        if self._directory.find(backend.address) is not backend:
            return  # It was dropped or replaced while the attempt ran.
        self._ejector.note(backend, outcome=outcome, duration=duration)
        if outcome is backends.AttemptOutcome.REFUSED_LEAVING:
            self._directory.note_leaving(backend)
        elif outcome is backends.AttemptOutcome.REFUSED_OVERLOAD:
            self._tracker.note_full(backend)
        if report is not None:
            age = datetime.timedelta(milliseconds=report.age_ms)
            self._directory.note_report(
                backend, report, measured_at=self._clock.monotonic() - age
            )
            if self._gossiper is not None:
                self._gossiper.note_report(backend)

    def _note_own(self, backend: backends.Backend, attempts: int) -> None:
        if self._directory.find(backend.address) is not backend:
            return
        self._tracker.note_own(backend, attempts)
        if self._gossiper is not None:
            self._gossiper.note_own_change(backend)

    def _owner_with_room(
        self, pool: pools.BackendPool, criteria: backends.BackendCriteria
    ) -> backends.Backend | None:
        """Returns the first owner of the key that is not full.

        All instances try the same owners in the same order, so a busy prompt
        prefix spreads over no more backend servers than it needs.
        """
        for owner in pool.owners(criteria.affinity_key, limit=AFFINITY_TRIES):
            if owner.address in criteria.exclude or _is_probation_busy(owner):
                continue
            if self._tracker.utilisation(owner) <= FULL_SHARE:
                return owner
        return None

    def _least_loaded(
        self, pool: pools.BackendPool, criteria: backends.BackendCriteria
    ) -> backends.Backend | None:
        best = None
        best_cost = 0.0
        for locality in backends.Locality:
            own_cell = locality is backends.Locality.OWN_CELL
            for backend in pool.draw(
                locality=locality,
                count=CELL_CANDIDATES if own_cell else OUTER_CANDIDATES,
                exclude=criteria.exclude,
                rng=self._rng,
            ):
                cost = self._cost(backend)
                if best is None or cost < best_cost:
                    best, best_cost = backend, cost
            if best is not None and (best.plain or best_cost <= FULL_SHARE):
                break
        return best

    def _cost(self, backend: backends.Backend) -> float:
        cost = self._tracker.utilisation(backend)
        if _is_probation_busy(backend):
            cost += 10.0
        return cost + DISTANCE_COST_SHARE * backend.locality


def _is_probation_busy(backend: backends.Backend) -> bool:
    """Tells whether it is on probation with its one attempt in flight."""
    return backend.on_probation and backend.in_flight > 0
