"""A configuration that steps back for an instant is seen, and by what."""

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
# How often trials ask an instance from outside what it has in force.
ASKED_EVERY = SECOND / 10
REVERTED = checks.Rule.REVERTED
NOT_NOTED = checks.Rule.STEP_NOT_NOTED


def rules(*steps: tuple[int, int], now: int | None = None):
    """Returns what is found in one instance's steps, each `before, after`."""
    found = configuration_steps.check_steps(
        [
            configuration_steps.Step(holder="a", revision=after, before=before)
            for before, after in steps
        ],
        now=None if now is None else {"a": now},
    )
    return [violation.rule for violation in found]


class StepsTest(unittest.TestCase):
    """The check by itself, on histories with one defect each."""

    def test_a_chain_that_rises_is_right(self):
        self.assertEqual(rules((0, 2), (2, 3), (3, 9), now=9), [])

    def test_a_step_back_is_told_though_the_next_one_repairs_it(self):
        self.assertEqual(rules((0, 3), (3, 2), (2, 3), now=3), [REVERTED])

    def test_the_same_again_is_no_step_forward(self):
        self.assertEqual(rules((0, 3), (3, 3)), [REVERTED])

    def test_a_step_back_that_was_not_noted_shows_in_the_next_one(self):
        self.assertEqual(rules((0, 3), (2, 3)), [REVERTED])

    def test_a_step_back_that_was_not_noted_shows_in_the_end(self):
        self.assertEqual(rules((0, 3), now=2), [REVERTED])

    def test_a_step_forward_that_was_not_noted_is_told(self):
        self.assertEqual(rules((0, 3), (4, 5)), [NOT_NOTED])
        self.assertEqual(rules((0, 3), now=4), [NOT_NOTED])

    def test_instances_are_judged_each_by_its_own_past(self):
        steps = [
            configuration_steps.Step(holder=name, revision=after, before=0)
            for name, after in (("a", 9), ("b", 2))
        ]
        self.assertEqual(list(configuration_steps.check_steps(steps)), [])

    def test_a_ring_that_has_lost_events_is_not_called_right(self):
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
    """An instance's own configuration goes back between two questions."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.fleet = config_fleet.ConfigFleet()
        self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.told: list[checks.ObservedRevision] = []
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

    def ask(self) -> None:
        """Asks all instances from outside, as a trial does."""
        now_ms = self.fleet.clock.now().timestamp() * 1000
        self.told.extend(
            checks.ObservedRevision(
                instance=address,
                asked_ms=now_ms,
                revision=parts.replica.revision,
            )
            for address, parts in self.fleet.parts.items()
        )

    async def play(self) -> None:
        """Has old news come between two questions, and newer ones after."""
        self.ask()
        await self.fleet.clock.advance(ASKED_EVERY / 4)
        self.replica.apply_state(self.older)
        await self.fleet.clock.advance(ASKED_EVERY / 4)
        reading = self.fleet.parts[self.address].distributor.read_store()
        await asyncio.ensure_future(reading)
        await self.fleet.clock.advance(ASKED_EVERY / 2)
        self.ask()

    async def test_old_news_moves_nothing(self):
        await self.play()
        self.assertEqual(self.fleet.violations(), [])

    async def test_a_revert_between_two_questions_is_found(self):
        """Old news is put in force, and a read of the store repairs it.

        An operator's withdrawal was undone for a twentieth of a second. Both
        questions before and after are answered with the newest revision, so
        the check of answers finds nothing; the instance's own notes tell.
        """

        def apply(replica, state):
            replica._put_in_force(state)
            return True

        with mock.patch.object(
            replica_module.ConfigReplica, "apply_state", apply
        ):
            await self.play()
        self.assertEqual(list(checks.check_revisions(self.told, [])), [])
        found = self.fleet.violations()
        self.assertEqual([v.rule for v in found], [REVERTED])
        self.assertIn(self.address, found[0].marker)

    async def test_so_is_one_that_is_noted_on_the_way_forward_only(self):
        def apply(replica, state):
            replica._state = state
            return True

        with mock.patch.object(
            replica_module.ConfigReplica, "apply_state", apply
        ):
            await self.play()
        self.assertEqual(list(checks.check_revisions(self.told, [])), [])
        self.assertEqual([v.rule for v in self.fleet.violations()], [REVERTED])


class RouterLogTest(unittest.TestCase):
    """The same of a router on the users' platform, by its log."""

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

    def test_versions_that_only_grow_are_right_at_each_start(self):
        self.offer(in_force_module.ConfigurationInForce(), 4, 5, 4, 5, 9)
        self.lines.append(b"Traceback (most recent call last):\n")
        self.lines.append(b'{"message_type": "configur')
        self.offer(in_force_module.ConfigurationInForce(), 3, 9)
        self.assertEqual(self.rules(), [])

    def test_an_older_version_that_is_taken_is_found(self):
        """A peer that lags offers a configuration with a removed key.

        It is in force until the next row of the store; callers may have been
        let in by that key, or nobody asked meanwhile.
        """

        class TakesAll(in_force_module.ConfigurationInForce):
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

        self.offer(TakesAll(), 5, 4, 6)
        self.assertEqual(self.rules(), [REVERTED])

    def test_a_version_that_is_forgotten_is_found(self):
        """The configuration is lost in mid-life, and an older one taken.

        The line says that nothing was in force before, as after a start; but
        the process did not start anew.
        """
        held = in_force_module.ConfigurationInForce()
        self.offer(held, 4, 5)
        held.current = None
        held.offer(relay_fixture.configuration(version=4), source="test")
        self.assertEqual(self.rules(), [REVERTED])


if __name__ == "__main__":
    unittest.main()
