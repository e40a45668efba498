"""Keeps the concurrency limit's ceiling at the instance's share."""

from collections.abc import Callable
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import adaptive_limit
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.routing import backends

PERIOD = datetime.timedelta(seconds=1)


class CeilingUpdater:
    """Updates the ceiling by engine capacity and number of entry instances.

    Args:
        known: Returns all known backend servers.
        max_slots: Bounds the memory of the instance, whatever its share.
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
        """Updates the ceiling every second until cancelled."""
        while True:
            self.update()
            await self._clock.sleep(PERIOD)

    def update(self) -> None:
        """Sets the ceiling from the load reports known now.

        One of many instances reads only some of the reports; engines without
        one count with the mean capacity of the others. Without any report the
        ceiling stays, since that is a fault of reporting and not of engines.
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
