"""The record of what a starting instance waits for."""

import asyncio
import datetime
import pathlib
import sys
import types
import unittest
from unittest import mock

import eliot

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.observe import start_record

ROOT = pathlib.Path(__file__).resolve().parent
_SECOND = datetime.timedelta(seconds=1)


class StartRecordTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_start_tells_how_much_it_compiled(self):
        """Guards against a costly start that looks like a busy machine."""
        lines: list[dict] = []
        logs.start_with(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        record = start_record.StartRecord(
            conditions={},
            metrics=metrics_module.Metrics(),
            clock=clock_module.FakeClock(),
        )
        await record.run()
        before = lines[-1]["uncompiled_modules"]
        never_compiled = types.ModuleType("never_compiled")
        never_compiled.__cached__ = str(ROOT / "there-is-none.pyc")
        with mock.patch.dict(sys.modules, never_compiled=never_compiled):
            await record.run()
        self.assertEqual(lines[-1]["uncompiled_modules"], before + 1)

    async def test_a_start_that_waits_names_what_is_missing(self):
        """Without the names, late instances can't be told from costly ones."""
        lines: list[dict] = []
        logs.start_with(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        clock = clock_module.FakeClock()
        met = {"configuration"}
        record = start_record.StartRecord(
            conditions={
                "configuration": lambda: "configuration" in met,
                "replica_list": lambda: "replica_list" in met,
            },
            metrics=metrics_module.Metrics(),
            clock=clock,
        )
        task = asyncio.create_task(record.run())
        await clock.advance(6 * _SECOND)
        met.symmetric_difference_update({"replica_list", "configuration"})
        await clock.advance(_SECOND)
        self.assertFalse(task.done())
        met.add("configuration")
        await clock.advance(_SECOND)
        self.assertTrue(task.done())
        late, ready = lines
        self.assertEqual(late["message_type"], "process:not_ready")
        self.assertEqual(late["missing"], ["replica_list"])
        self.assertEqual(ready["message_type"], "process:ready")
        self.assertGreaterEqual(ready["met_after_ms"]["configuration"], 7000)
        self.assertGreaterEqual(ready["met_after_ms"]["replica_list"], 6000)
