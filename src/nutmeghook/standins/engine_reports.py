"""Load reports of a model engine stand-in, published with a delay."""

import collections
from collections.abc import Callable
import datetime

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import engine_settings

_MILLISECOND = datetime.timedelta(milliseconds=1)


class DelayedReports:
    """Keeps recent reports and returns the one of `report_lag_ms` ago."""

    __slots__ = ("_clock", "_measure", "_recorded", "_settings")

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
        self._recorded: collections.deque[
            tuple[datetime.timedelta, engine.LoadReport]
        ] = collections.deque([(clock.monotonic(), measure())])

    def record(self) -> None:
        """Records the current report if it has changed."""
        report = self._measure()
        if report != self._recorded[-1][1]:
            self._recorded.append((self._clock.monotonic(), report))
        self._drop_oldest()

    def visible(self) -> engine.LoadReport:
        """Returns the report of `report_lag_ms` ago."""
        self.record()
        return self._recorded[0][1]

    def _drop_oldest(self) -> None:
        lag = self._settings.report_lag_ms * _MILLISECOND
        visible_until = self._clock.monotonic() - lag
        while len(self._recorded) > 1 and self._recorded[1][0] <= visible_until:
            self._recorded.popleft()
