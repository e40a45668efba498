"""A component that acts for the whole fleet while it holds a lease."""

import abc
import asyncio
from collections.abc import Coroutine
import random
from typing import Any

from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import preferred
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module


class LeasedComponent(abc.ABC):
    """Runs a lease keeper beside the tasks that depend on the lease.

    Args:
        lease_name: The same on all instances.
    """

    __slots__ = ("_lease",)

    def __init__(
        self,
        *,
        lease_name: str,
        members: members_module.MemberView,
        table: table_module.TableService,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        random_source: random.Random,
    ):
        self._lease = preferred.preferred_keeper(
            lease_name,
            members=members,
            table=table,
            clock=clock,
            events=events,
            random_source=random_source,
        )

    @abc.abstractmethod
    def _tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Returns the tasks to run beside the keeper, on every instance."""

    async def run(self) -> None:
        """Runs the keeper and the tasks until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for task in (self._lease.run(), *self._tasks()):
                tasks.create_task(task)

    async def release(self) -> None:
        """Releases the lease, so that another instance can take over."""
        await self._lease.release()
