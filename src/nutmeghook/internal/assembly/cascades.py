"""The cascades' part of an instance: the policy, and who learns for all."""

import asyncio
import random

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import preferred
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import cascade_learned
from nutmeghook.internal.routing import cascade_publisher
from nutmeghook.internal.routing import cascade_reader
from nutmeghook.internal.routing import cascade_scorer

LEASE_NAME = "cascades"


class Cascades:
    """Reads plans on every instance; learns where the lease is held.

    Attributes:
        policy: For the dispatcher.
    """

    __slots__ = ("_lease", "_publisher", "_reader", "policy")

    def __init__(
        self,
        *,
        members: members_module.MemberView,
        view: view_module.ConfigView,
        table: table_module.TableService,
        ratings: ratings_module.RatingService,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        random_source: random.Random,
    ):
        self.policy = cascade_learned.LearnedCascade(
            clock=clock, scorer=cascade_scorer.TextAnswerScorer()
        )
        self._reader = cascade_reader.PlansReader(
            policy=self.policy,
            table=table,
            clock=clock,
            random_source=random_source,
        )
        self._lease = preferred.preferred_keeper(
            LEASE_NAME,
            members=members,
            table=table,
            clock=clock,
            events=events,
            random_source=random_source,
        )
        self._publisher = cascade_publisher.CascadePublisher(
            view=view,
            lease=self._lease,
            table=table,
            ratings=ratings,
            clock=clock,
        )

    async def run(self) -> None:
        """Takes part until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._lease.run())
            tasks.create_task(self._reader.run())
            tasks.create_task(self._publisher.run())

    async def release(self) -> None:
        """Gives the lease up, so that another instance goes on at once."""
        await self._lease.release()
