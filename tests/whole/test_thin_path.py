"""One request end to end, through separate processes over TCP."""

import asyncio
import pathlib
import random
import tempfile
import unittest

import aiohttp

from nutmeghook.experiment import balancer
from nutmeghook.experiment import caller
from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import history
from nutmeghook.experiment import system as system_module
from nutmeghook.experiment import workload
from nutmeghook.internal.config import edits
from nutmeghook.internal.foundation import clock as clock_module


class ThinPathTest(unittest.TestCase):
    """Stand-ins, three entry instances and a caller."""

    def test_each_kind_of_work_is_answered(self):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._scenario(pathlib.Path(folder)))

    async def _scenario(self, folder):
        clock = clock_module.SystemClock()
        system = system_module.System(
            folder=folder, clock=clock, drain_lag_ms=100
        )
        await system.start_stand_ins(example_fleet.stand_ins())
        try:
            for number in range(3):
                await system.start_instance(
                    name=f"entry-{number}",
                    region=example_fleet.AGENCY_REGION,
                    data_centre=example_fleet.data_centre(
                        example_fleet.AGENCY_REGION, number
                    ),
                )
            tokens = example_fleet.new_tokens()
            await system.accept(
                edits.ImportDocuments(
                    expected_revision=0,
                    fleet=example_fleet.fleet_document(),
                    teams=example_fleet.team_documents(tokens),
                    templates=example_fleet.template_documents(),
                ),
                reason="first import",
                through=system.instances[0],
            )
            for instance in system.instances:
                await system.until_ready(instance)
            works = await self._call(system, clock, tokens)
            statuses = [await i.process.end() for i in system.instances]
        finally:
            await system.end()
        for work in works:
            self.assertIs(work.last.outcome, history.TryOutcome.ANSWERED, work)
            self.assertIn(work.marker, work.last.text)
        self.assertEqual(statuses, [0, 0, 0])

    async def _call(self, system, clock, tokens):
        async with aiohttp.ClientSession() as http:
            chosen = balancer.Balancer(
                http=http, clock=clock, randomness=random.Random(1)
            )
            for instance in system.instances:
                chosen.add(instance.listen_address)
            record = history.History()
            calls = caller.Caller(
                http=http,
                balancer=chosen,
                clock=clock,
                tokens=tokens,
                record=record,
            )
            drawn = workload.Workload(
                randomness=random.Random(2),
                run_name="thin",
                agency_teams=example_fleet.AGENCY_TEAMS,
                airline_teams=example_fleet.AIRLINE_TEAMS,
            )
            await asyncio.gather(*(calls.do(drawn.draw()) for _ in range(60)))
            return record.works
