"""Invariants of claims, bills and pins over random histories."""

import asyncio
import datetime
import unittest
from unittest import mock

from nutmeghook.internal.ledger import entries
from nutmeghook.internal.ledger import index
from nutmeghook.internal.ledger import log
from tests import ledger_history

_SEEDS = range(24)
_STEPS = 80


def _violations(seeds, **options) -> list[str]:
    found = []
    options.setdefault("steps", _STEPS)
    for seed in seeds:
        history = asyncio.run(ledger_history.play(seed=seed, **options))
        found.extend(f"seed {seed}: {v}" for v in history.violations)
    return found


class LedgerHistoryTest(unittest.TestCase):
    """Three instances with kills, freezes, partitions and store faults."""

    def test_no_violation(self):
        """Callers retry keys on random instances during faults.

        No key runs twice, each finished request is billed once and no other
        is, kept answers are the first try's, and pins never change.
        """
        self.assertEqual(_violations(_SEEDS), [])

    def test_no_violation_while_rows_are_written_over(self):
        """Longer runs, in which the window passes and bills are archived.

        The invariants hold while rows are reused, also across take-overs.
        """
        window = datetime.timedelta(minutes=1)
        found = _violations(range(200, 204), steps=400, window=window)
        self.assertEqual(found, [])

    def test_the_check_finds_a_second_run(self):
        """A seeded defect: a dead claimant's key may be claimed again."""
        decide = index.PartitionIndex._decide_repeated_claim

        def defective(self, claim, entry):
            if entry.state is entries.EntryState.CLAIMED:
                entry = entries.Entry(state=entries.EntryState.OPEN)
                return self._decide_claim(claim, entry)
            return decide(self, claim, entry)

        with mock.patch.object(
            index.PartitionIndex, "_decide_repeated_claim", defective
        ):
            found = _violations(range(3))
        self.assertTrue([v for v in found if " ran " in v], found)

    def test_the_check_finds_a_lost_bill(self):
        """A seeded defect: a commit in doubt counts as durable."""

        async def defective(self, row, batch):
            value = log.records.encoder.encode(batch)
            try:
                result = await self._table.commit(self._transaction(row, value))
            except log.failures.PlatformError:
                return 1
            return result.versions[0] if result.committed else 1

        with mock.patch.object(
            log.PartitionLog, "_commit_until_certain", defective
        ):
            found = _violations(range(5))
        self.assertTrue([v for v in found if "not billed" in v], found)

    def test_the_check_finds_a_changed_pin(self):
        """A seeded defect: a new holder forgets the pins in the log."""
        replay = index.PartitionIndex.replay

        def defective(self, record, **where):
            if not isinstance(record, log.records.PinRecord):
                replay(self, record, **where)

        with mock.patch.object(index.PartitionIndex, "replay", defective):
            found = _violations(range(8))
        self.assertTrue([v for v in found if "session" in v], found)
