"""Whether a version has enough replicas for the share it is to get."""

import collections
from collections.abc import Callable
import dataclasses
import datetime
import math

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.orders import planning
from nutmeghook.internal.routing import backends

# The share of the engines planned for a step that must be ready: an engine that
# was just replaced must not delay a roll-out until it has loaded the version.
READY_SHARE = 0.8
_COUNT_LIFETIME = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Counts:
    """Replicas and engines counted from the reports at one moment."""

    replicas: collections.Counter[engine.ModelVersion]
    engines: collections.Counter[str]
    counted_at: datetime.timedelta


class Readiness:
    """Counts replicas on the backend servers that this instance knows.

    An instance that reads only part of the fleet's reports counts that part
    only; the ratio of replicas to engines still holds.

    Args:
        known: Returns all known backend servers.
        clock: Counts are cached for a second on it, so that the cost for each
            request does not grow with the number of engines. Without it they
            are recomputed each time.
    """

    __slots__ = ("_clock", "_counts", "_known")

    def __init__(
        self,
        *,
        known: Callable[[], list[backends.Backend]],
        clock: clock_module.Clock | None = None,
    ):
        self._known = known
        self._clock = clock
        self._counts: _Counts | None = None

    def ready_replicas(self, model_version: engine.ModelVersion) -> int:
        """Returns how many engines can serve a version."""
        return self._current().replicas[model_version]

    def is_ready_for(
        self, model_version: engine.ModelVersion, *, share_percent: float
    ) -> bool:
        """Tells whether a version may get a share without overload."""
        counts = self._current()
        engines = counts.engines[model_version.model]
        if not engines:
            return False
        needed = max(
            min(engines, planning.MIN_REPLICAS),
            math.ceil(READY_SHARE * engines * share_percent / 100),
        )
        return counts.replicas[model_version] >= needed

    def _current(self) -> _Counts:
        now = self._clock.monotonic() if self._clock else datetime.timedelta()
        counts = self._counts
        if (
            counts is None
            or self._clock is None
            or now - counts.counted_at >= _COUNT_LIFETIME
        ):
            counts = self._counts = _count(self._known(), now)
        return counts


def _count(known: list[backends.Backend], now: datetime.timedelta) -> _Counts:
    usable = [b for b in known if b.report is not None and not b.leaving]
    replicas = collections.Counter(
        version for b in usable for version in b.report.loaded
    )
    pools: dict[str, set[str]] = {}
    for backend in usable:
        for version in backend.report.loaded:
            pools.setdefault(version.model, set()).add(backend.service)
    sizes = collections.Counter(backend.service for backend in usable)
    engines = collections.Counter(
        {
            model: sum(sizes[pool] for pool in names)
            for model, names in pools.items()
        }
    )
    return _Counts(replicas=replicas, engines=engines, counted_at=now)
