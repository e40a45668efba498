"""The cascade policy of an instance, and its learning under a lease."""

from collections.abc import Coroutine
import random
from typing import Any

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import leased_component
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import cascade_learned
from nutmeghook.internal.routing import cascade_publisher
from nutmeghook.internal.routing import cascade_reader
from nutmeghook.internal.routing import cascade_scorer

LEASE_NAME = "cascades"


class Cascades(leased_component.LeasedComponent):
    """Reads plans on every instance; learns on the holder of the lease.

    Attributes:
        policy: For the dispatcher.
    """

    __slots__ = ("_publisher", "_reader", "policy")

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
        super().__init__(
            lease_name=LEASE_NAME,
            members=members,
            table=table,
            clock=clock,
            events=events,
            random_source=random_source,
        )
        self.policy = cascade_learned.LearnedCascade(
            clock=clock, scorer=cascade_scorer.TextAnswerScorer()
        )
        self._reader = cascade_reader.PlansReader(
            policy=self.policy,
            table=table,
            clock=clock,
            random_source=random_source,
        )
        self._publisher = cascade_publisher.CascadePublisher(
            view=view,
            lease=self._lease,
            table=table,
            ratings=ratings,
            clock=clock,
        )

    def _tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        return (self._reader.run(), self._publisher.run())
