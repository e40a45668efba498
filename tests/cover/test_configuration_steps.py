"""The check of configuration steps finds short reversions."""

import asyncio
import json
import unittest
from unittest import mock

import eliot

from nutmeghook.experiment import checks
from nutmeghook.experiment import configuration_steps
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.routes import in_force as in_force_module
from tests import config_fleet
from tests import relay_fixture

SECOND = config_fleet.SECOND
# How often trials poll an instance for its revision in force.
POLL_PERIOD = SECOND / 10
REVERTED = checks.Rule.REVERTED
NOT_RECORDED = checks.Rule.STEP_NOT_NOTED


def rules(*steps: tuple[int, int], now: int | None = None):
    """Returns the rules broken by one instance's steps `(before, after)`."""
    found = configuration_steps.check_steps(
        [
            configuration_steps.Step(holder="a", revision=after, before=before)
            for before, after in steps
        ],
        now=None if now is None else {"a": now},
    )
    return [violation.rule for violation in found]


class StepsTest(unittest.TestCase):
    """The check alone, on histories with one defect each."""

    def test_a_rising_chain_is_valid(self):
        self.assertEqual(rules((0, 2), (2, 3), (3, 9), now=9), [])

    def test_a_reversion_is_found_though_the_next_step_repairs_it(self):
        self.assertEqual(rules((0, 3), (3, 2), (2, 3), now=3), [REVERTED])

    def test_the_same_revision_again_is_a_reversion(self):
        self.assertEqual(rules((0, 3), (3, 3)), [REVERTED])

    def test_an_unrecorded_reversion_shows_in_the_next_step(self):
        self.assertEqual(rules((0, 3), (2, 3)), [REVERTED])

    def test_an_unrecorded_reversion_shows_at_the_end(self):
        self.assertEqual(rules((0, 3), now=2), [REVERTED])

    def test_an_unrecorded_advance_is_found(self):
        self.assertEqual(rules((0, 3), (4, 5)), [NOT_RECORDED])
        self.assertEqual(rules((0, 3), now=4), [NOT_RECORDED])

    def test_instances_are_checked_separately(self):
        steps = [
            configuration_steps.Step(holder=name, revision=after, before=0)
            for name, after in (("a", 9), ("b", 2))
        ]
        self.assertEqual(list(configuration_steps.check_steps(steps)), [])

    def test_a_ring_that_has_dropped_events_is_rejected(self):
        clock = clock_module.FakeClock()
        ring = events_module.EventRing(clock=clock, capacity_events=2)
        for revision in (1, 2, 3):
            ring.record(
                events_module.EventKind.CONFIG_APPLIED,
                str(revision),
                before=str(revision - 1),
            )
        with self.assertRaises(configuration_steps.EventsLostError):
            configuration_steps.steps_of_events("a", ring.since(0))


class ShortRevertTest(unittest.IsolatedAsyncioTestCase):
    """An instance's configuration reverts between two polls."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.fleet = config_fleet.ConfigFleet()
        self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.polled: list[checks.ObservedRevision] = []
        self.address = self.fleet.addresses[0]
        first = config_fleet.operation("first", config_fleet.first_import())
        await self.fleet.accept(self.address, first)
        await self.fleet.clock.advance(5 * SECOND)
        self.older = self.replica.state
        await self.fleet.accept(
            self.address,
            config_fleet.operation(
                "second",
                edits.PutTemplate(
                    template=config_fleet.template(priority=7),
                    expected_revision=self.older.revision,
                ),
            ),
        )
        await self.fleet.clock.advance(5 * SECOND)

    @property
    def replica(self) -> replica_module.ConfigReplica:
        return self.fleet.parts[self.address].replica

    def poll(self) -> None:
        """Polls all instances, as a trial does."""
        now_ms = self.fleet.clock.now().timestamp() * 1000
        self.polled.extend(
            checks.ObservedRevision(
                instance=address,
                asked_ms=now_ms,
                revision=parts.replica.revision,
            )
            for address, parts in self.fleet.parts.items()
        )

    async def play(self) -> None:
        """Applies an older state between two polls, then reads the store."""
        self.poll()
        await self.fleet.clock.advance(POLL_PERIOD / 4)
        self.replica.apply_state(self.older)
        await self.fleet.clock.advance(POLL_PERIOD / 4)
        reading = self.fleet.parts[self.address].distributor.read_store()
        await asyncio.ensure_future(reading)
        await self.fleet.clock.advance(POLL_PERIOD / 2)
        self.poll()

    async def test_an_older_state_changes_nothing(self):
        await self.play()
        self.assertEqual(self.fleet.violations(), [])

    async def test_a_reversion_between_two_polls_is_found(self):
        """An older state is put in force and a read of the store repairs it,
        so an operator's change is undone for less than 0.1 s. The polls before
        and after it return the newest revision, so only the instance's events
        show it.
        """

        def apply(replica, state):
            replica._put_in_force(state)
            return True

        with mock.patch.object(
            replica_module.ConfigReplica, "apply_state", apply
        ):
            await self.play()
        self.assertEqual(list(checks.check_revisions(self.polled, [])), [])
        found = self.fleet.violations()
        self.assertEqual([v.rule for v in found], [REVERTED])
        self.assertIn(self.address, found[0].marker)

    async def test_a_reversion_that_is_not_recorded_is_found(self):
        def apply(replica, state):
            replica._state = state
            return True

        with mock.patch.object(
            replica_module.ConfigReplica, "apply_state", apply
        ):
            await self.play()
        self.assertEqual(list(checks.check_revisions(self.polled, [])), [])
        self.assertEqual([v.rule for v in self.fleet.violations()], [REVERTED])


class RouterLogTest(unittest.TestCase):
    """The same check on the log of a router."""

    def setUp(self):
        self.lines: list[bytes] = []
        logs.start_with(self.keep)
        self.addCleanup(eliot.remove_destination, self.keep)

    def keep(self, message: dict) -> None:
        self.lines.append(json.dumps(message).encode())

    def rules(self) -> list[checks.Rule]:
        steps = configuration_steps.steps_of_log("router-0", self.lines)
        self.assertTrue(steps)
        return [v.rule for v in configuration_steps.check_steps(steps)]

    def offer(self, held, *versions: int) -> None:
        """Offers configurations to one start of a router."""
        logs.note(configuration_steps.STARTED_EVENT)
        for version in versions:
            held.offer(
                relay_fixture.configuration(version=version), source="test"
            )

    def test_rising_versions_of_each_start_are_valid(self):
        self.offer(in_force_module.ConfigurationInForce(), 4, 5, 4, 5, 9)
        self.lines.append(b"Traceback (most recent call last):\n")
        self.lines.append(b'{"message_type": "configur')
        self.offer(in_force_module.ConfigurationInForce(), 3, 9)
        self.assertEqual(self.rules(), [])

    def test_an_older_version_that_is_applied_is_found(self):
        """A lagging peer offers a configuration with a removed API key. It
        stays in force until the next row of the store, and callers may be
        admitted with that key.
        """

        class AppliesAll(in_force_module.ConfigurationInForce):
            def offer(self, configuration, *, source):
                before = self.current.version if self.current else None
                self.current = configuration
                logs.note(
                    configuration_steps.IN_FORCE_EVENT,
                    version=configuration.version,
                    before=before,
                    source=source,
                )
                return True

        self.offer(AppliesAll(), 5, 4, 6)
        self.assertEqual(self.rules(), [REVERTED])

    def test_a_lost_configuration_is_found(self):
        """A router loses its configuration and takes an older one. The log line
        says that nothing was in force before, as after a start, but the process
        did not restart.
        """
        held = in_force_module.ConfigurationInForce()
        self.offer(held, 4, 5)
        held.current = None
        held.offer(relay_fixture.configuration(version=4), source="test")
        self.assertEqual(self.rules(), [REVERTED])


if __name__ == "__main__":
    unittest.main()
