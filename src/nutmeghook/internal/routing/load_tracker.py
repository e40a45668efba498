"""Estimates the number of attempts in flight on each backend server.

An estimate is the sum of three parts: this instance's own attempts, known
exactly; those of the peers in its cell, known a fraction of a second late;
and all others, which only the backend server's own reports show, seconds
late. See docs/design/backend-choice.md.
"""

import collections
import dataclasses
import datetime
import math

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routing import backends

# Reports are at most this late; changes older than that are forgotten.
HISTORY = datetime.timedelta(seconds=5)
# Time constant with which an old report's difference from the mean decays.
# Without it, all work would go to the backend server that was last idle if
# reports stopped.
DECAY_S = 2.0
# Weight of a new report in the moving average of external attempts.
REPORT_WEIGHT = 0.5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Change:
    """A change in the known number of attempts in flight."""

    at: datetime.timedelta
    attempts: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Mean:
    """Mean of `external_in_flight` over a service's reported backend servers.

    Those of the own cell and those outside it have separate means: all that
    runs on the latter is external, and next to nothing on the former. With
    one mean for both, a backend server outside the cell whose report is old
    would look nearly idle, and the work of all full cells would go there.
    """

    total: float = 0.0
    count: int = 0

    def value(self) -> float:
        """Returns the mean, 0 before the first report."""
        return max(0.0, self.total / self.count) if self.count else 0.0


class LoadTracker:
    """Keeps the parts of the estimates, and their recent changes."""

    __slots__ = (
        "_cell_means",
        "_changes",
        "_clock",
        "_mean_of",
        "_outer_means",
    )

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._changes: dict[str, collections.deque[_Change]] = {}
        self._cell_means: dict[str, _Mean] = {}
        self._outer_means: dict[str, _Mean] = {}
        self._mean_of: dict[str, _Mean] = {}

    def note_own(self, backend: backends.Backend, attempts: int) -> None:
        """Adds `attempts`, which may be negative, to the own attempts."""
        backend.in_flight = max(0, backend.in_flight + attempts)
        self._note_change(backend, attempts)

    def note_peers(self, backend: backends.Backend, attempts: int) -> None:
        """Adds to the attempts of the peers."""
        backend.peers_in_flight = max(0, backend.peers_in_flight + attempts)
        self._note_change(backend, attempts)

    def note_total(
        self,
        backend: backends.Backend,
        *,
        total: int,
        measured_at: datetime.timedelta,
    ) -> None:
        """Records the attempts that a report showed when it was measured."""
        known_then = backend.in_flight + backend.peers_in_flight
        for change in reversed(self._changes.get(backend.address, ())):
            if change.at <= measured_at:
                break
            known_then -= change.attempts
        self.note_external(
            backend,
            external_in_flight=total - known_then,
            measured_at=measured_at,
        )

    def note_external(
        self,
        backend: backends.Backend,
        *,
        external_in_flight: float,
        measured_at: datetime.timedelta,
    ) -> None:
        """Records the number of attempts from outside the cell."""
        previous = self._mean_of.get(backend.address)
        if previous is not None:
            previous.total -= backend.external_in_flight
            previous.count -= 1
            external_in_flight = backend.external_in_flight + REPORT_WEIGHT * (
                external_in_flight - backend.external_in_flight
            )
        own_cell = backend.locality is backends.Locality.OWN_CELL
        means = self._cell_means if own_cell else self._outer_means
        mean = means.setdefault(backend.service, _Mean())
        mean.total += external_in_flight
        mean.count += 1
        self._mean_of[backend.address] = mean
        backend.external_in_flight = external_in_flight
        backend.external_at = measured_at

    def note_full(self, backend: backends.Backend) -> None:
        """Records that the backend server refused work because of its load."""
        known = backend.in_flight + backend.peers_in_flight
        missing = 1.0 + backend.capacity - known
        self.note_external(
            backend,
            external_in_flight=max(
                backend.external_in_flight, missing / REPORT_WEIGHT
            ),
            measured_at=self._clock.monotonic(),
        )

    def forget(self, backend: backends.Backend) -> None:
        """Drops all that is kept of a backend server that is gone."""
        self._changes.pop(backend.address, None)
        mean = self._mean_of.pop(backend.address, None)
        if mean is not None:
            mean.total -= backend.external_in_flight
            mean.count -= 1

    def utilisation(self, backend: backends.Backend) -> float:
        """Returns the estimate with one attempt more, as a share of capacity.

        For a plain service, whose capacity is unknown, it is the number.
        """
        known = backend.in_flight + backend.peers_in_flight + 1
        return (known + self._external_now(backend)) / backend.capacity

    def _external_now(self, backend: backends.Backend) -> float:
        mean = self._mean_of.get(backend.address)
        if mean is None:
            return 0.0
        age_s = (self._clock.monotonic() - backend.external_at).total_seconds()
        common = mean.value()
        decayed = (backend.external_in_flight - common) * math.exp(
            -age_s / DECAY_S
        )
        return max(0.0, common + decayed)

    def _note_change(self, backend: backends.Backend, attempts: int) -> None:
        now = self._clock.monotonic()
        changes = self._changes.get(backend.address)
        if changes is None:
            changes = self._changes[backend.address] = collections.deque()
        changes.append(_Change(at=now, attempts=attempts))
        while changes[0].at < now - HISTORY:
            changes.popleft()
