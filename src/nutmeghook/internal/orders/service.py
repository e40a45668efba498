"""The order controller of an instance, with its lease."""

from collections.abc import Coroutine
import random
from typing import Any

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.dependencies import weights as weights_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import leased_component
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.orders import cell_reports
from nutmeghook.internal.orders import controller as controller_module
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import weight_grants


class Orders(leased_component.LeasedComponent):
    """Sends orders to engines while this instance holds the lease."""

    __slots__ = ("_controller",)

    def __init__(
        self,
        *,
        members: members_module.MemberView,
        view: view_module.ConfigView,
        table: table_module.TableService,
        weights: weights_module.WeightStore,
        instance_list: instances.InstanceList,
        connector: engine.EngineConnector,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        random_source: random.Random,
        secret: str,
        reports: cell_reports.ReportSource | None = None,
    ):
        super().__init__(
            lease_name=controller_module.LEASE_NAME,
            members=members,
            table=table,
            clock=clock,
            events=events,
            random_source=random_source,
        )
        self._controller = controller_module.OrderController(
            view=view,
            lease=self._lease,
            reader=fleet_reading.FleetReader(
                instance_list=instance_list,
                connector=connector,
                clock=clock,
                reports=reports,
            ),
            connector=connector,
            grants=weight_grants.GrantPacer(
                store=weights, clock=clock, randomness=random_source
            ),
            clock=clock,
            events=events,
            secret=secret,
        )

    def _tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        return (self._controller.run(),)
