"""The choice of backend server for each attempt."""

import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.platform import engine
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import directory as directory_module

CANDIDATES = 2


class LeastLoadedChooser(backends.BackendChooser):
    """Draws a few backend servers and takes the least loaded of them."""

    __slots__ = ("_clock", "_directory", "_rng")

    def __init__(
        self,
        *,
        directory: directory_module.BackendDirectory,
        clock: clock_module.Clock,
        rng: random.Random,
    ):
        self._directory = directory
        self._clock = clock
        self._rng = rng

    def choose(self, need: backends.BackendNeed) -> backends.Backend | None:
        """Returns a backend server that may take new work now, or None."""
        pool = self._directory.pool(need)
        if pool is None:
            return None
        for nearness in backends.Nearness:
            drawn = pool.draw(
                nearness=nearness,
                count=CANDIDATES,
                exclude=need.exclude,
                rng=self._rng,
            )
            if drawn:
                return min(drawn, key=_load)
        return None

    def started(self, backend: backends.Backend) -> None:
        """Notes that an attempt was sent."""
        backend.in_flight += 1

    def finished(
        self,
        backend: backends.Backend,
        *,
        outcome: backends.AttemptOutcome,
        duration: datetime.timedelta,
        report: engine.LoadReport | None = None,
    ) -> None:
        """Notes how it ended, with the load report that came along."""
        backend.in_flight = max(0, backend.in_flight - 1)
        if outcome is backends.AttemptOutcome.REFUSED_LEAVING:
            self._directory.note_leaving(backend)
        if report is not None:
            age = datetime.timedelta(milliseconds=report.age_ms)
            self._directory.note_report(
                backend, report, measured_at=self._clock.monotonic() - age
            )


def _load(backend: backends.Backend) -> float:
    if backend.report is None:
        return float(backend.in_flight)
    report = backend.report
    load = report.running + report.waiting + backend.in_flight
    return load / max(1, report.capacity)
