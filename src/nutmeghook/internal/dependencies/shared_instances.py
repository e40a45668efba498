"""One reader of the instance list for all components of a process."""

import dataclasses
import datetime

from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _LastRead:
    """A list, and when it was requested."""

    listed: tuple[instances.ListedInstance, ...]
    asked_at: datetime.timedelta


class SharedInstanceList(instances.InstanceList):
    """Forwards each read, and keeps the answer for `recent` views.

    The component that reads most often (routing, each second) gets this object.
    The others get views, which add no reads as long as routing reads. Lists are
    returned unchanged, also empty ones: each component decides whether an empty
    list is a fault.
    """

    __slots__ = ("_clock", "_instance_list", "_last")

    def __init__(
        self,
        *,
        instance_list: instances.InstanceList,
        clock: clock_module.Clock,
    ):
        self._instance_list = instance_list
        self._clock = clock
        self._last: _LastRead | None = None

    async def list_instances(self) -> list[instances.ListedInstance]:
        """Reads the list; may raise `failures.NotDoneError`."""
        asked_at = self._clock.monotonic()
        listed = await self._instance_list.list_instances()
        # A slow read may end after one that began later.
        if self._last is None or asked_at >= self._last.asked_at:
            self._last = _LastRead(listed=tuple(listed), asked_at=asked_at)
        return listed

    def recent(self, max_age: datetime.timedelta) -> instances.InstanceList:
        """Returns a view that reads only if the last list is too old.

        Raises:
            ValueError: `max_age` is not over 0.
        """
        if max_age <= datetime.timedelta():
            raise ValueError(f"max_age is {max_age}; give one over 0")
        return _RecentInstanceList(shared=self, max_age=max_age)

    def last_within(
        self, max_age: datetime.timedelta
    ) -> list[instances.ListedInstance] | None:
        """Returns the last list if it was requested within `max_age`."""
        if self._last is None:
            return None
        if self._clock.monotonic() - self._last.asked_at > max_age:
            return None
        return list(self._last.listed)


class _RecentInstanceList(instances.InstanceList):
    """Reads the list only if the shared one is too old."""

    __slots__ = ("_max_age", "_shared")

    def __init__(
        self, *, shared: SharedInstanceList, max_age: datetime.timedelta
    ):
        self._shared = shared
        self._max_age = max_age

    async def list_instances(self) -> list[instances.ListedInstance]:
        """Returns a recent list; may raise `failures.NotDoneError`."""
        recent = self._shared.last_within(self._max_age)
        if recent is not None:
            return recent
        return await self._shared.list_instances()
