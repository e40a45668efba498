"""In-memory instance list that lags behind."""

import datetime

import msgspec

from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import faults as faults_module

_Listed = dict[str, instances.ListedInstance]


class MemoryInstances(instances.InstanceList):
    """Returns the list as it was `lag` ago.

    Attributes:
        lag: Age of the list that is returned; may be changed at any time.
    """

    __slots__ = ("_clock", "_history", "faults", "lag")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        faults: faults_module.Faults | None = None,
        lag: datetime.timedelta = datetime.timedelta(),
        listed: tuple[instances.ListedInstance, ...] = (),
    ):
        self.faults = faults or faults_module.Faults(clock=clock)
        self.lag = lag
        self._clock = clock
        first = {instance.address: instance for instance in listed}
        self._history: list[tuple[datetime.timedelta, _Listed]] = [
            (clock.monotonic(), first)
        ]

    async def list_instances(self) -> list[instances.ListedInstance]:
        """Returns all instances as they were `lag` ago."""
        await self.faults.before_read()
        visible_until = self._clock.monotonic() - self.lag
        while len(self._history) > 1 and self._history[1][0] <= visible_until:
            del self._history[0]
        return list(self._history[0][1].values())

    def put(self, instance: instances.ListedInstance) -> None:
        """Adds an instance, or replaces the one at its address."""
        self._change({**self._newest(), instance.address: instance})

    def mark_leaving(self, address: str) -> None:
        """Sets a listed instance's state to leaving."""
        self.put(
            msgspec.structs.replace(
                self._newest()[address], state=instances.InstanceState.LEAVING
            )
        )

    def remove(self, address: str) -> None:
        """Removes an instance from the list, if it is there."""
        listed = dict(self._newest())
        listed.pop(address, None)
        self._change(listed)

    def _newest(self) -> _Listed:
        return self._history[-1][1]

    def _change(self, listed: _Listed) -> None:
        self._history.append((self._clock.monotonic(), listed))
