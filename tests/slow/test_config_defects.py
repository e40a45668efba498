"""Seeded defects are found by the property checks of configuration."""

import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
import msgspec

from nutmeghook.internal.config import acceptance
from nutmeghook.internal.config import attempts
from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.config import rows
from nutmeghook.internal.dependencies import table as table_module
from tests import config_machine
from tests.cover import test_config_replica


class SeededDefectTest(unittest.TestCase):
    def assert_found(self, *messages: str) -> None:
        # Hypothesis mixes the constants of the product's modules into the
        # examples, so any edit changes them. Over 20 seeds each defect was
        # found within 90 examples; if one needs hundreds, the machine lacks a
        # rule that brings the fault about.
        settings = hypothesis.settings(
            config_machine.SETTINGS,
            max_examples=400,
            phases=[hypothesis.Phase.generate],
            report_multiple_bugs=False,
        )
        with self.assertRaises(AssertionError) as caught:
            stateful.run_state_machine_as_test(
                config_machine.ConfigMachine, settings=settings
            )
        self.assertIn(str(caught.exception), messages)

    def test_outcome_settled_by_a_read_alone(self):
        async def read_only(accepter, author, operation_id, digest):
            return rows.OperationRecord(
                operation_id=operation_id,
                outcome=rows.Outcome.ABANDONED,
                author=author,
                settled_at=accepter._clock.now(),
            )

        with mock.patch.object(acceptance.Accepter, "_abandon", read_only):
            self.assert_found("two outcomes", "untrue outcome")

    def test_commit_without_the_condition_on_the_operation(self):
        nothing = table_module.Condition(key="config/nothing", version=0)
        with mock.patch.object(
            attempts, "absent_operation", lambda *_: nothing
        ):
            self.assert_found("made twice", "two outcomes", "untrue outcome")

    def test_commit_without_the_condition_on_the_head(self):
        acceptance_of = attempts._acceptance

        def headless(*args):
            attempt = acceptance_of(*args)
            transaction = msgspec.structs.replace(
                attempt.transaction,
                conditions=attempt.transaction.conditions[1:],
            )
            return dataclasses.replace(attempt, transaction=transaction)

        with mock.patch.object(attempts, "_acceptance", headless):
            self.assert_found("lost", "untrue outcome", "went back")

    def test_replica_that_applies_known_changes(self):
        """A late answer contains changes that the replica already has.

        Applying them reverts the newer ones until the next update, mostly
        before the revision is next checked. Only the events show it.
        """

        def apply(replica, changes):
            for change in changes:
                replica._put_in_force(
                    replica.state.with_replacement(
                        change.replacement, revision=change.revision
                    )
                )
            return bool(changes)

        with mock.patch.object(
            replica_module.ConfigReplica, "apply_changes", apply
        ):
            self.assert_found("stepped back")

    def test_replica_that_applies_older_states(self):
        # Among three instances the store's readers repair this within half a
        # second, so only the replica's own property test shows it.
        def apply(replica, state):
            replica._state = state
            return True

        test = test_config_replica.ReplicaTest(
            "test_never_goes_back_and_holds_what_was_accepted"
        )
        with (
            mock.patch.object(
                replica_module.ConfigReplica, "apply_state", apply
            ),
            self.assertRaises(AssertionError),
        ):
            test.debug()
