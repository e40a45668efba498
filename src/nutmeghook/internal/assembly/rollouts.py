"""Roll-outs of an instance: exposure allowance, controller and lease."""

from collections.abc import Coroutine
import random
from typing import Any

from nutmeghook.internal.config import assembly as config_assembly
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.leases import leased_component
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.rollout import allowance as allowance_module
from nutmeghook.internal.rollout import config_editor
from nutmeghook.internal.rollout import controller as controller_module
from nutmeghook.internal.rollout import gate as gate_module


class RollOuts(leased_component.LeasedComponent):
    """Runs roll-outs while this instance holds their lease.

    Attributes:
        gate: Used by the choice of versions, on every instance.
    """

    __slots__ = ("_controller", "gate")

    def __init__(
        self,
        *,
        members: members_module.MemberView,
        config: config_assembly.ConfigParts,
        table: table_module.TableService,
        ratings: ratings_module.RatingService,
        caller: peers.PeerCaller,
        handlers: peers.PeerHandlers,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        random_source: random.Random,
    ):
        super().__init__(
            lease_name=gate_module.LEASE_NAME,
            members=members,
            table=table,
            clock=clock,
            events=events,
            random_source=random_source,
        )
        self.gate = gate_module.GrantedExposureGate(
            caller=caller,
            members=members,
            clock=clock,
            random_source=random_source,
        )
        keeper = allowance_module.AllowanceKeeper(
            lease=self._lease, members=members
        )
        keeper.register(handlers)
        self._controller = controller_module.RolloutController(
            view=config.replica,
            lease=self._lease,
            table=table,
            ratings=ratings,
            editor=config_editor.AccepterEditor(
                accepter=config.accepter, lease=self._lease
            ),
            keeper=keeper,
            clock=clock,
            events=events,
        )

    def _tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        return (self._controller.run(),)
