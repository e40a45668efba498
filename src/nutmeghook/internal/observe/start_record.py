"""Records when a starting instance has what it needs to serve."""

from collections.abc import Callable
from collections.abc import Mapping
import datetime
import os
import sys

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module

_POLL_PERIOD = datetime.timedelta(milliseconds=50)
# Of the time that a start has waited: one that waits for long is watched less
# often, as others may need the processor.
_POLL_PART = 0.05
# Between two lines about an instance that is not ready yet.
_REMINDER_PERIOD = datetime.timedelta(seconds=5)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class StartRecord:
    """Watches the conditions of readiness until all are met.

    One that is met may be missing again: an order that arrives needs a plan.

    Args:
        conditions: By name, whether the instance has what it waits for.
        metrics: Gets the times.
        clock: Measures time.
    """

    __slots__ = ("_began_at", "_clock", "_conditions", "_met_ms", "_metrics")

    def __init__(
        self,
        *,
        conditions: Mapping[str, Callable[[], bool]],
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._conditions = dict(conditions)
        self._metrics = metrics
        self._clock = clock
        self._began_at = clock.monotonic()
        # By condition that is met: since when, from the record's beginning.
        self._met_ms: dict[str, int] = {}

    async def run(self) -> None:
        """Watches until all conditions are met, and logs that."""
        reminded_at = self._began_at
        while self._missing():
            now = self._clock.monotonic()
            if now - reminded_at >= _REMINDER_PERIOD:
                reminded_at = now
                self._note("process:not_ready", missing=self._missing())
            waited = now - self._began_at
            await self._clock.sleep(max(_POLL_PERIOD, waited * _POLL_PART))
        self._note("process:ready", uncompiled_modules=_uncompiled_modules())

    def _missing(self) -> list[str]:
        """Notes what is met now; returns what is not."""
        elapsed = self._clock.monotonic() - self._began_at
        for name, is_met in self._conditions.items():
            if not is_met():
                self._met_ms.pop(name, None)
            elif name not in self._met_ms:
                self._met_ms[name] = round(elapsed / _MILLISECOND)
                self._metrics.set(
                    "start_seconds", elapsed.total_seconds(), condition=name
                )
        return [name for name in self._conditions if name not in self._met_ms]

    def _note(self, event: str, **fields: object) -> None:
        processor_time = self._clock.processor_time()
        self._metrics.set(
            "start_processor_seconds", processor_time.total_seconds()
        )
        logs.note(
            event,
            met_after_ms=self._met_ms,
            cpu_ms=round(processor_time / _MILLISECOND),
            **fields,
        )


def _uncompiled_modules() -> int:
    """Returns how many imported modules have no compiled file.

    Each was compiled by this start, and will be by the next one. Files that are
    there but out of date are not seen.
    """
    compiled_files = [
        getattr(module, "__cached__", None)
        for module in list(sys.modules.values())
    ]
    return sum(
        name is not None and not os.path.exists(name) for name in compiled_files
    )
