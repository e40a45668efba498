"""A withdrawal and a partitioned instance, from acceptance to dispatch."""

import asyncio
import unittest

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import pins as pins_module
from nutmeghook.internal.rollout import exposure
from nutmeghook.internal.routing import version_choice
from nutmeghook.standins import faults as faults_module
from nutmeghook.standins import memory_table
from tests import config_fleet

SECOND = config_fleet.SECOND
BOUND = 4 * SECOND
BAD = config_fleet.NEXT
Policy = documents.FreshnessPolicy


class PinnedToBad(pins_module.SessionPins):
    """Every session is pinned to the bad version."""

    async def pin(self, key, *, proposed, unusable, revision, timeout):
        return pins_module.Pinned(
            model_version=proposed if BAD in unusable else BAD, revision=0
        )


class UnlimitedExposure(exposure.ExposureGate):
    """An unlimited exposure allowance: roll-outs are not tested here."""

    def try_take(self, *, template, model_version):
        return True

    def take_regardless(self, *, template, model_version):
        pass

    def release(self, *, template, model_version):
        pass


def two_versions(freshness: Policy) -> documents.Template:
    stage = documents.Stage(
        model=BAD.model,
        versions=tuple(
            documents.VersionEntry(version=v.version, share_percent=50.0)
            for v in (config_fleet.GOOD, BAD)
        ),
    )
    return config_fleet.template(stages=(stage,), freshness=freshness)


class PartitionTest(unittest.IsolatedAsyncioTestCase):
    """One of three instances reaches neither its peers nor the store."""

    async def begin(self, freshness: Policy) -> str:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = config_fleet.ConfigFleet(per_data_centre=3, data_centres=1)
        self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        first = config_fleet.first_import()
        await self.accept(
            msgspec.structs.replace(first, templates=(two_versions(freshness),))
        )
        await self.fleet.clock.advance(BOUND)
        self.assertEqual(set(self.fleet.revisions()), {1})
        return self.fleet.addresses[-1]

    async def accept(self, edit: edits.Edit) -> None:
        name = f"operation-{type(edit).__name__}"
        operation = config_fleet.operation(name, edit)
        record = await self.fleet.accept(self.fleet.addresses[0], operation)
        self.assertEqual(record.code_number, 0, record.detail)

    async def partition_and_withdraw(self, cut: str) -> None:
        for address in self.fleet.addresses:
            if address != cut:
                self.fleet.network.cut(cut, address)
                self.fleet.network.cut(address, cut)
        store = self.fleet.parts[cut].store
        self.reachable = store._table
        out = faults_module.Faults(clock=self.fleet.clock)
        out.down = True
        store._table = memory_table.MemoryTable(
            clock=self.fleet.clock, faults=out
        )
        await self.accept(
            edits.WithdrawVersion(
                team=config_fleet.TEAM,
                template=config_fleet.TEMPLATE,
                model_version=BAD,
            )
        )

    async def served_version(
        self, address: str
    ) -> engine.ModelVersion | codes.Code:
        """Returns what a session on the bad version would run on now."""
        view = self.fleet.parts[address].replica
        chooser = version_choice.ConfiguredVersionChooser(
            view=view, pins=PinnedToBad(), gate=UnlimitedExposure()
        )
        template = view.snapshot.template(
            config_fleet.TEAM, config_fleet.TEMPLATE
        )
        try:
            choice = await chooser.choose(
                template=template, stage_index=0, session="s", request_id="r"
            )
            chooser.check_dispatch(template=template, choice=choice)
        except errors.CodedError as error:
            return error.code
        return choice.model_version

    async def test_no_new_work_beyond_the_templates_limit(self):
        """A partitioned instance would go on serving a withdrawn version.

        It can't learn of the withdrawal, but it knows the age of its own
        configuration, and the template stops new work then: its callers get
        `STALE_CONFIG`, not run. The others serve the session on another
        version; so does it, within the bound after the heal.
        """
        cut = await self.begin(Policy.STOP_NEW_WORK)
        self.assertEqual(await self.served_version(cut), BAD)
        await self.partition_and_withdraw(cut)
        for _ in range(12):
            await self.fleet.clock.advance(BOUND)
            self.assertEqual(
                await self.served_version(cut), codes.Code.STALE_CONFIG
            )
            for other in self.fleet.addresses[:-1]:
                self.assertEqual(
                    await self.served_version(other), config_fleet.GOOD
                )
        self.fleet.network.heal_all()
        self.fleet.parts[cut].store._table = self.reachable
        await self.fleet.clock.advance(BOUND)
        self.assertEqual(await self.served_version(cut), config_fleet.GOOD)

    async def test_other_policies_serve_until_the_heal(self):
        """A partitioned instance serves the withdrawn version until the heal.

        `KEEP_SERVING` and, for a version that was not rolling out,
        `STOP_ROLL_OUTS` do so for teams that put latency first.
        """
        for policy in (Policy.KEEP_SERVING, Policy.STOP_ROLL_OUTS):
            cut = await self.begin(policy)
            await self.partition_and_withdraw(cut)
            await self.fleet.clock.advance(3 * BOUND)
            self.assertEqual(await self.served_version(cut), BAD)
            self.fleet.network.heal_all()
            await self.fleet.clock.advance(BOUND)
            self.assertEqual(await self.served_version(cut), config_fleet.GOOD)
