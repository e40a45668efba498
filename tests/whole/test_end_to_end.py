"""Requests end to end, through separate processes over TCP."""

import asyncio
import pathlib
import tempfile
import unittest

from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import history
from nutmeghook.experiment import load
from nutmeghook.experiment import system as system_module
from nutmeghook.internal.foundation import clock as clock_module


class EndToEndTest(unittest.TestCase):
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
            for _ in range(3):
                await system.start_agency_instance()
            tokens = example_fleet.new_tokens()
            await system.import_example(tokens)
            works = await load.perform_random_work(
                addresses=[i.listen_address for i in system.instances],
                tokens=tokens,
                works=60,
                run_name="thin",
            )
            statuses = [await i.process.end() for i in system.instances]
        finally:
            await system.end()
        for work in works:
            self.assertIs(work.last.outcome, history.TryOutcome.ANSWERED, work)
            self.assertIn(work.marker, work.last.text)
        self.assertEqual(statuses, [0, 0, 0])
