"""Assembles the parts that track and choose backend servers."""

import asyncio
import dataclasses
import random

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers as peers_module
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cells as cells_module
from nutmeghook.internal.routing import chooser as chooser_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import ejection
from nutmeghook.internal.routing import load_gossip
from nutmeghook.internal.routing import load_tracker
from nutmeghook.internal.routing import poller
from nutmeghook.internal.routing import stall_detector as stall_detector_module

# Share of the cell's backend servers that must have reported.
READY_SHARE = 0.5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BackendRouting:
    """The parts of backend routing that the assembly uses."""

    directory: directory_module.BackendDirectory
    chooser: backends.BackendChooser
    list_poller: poller.ListPoller
    report_poller: poller.ReportPoller
    gossiper: load_gossip.LoadGossiper
    stall_detector: stall_detector_module.StallDetector

    def is_ready(self) -> bool:
        """Tells whether enough is known to balance work.

        An instance that takes requests when it knows two of twelve engines
        sends everything to these two; their queues then last for minutes.
        Half must be enough, because dead ones never report.
        """
        if not self.stall_detector.may_send():
            return False
        known = [
            b
            for b in self.directory.known()
            if b.locality is backends.Locality.OWN_CELL and not b.leaving
        ]
        reporting = [b for b in known if b.plain or b.report is not None]
        return bool(known) and len(reporting) >= READY_SHARE * len(known)

    async def run(self) -> None:
        """Polls and gossips until cancelled."""
        await self.list_poller.poll_once()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.stall_detector.run())
            tasks.create_task(self.gossiper.run())
            tasks.create_task(self.list_poller.run())
            tasks.create_task(self.report_poller.run())


def build_backend_routing(
    *,
    clock: clock_module.Clock,
    events: events_module.EventRing,
    members: members_module.MemberView,
    caller: peers_module.PeerCaller,
    handlers: peers_module.PeerHandlers,
    instance_list: instances.InstanceList,
    connector: engine.EngineConnector,
    rng: random.Random,
) -> BackendRouting:
    """Builds the directory, the chooser and all that updates them.

    Registers the handler for `LoadDigest` among `handlers`.
    """
    tracker = load_tracker.LoadTracker(clock=clock)
    directory = directory_module.BackendDirectory(
        clock=clock, events=events, tracker=tracker
    )
    cells = cells_module.CellView(members=members, directory=directory)
    gossiper = load_gossip.LoadGossiper(
        caller=caller,
        handlers=handlers,
        my_address=members.myself.inner_address,
        cells=cells,
        directory=directory,
        tracker=tracker,
        clock=clock,
    )
    stall_detector = stall_detector_module.StallDetector(
        clock=clock, events=events
    )
    return BackendRouting(
        directory=directory,
        chooser=chooser_module.LeastLoadedChooser(
            directory=directory,
            tracker=tracker,
            ejector=ejection.OutlierEjector(
                directory=directory, clock=clock, events=events
            ),
            gossiper=gossiper,
            clock=clock,
            rng=rng,
            stall_detector=stall_detector,
        ),
        list_poller=poller.ListPoller(
            instance_list=instance_list,
            directory=directory,
            clock=clock,
            rng=rng,
        ),
        report_poller=poller.ReportPoller(
            connector=connector,
            directory=directory,
            cells=cells,
            gossiper=gossiper,
            clock=clock,
            rng=rng,
        ),
        gossiper=gossiper,
        stall_detector=stall_detector,
    )
