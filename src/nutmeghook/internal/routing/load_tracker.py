"""What runs on each backend server now, as far as this instance can tell.

An estimate is the sum of three parts: this instance's own attempts, known
exactly; those of the peers in its cell, known a fraction of a second late;
and those of everybody else, which only the backend server's own reports
show, seconds late. See docs/design/backend-choice.md.
"""

import collections
import dataclasses
import datetime
import math

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routing import backends

# Reports are at most this late; changes older than that are forgotten.
HISTORY = datetime.timedelta(seconds=5)
# With what speed an old report's difference from the mean stops to count.
# Without it, frozen reports would draw all work to whoever was idle last.
DECAY_S = 2.0
# How far a new report moves the estimate of what runs from outside.
REPORT_WEIGHT = 0.5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Change:
    """A change of what is known to run."""

    at: datetime.timedelta
    attempts: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Mean:
    """The mean of `outside` over reported backend servers of one service.

    Those of the own cell and those outside it have means of their own: what
    runs on the latter comes all from outside, and next to nothing does on the
    former. With one mean for both, a stranger whose report is old would look
    nearly empty, and the work of all full cells would go there.
    """

    total: float = 0.0
    count: int = 0

    def value(self) -> float:
        """Returns the mean, 0 before the first report."""
        return max(0.0, self.total / self.count) if self.count else 0.0


class LoadTracker:
    """Keeps the parts of the estimates, and what changed lately."""

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
        """Adds to (or with a negative number takes from) the own attempts."""
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
        """Takes in how many attempts a report showed, at its own moment."""
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
        """Takes in how many attempts came from outside the cell."""
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
        """Takes in that the backend server refused for its load."""
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

        For a plain service, whose capacity nobody knows, it is the number.
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
