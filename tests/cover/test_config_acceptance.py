"""An operation has one outcome, whatever messages are lost."""

import asyncio
import datetime
import unittest
from unittest import mock

from nutmeghook.internal.config import edits
from nutmeghook.internal.config import operations
from nutmeghook.internal.config import rows
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.leases import lease
from nutmeghook.standins import memory_table
from tests import config_fleet

SECOND = config_fleet.SECOND


def set_priority(
    operation_id: str, priority: int, expected_revision: int = 1
) -> operations.Operation:
    """Returns an operation that sets the template's priority."""
    return config_fleet.operation(
        operation_id,
        edits.PutTemplate(
            template=config_fleet.template(priority=priority),
            expected_revision=expected_revision,
        ),
    )


class LapsingLease(lease.Lease):
    """A lease that another holder acquires between the check and the commit."""

    name = "rollouts"
    row_key = "lease/rollouts"

    def fencing_token(self) -> int | None:
        return 7

    def row_version(self) -> int:
        return 12345


class AcceptanceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # unittest's debug mode makes each step 20 times as long.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = config_fleet.ConfigFleet()
        self.fleet.start()
        self.one, self.two, _ = self.fleet.addresses
        self.faults = self.fleet.table.faults
        first = config_fleet.operation("first-op", config_fleet.first_import())
        await self.fleet.accept(self.one, first)
        self.addAsyncCleanup(self.fleet.stop)

    def priority(self, address: str) -> int:
        """Returns the template's priority in force on an instance."""
        replica = self.fleet.parts[address].replica
        team, name = config_fleet.TEAM, config_fleet.TEMPLATE
        return replica.snapshot.template(team, name).priority

    async def settle(self, address: str, operation_id: str):
        accepter = self.fleet.parts[address].accepter
        return await self.fleet.drive(
            accepter.settle(
                config_fleet.OPERATOR, operation_id, grace=2 * SECOND
            )
        )

    async def assert_code(self, code: codes.Code, work) -> None:
        with self.assertRaises(errors.CodedError) as caught:
            await work
        self.assertIs(caught.exception.code, code)

    async def test_lost_answer_after_the_effect(self):
        """A commit takes effect and its answer is lost.

        The retry under the same operation id fails on the row that the first
        commit wrote, and returns its content: accepted, at that revision.
        """
        self.faults.lose_next_answers = 1
        record = await self.fleet.accept(self.one, set_priority("op-lost", 7))
        self.assertIs(record.outcome, rows.Outcome.ACCEPTED)
        again = await self.fleet.accept(self.two, set_priority("op-lost", 7))
        self.assertEqual(again, record)
        self.assertEqual(record.revision, 2)
        await self.fleet.clock.advance(4 * SECOND)
        self.assertEqual(self.fleet.revisions(), [2, 2, 2])

    async def test_lost_request_is_made_once(self):
        self.faults.lose_next_requests = 2
        record = await self.fleet.accept(self.one, set_priority("op-gone", 7))
        self.assertEqual(record.revision, 2)

    async def test_late_effect_after_abandonment(self):
        """All writes are delayed in the network, so the outcome is unknown.

        Another instance is asked to settle it and writes "abandoned". The
        delayed commits find that row and fail, so nothing changes.
        """
        self.faults.late_effect = 60 * SECOND
        accepting = self.fleet.accept(self.one, set_priority("op-late", 7))
        await self.assert_code(codes.Code.OUTCOME_UNKNOWN, accepting)
        self.faults.late_effect = None
        record = await self.settle(self.two, "op-late")
        self.assertIs(record.outcome, rows.Outcome.ABANDONED)
        await self.fleet.clock.advance(120 * SECOND)
        self.assertEqual(self.priority(self.two), 5)
        self.assertEqual(await self.settle(self.one, "op-late"), record)

    async def test_store_down_refuses_and_nothing_happens_later(self):
        self.faults.down = True
        accepting = self.fleet.accept(self.one, set_priority("op-down", 7))
        await self.assert_code(codes.Code.STORE_OUT, accepting)
        self.faults.down = False
        await self.fleet.clock.advance(60 * SECOND)
        self.assertEqual(self.fleet.revisions(), [1, 1, 1])

    async def test_unanswered_commit_has_an_unknown_outcome(self):
        """Reads work, but each commit hangs until the call's time limit.

        It may still arrive, so the outcome must be unknown, not "not run".
        """

        async def hang(_table, _transaction):
            await self.fleet.clock.sleep(3600 * SECOND)

        with mock.patch.object(memory_table.MemoryTable, "commit", hang):
            accepting = self.fleet.accept(self.one, set_priority("op-hang", 7))
            await self.assert_code(codes.Code.OUTCOME_UNKNOWN, accepting)

    async def test_slow_store_ends_with_a_known_outcome(self):
        """Each answer exceeds the call's time limit, then the store recovers.

        The first commit takes effect without an answer and reads fail too; the
        caller still gets "accepted" some seconds later.
        """
        self.faults.delay = 3 * SECOND
        accepter = self.fleet.parts[self.one].accepter
        accepting = asyncio.ensure_future(
            accepter.accept(set_priority("op-slow", 7), timeout=20 * SECOND)
        )
        await self.fleet.clock.advance(4 * SECOND)
        self.faults.delay = datetime.timedelta()
        record = await self.fleet.drive(accepting)
        self.assertIs(record.outcome, rows.Outcome.ACCEPTED)

    async def test_crash_between_commit_and_answer(self):
        """The accepting instance crashes before the commit's answer arrives.

        The operation's row was written in the same transaction as the change,
        so any other instance returns "accepted" for the id.
        """
        self.faults.delay = SECOND
        accepter = self.fleet.parts[self.one].accepter
        task = asyncio.ensure_future(
            accepter.accept(set_priority("op-crash", 7), timeout=5 * SECOND)
        )
        # Operation row, head row, then the commit, a second each.
        await self.fleet.clock.advance(2.5 * SECOND)
        task.cancel()
        await self.fleet.crash(self.one)
        self.faults.delay = datetime.timedelta()
        record = await self.settle(self.two, "op-crash")
        self.assertIs(record.outcome, rows.Outcome.ACCEPTED)
        await self.fleet.clock.advance(4 * SECOND)
        self.assertEqual(self.priority(self.two), 7)

    async def test_two_operators_race(self):
        """Two operators replace the same revision through two instances.

        The condition on the head row lets one commit succeed. The other is
        retried on the new state and refused with the first one's change.
        """
        both = await self.fleet.drive(
            asyncio.gather(
                *(
                    self.fleet.parts[address].accepter.accept(
                        set_priority(f"op-{priority}-race", priority),
                        timeout=5 * SECOND,
                    )
                    for address, priority in ((self.one, 3), (self.two, 8))
                )
            )
        )
        won, lost = sorted(both, key=lambda record: record.outcome.value)
        self.assertIs(won.outcome, rows.Outcome.ACCEPTED)
        self.assertEqual(lost.code_number, codes.Code.CONFLICT.number)
        self.assertEqual(lost.conflict.operation_id, won.operation_id)
        changed = [difference.path for difference in lost.conflict.differences]
        self.assertEqual(changed, ["priority"])

    async def test_race_of_changes_that_are_invalid_together(self):
        """Two changes of different documents are invalid together.

        One withdraws v1 for the fleet, the other adds a template in which only
        v1 serves. No revision conflicts, so the whole configuration has to be
        validated on the state at the commit.
        """
        withdraw = config_fleet.operation(
            "op-withdraw",
            edits.WithdrawVersion(
                model_version=config_fleet.GOOD, allow_unusable=True
            ),
        )
        await self.fleet.accept(self.one, withdraw)
        new = config_fleet.operation(
            "op-template",
            edits.PutTemplate(
                template=config_fleet.template(name="other"),
                expected_revision=0,
            ),
        )
        record = await self.fleet.accept(self.two, new)
        self.assertEqual(record.code_number, codes.Code.INVALID_TEMPLATE.number)
        self.assertIn("withdrawn for the fleet", record.detail)

    async def test_reused_id_is_distinguished_from_a_retry(self):
        await self.fleet.accept(self.one, set_priority("op-same", 7))
        other = self.fleet.accept(self.two, set_priority("op-same", 8))
        await self.assert_code(codes.Code.OPERATION_REUSED, other)

    async def test_holder_that_lost_its_lease_changes_nothing(self):
        """A holder is paused after it checked its lease; another acquires it.

        That changes the lease's row, so the commit, which is conditional on
        the old version, fails and the operation ends abandoned.
        """
        operation = operations.Operation(
            operation_id="op-fenced",
            author=config_fleet.OPERATOR,
            reason="next step",
            edit=set_priority("", 7).edit,
            fence=LapsingLease(),
        )
        await self.fleet.table.commit(
            table.Transaction(
                puts=(table.Put(key=LapsingLease.row_key, value=b"other"),)
            )
        )
        record = await self.fleet.accept(self.one, operation)
        self.assertIs(record.outcome, rows.Outcome.ABANDONED)
        await self.fleet.clock.advance(4 * SECOND)
        self.assertEqual(self.fleet.revisions(), [1, 1, 1])
