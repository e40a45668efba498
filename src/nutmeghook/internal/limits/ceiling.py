"""Keeps the concurrency limit's ceiling at the instance's share."""

from collections.abc import Callable
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import adaptive_limit
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.routing import backends

PERIOD = datetime.timedelta(seconds=1)


class CeilingUpdater:
    """Follows the engines' capacity and the number of entry instances.

    Args:
        known: Returns all known backend servers.
        most_places: Bounds the memory of the instance, whatever its share.
    """

    __slots__ = ("_clock", "_known", "_limit", "_max_slots", "_members")

    def __init__(
        self,
        *,
        limit: adaptive_limit.AdaptiveLimit,
        known: Callable[[], list[backends.Backend]],
        members: members_module.MemberView,
        clock: clock_module.Clock,
        max_slots: int,
    ):
        self._limit = limit
        self._known = known
        self._members = members
        self._clock = clock
        self._max_slots = max_slots

    async def run(self) -> None:
        """Updates the ceiling each second until cancelled."""
        while True:
            self.update()
            await self._clock.sleep(PERIOD)

    def update(self) -> None:
        """Sets the ceiling from what is known now.

        An instance of many reads only a part of the reports; engines that it
        has none of count with the mean of the others. Without any report the
        ceiling stays: no reports are a fault of reporting, not of engines.
        """
        engines = [b for b in self._known() if not (b.plain or b.leaving)]
        reported = [b.report.capacity for b in engines if b.report is not None]
        if not reported:
            return
        capacity = sum(reported) / len(reported) * len(engines)
        share = adaptive_limit.capacity_share(
            capacity=round(capacity), members=len(self._members.members())
        )
        self._limit.set_ceiling(min(share, self._max_slots))
