"""The configuration components of a few instances on a fake clock."""

import asyncio
import contextlib
import datetime
import random

from nutmeghook.experiment import checks
from nutmeghook.experiment import configuration_steps
from nutmeghook.internal.config import assembly
from nutmeghook.internal.config import distribution_tree
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import operations
from nutmeghook.internal.config import rows
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events
from nutmeghook.standins import memory_table

SECOND = datetime.timedelta(seconds=1)
TEAM = "agency"
TEMPLATE = "dossier"
OPERATOR = rows.Author(team=TEAM, name="night-shift")
GOOD = engine.ModelVersion(model="inspector", version="v1")
NEXT = engine.ModelVersion(model="inspector", version="v2")


def template(**parameters) -> documents.Template:
    """Returns a valid template with some parameters set."""
    stage = documents.Stage(
        model=GOOD.model,
        versions=(documents.VersionEntry(version=GOOD.version),),
    )
    fields = {"team": TEAM, "name": TEMPLATE, "stages": (stage,)}
    return documents.Template(**(fields | parameters))


def first_import(expected_revision: int = 0) -> edits.ImportDocuments:
    """Returns the edit that sets up one team with one template."""
    model = documents.ModelEntry(
        name=GOOD.model, prompt_token_cost_micros=1, output_token_cost_micros=4
    )
    team = documents.Team(name=TEAM, allowed_models=(GOOD.model,))
    return edits.ImportDocuments(
        expected_revision=expected_revision,
        fleet=documents.Fleet(models=(model,)),
        teams=(team,),
        templates=(template(),),
    )


def operation(
    operation_id: str, edit: edits.Edit, author: rows.Author = OPERATOR
) -> operations.Operation:
    """Returns an operation with a reason."""
    return operations.Operation(
        operation_id=operation_id, author=author, reason="test", edit=edit
    )


class ConfigFleet:
    """Instances on an in-process network with one table service."""

    def __init__(self, *, per_data_centre: int = 1, data_centres: int = 3):
        self.clock = clock_module.FakeClock()
        self.table = memory_table.MemoryTable(clock=self.clock)
        self.network = local.LocalNetwork(clock=self.clock)
        self.parts: dict[str, assembly.ConfigParts] = {}
        # The event ring of every start, including ended ones.
        self.rings: list[tuple[str, events.EventRing]] = []
        self.members = [
            members_module.Member(
                inner_address=f"10.0.{centre}.{number}:7000",
                incarnation=f"i{centre}-{number}",
                region="test",
                data_centre=f"dc{centre}",
            )
            for centre in range(data_centres)
            for number in range(per_data_centre)
        ]
        self._tasks: dict[str, asyncio.Task] = {}

    @property
    def addresses(self) -> list[str]:
        """The inner addresses of all members, started or not."""
        return [member.inner_address for member in self.members]

    def non_readers(self) -> list[str]:
        """Returns the members that are not readers of the store."""
        return [
            address
            for address in self.addresses
            if not distribution_tree.is_reader(self._view(address))
        ]

    def start(self, *addresses: str, run: bool = True) -> None:
        """Starts or restarts the given instances; all if none is given."""
        for address in addresses or self.addresses:
            clock = self.network.clock_of(address)
            handlers = peers.PeerHandlers()
            ring = events.EventRing(clock=clock)
            self.rings.append((address, ring))
            self.parts[address] = assembly.build(
                table=self.table,
                members=self._view(address),
                caller=self.network.attach(address, handlers),
                handlers=handlers,
                clock=clock,
                events=ring,
                random=random.Random(address),
            )
            if run:
                self._tasks[address] = asyncio.ensure_future(
                    self.parts[address].distributor.run()
                )

    async def crash(self, address: str) -> None:
        """Ends an instance as SIGKILL would."""
        self.network.detach(address)
        await self._cancel(self._tasks.pop(address))

    async def stop(self) -> None:
        """Ends all tasks."""
        for task in self._tasks.values():
            await self._cancel(task)

    async def accept(
        self, address: str, change: operations.Operation
    ) -> rows.OperationRecord:
        """Accepts a change while the clock runs."""
        return await self.drive(
            self.parts[address].accepter.accept(change, timeout=5 * SECOND)
        )

    async def drive(self, work):
        """Awaits work, advancing the clock until it ends."""
        task = asyncio.ensure_future(work)
        while not task.done():
            await self.clock.advance(SECOND / 20)
        return await task

    def revisions(self) -> list[int]:
        """Returns the revision in force on each started instance."""
        return [parts.replica.revision for parts in self.parts.values()]

    def violations(self) -> list[checks.Violation]:
        """Checks every revision change of every instance from its events."""
        steps = []
        now = {}
        for number, (address, ring) in enumerate(self.rings):
            holder = f"{address} as start {number}"
            noted = configuration_steps.steps_of_events(holder, ring.since(0))
            steps.extend(noted)
            # An ended instance has no present revision.
            if dict(self.rings)[address] is ring:
                now[holder] = self.parts[address].replica.revision
        return list(configuration_steps.check_steps(steps, now=now))

    def _view(self, address: str) -> members_module.MemberView:
        myself = next(m for m in self.members if m.inner_address == address)
        others = tuple(m for m in self.members if m is not myself)
        return members_module.FixedMemberView(myself=myself, others=others)

    async def _cancel(self, task: asyncio.Task) -> None:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
