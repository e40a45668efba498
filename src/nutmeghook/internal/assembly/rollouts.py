"""The roll-outs' part of an instance: leave, and the controller's lease."""

import asyncio
import random

from nutmeghook.internal.config import assembly as config_assembly
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.leases import preferred
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.rollout import config_editor
from nutmeghook.internal.rollout import controller as controller_module
from nutmeghook.internal.rollout import gate as gate_module
from nutmeghook.internal.rollout import leave as leave_module


class RollOuts:
    """Runs roll-outs where this instance holds their lease.

    Attributes:
        gate: For the choice of versions, on every instance.
    """

    __slots__ = ("_controller", "_lease", "gate")

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
        self.gate = gate_module.GrantedExposureGate(
            caller=caller,
            members=members,
            clock=clock,
            random_source=random_source,
        )
        self._lease = preferred.preferred_keeper(
            gate_module.LEASE_NAME,
            members=members,
            table=table,
            clock=clock,
            events=events,
            random_source=random_source,
        )
        leave = leave_module.LeaveKeeper(lease=self._lease, members=members)
        leave.register(handlers)
        self._controller = controller_module.RolloutController(
            view=config.replica,
            lease=self._lease,
            table=table,
            ratings=ratings,
            editor=config_editor.AccepterEditor(
                accepter=config.accepter, lease=self._lease
            ),
            leave=leave,
            clock=clock,
            events=events,
        )

    async def run(self) -> None:
        """Takes part until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._lease.run())
            tasks.create_task(self._controller.run())

    async def release(self) -> None:
        """Gives the lease up, so that another instance goes on at once."""
        await self._lease.release()
