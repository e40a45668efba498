"""Load figures of a model engine stand-in, told late."""

import collections
from collections.abc import Callable
import datetime

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import engine_settings

_MILLISECOND = datetime.timedelta(milliseconds=1)


class LateReports:
    """Keeps the figures of the last moments and shows those of then."""

    __slots__ = ("_clock", "_measure", "_noted", "_settings")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        settings: engine_settings.EngineSettings,
        measure: Callable[[], engine.LoadReport],
    ):
        self._clock = clock
        self._settings = settings
        self._measure = measure
        self._noted: collections.deque[
            tuple[datetime.timedelta, engine.LoadReport]
        ] = collections.deque([(clock.monotonic(), measure())])

    def note(self) -> None:
        """Takes down the figures, if they have changed."""
        report = self._measure()
        if report != self._noted[-1][1]:
            self._noted.append((self._clock.monotonic(), report))
        self._drop_oldest()

    def latest(self) -> engine.LoadReport:
        """Returns the figures of `report_lag_ms` ago."""
        self.note()
        return self._noted[0][1]

    def _drop_oldest(self) -> None:
        lag = self._settings.report_lag_ms * _MILLISECOND
        visible_until = self._clock.monotonic() - lag
        while len(self._noted) > 1 and self._noted[1][0] <= visible_until:
            self._noted.popleft()
