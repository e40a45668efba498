"""A team loses a right under load, while instances are killed."""

import asyncio
import unittest
from unittest import mock

from nutmeghook.internal.config import distribution
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import plain_calls
from nutmeghook.internal.dispatch import retry_permission
from nutmeghook.internal.routing import version_choice
from nutmeghook.internal.routing import versions
from tests import permission_scenario

SECOND = permission_scenario.SECOND
SEEDS = (1, 2, 3)
BEFORE = 3 * SECOND
AFTER = 9 * SECOND
RESTRICTED_TEAM = permission_scenario.RESTRICTED_TEAM
OTHER_TEAM = permission_scenario.OTHER_TEAM


async def _run_scenario(
    seed: int, *, cut: bool
) -> permission_scenario.PermissionScenario:
    """Takes the right away through an instance that dies right after it."""
    asyncio.get_running_loop().set_debug(False)
    scenario = permission_scenario.PermissionScenario(seed=seed)
    clock = scenario.fleet.clock
    try:
        await scenario.set_up()
        loading = asyncio.ensure_future(scenario.load(BEFORE + AFTER))
        alone = scenario.draw.choice(scenario.fleet.listeners())
        if cut:
            scenario.cut_off(alone)
        others = [a for a in scenario.fleet.addresses if a != alone]
        victims = scenario.draw.sample(others, 3)
        await clock.advance(BEFORE)
        await scenario.kill(victims[0])
        await clock.advance(SECOND / 5)
        await scenario.revoke(through=victims[1])
        await scenario.kill(victims[1])
        await clock.advance(SECOND / 5)
        await scenario.kill(victims[2])
        await clock.advance(SECOND / 2)
        scenario.start(*victims)
        await clock.advance(AFTER + permission_scenario.DEADLINE)
        await loading
    finally:
        await scenario.fleet.stop()
    return scenario


def run_scenario(
    seed: int, *, cut: bool = False
) -> permission_scenario.PermissionScenario:
    """Plays a scene to its end, when no request is under way any more."""
    return asyncio.run(_run_scenario(seed, cut=cut))


class PermissionTest(unittest.TestCase):
    """Judged by what reached the stand-in backend servers."""

    def assert_covers(
        self, scenario: permission_scenario.PermissionScenario
    ) -> None:
        """Checks that the scene brought about what it is for."""
        sent = scenario.sent()
        lost = [call for call in scenario.calls if call.team == RESTRICTED_TEAM]
        under_way = [
            call
            for call in lost
            if sent.get(call.request_id)
            and call.arrived < scenario.revoked_at
            and not call.killed
        ]
        after = scenario.revoked_at + permission_scenario.BOUND
        self.assertGreater(len(under_way), 20)
        self.assertGreater(len(scenario.waiting_at_change()), 3)
        self.assertGreater(sum(call.killed for call in scenario.calls), 5)
        for team, served in ((RESTRICTED_TEAM, False), (OTHER_TEAM, True)):
            late = [
                call.request_id in sent
                for call in scenario.calls
                if call.team == team and call.arrived > after
            ]
            self.assertGreater(len(late), 50)
            self.assertEqual(any(late), served)

    def test_a_right_is_taken_away_while_instances_are_killed(self):
        """An operator takes a model and a plain route away from a team.

        One instance is killed just before, the one that accepted the change
        right after it, a third while the news spreads; all three come back.
        Each has requests running and waiting. Whatever was sent to a backend
        server before gets its whole answer; what still waited goes on with
        what the team has left, or hears a true "not run"; nothing that needs
        the right reaches a backend server after the bound, and nothing leaves
        an instance that has the change in force. The other team notices none
        of it.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario = run_scenario(seed)
                self.assertEqual(permission_scenario.violations(scenario), [])
                self.assertEqual(scenario.fleet.violations(), [])
                self.assert_covers(scenario)

    def test_the_same_with_an_instance_cut_off_from_its_peers(self):
        """It leaves reading to others, and nobody tells it of the change.

        Once its proof is three seconds old it reads the store itself, which
        is just in time.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario = run_scenario(seed, cut=True)
                self.assertEqual(permission_scenario.violations(scenario), [])
                self.assert_covers(scenario)


class ChecksCanFailTest(unittest.TestCase):
    """The same scene with a defect put in on purpose."""

    def assert_found(self, words: str, *, cut: bool = True) -> None:
        found = permission_scenario.violations(run_scenario(SEEDS[0], cut=cut))
        self.assertTrue([v for v in found if words in v], found[:5])

    def test_a_request_s_own_copy_is_trusted(self):
        """What waited when the right went is sent as it was let in."""

        def copy(permission, call):
            return call.request.template

        async def choose(chooser, *, template, **_):
            (stage,) = template.stages
            return versions.VersionChoice(
                model_version=engine.ModelVersion(
                    model=stage.model, version=stage.versions[0].version
                ),
                rolling_out=False,
            )

        def allow(chooser, *, template, choice):
            pass

        with (
            mock.patch.object(
                retry_permission.RetryPermission, "template_now", copy
            ),
            mock.patch.multiple(
                version_choice.ConfiguredVersionChooser,
                choose=choose,
                check_dispatch=allow,
            ),
        ):
            self.assert_found("sent against the rules")

    def test_a_version_is_not_checked_again_before_a_repeat(self):
        """A backend server refuses just as the change comes."""
        with mock.patch.object(
            version_choice.ConfiguredVersionChooser,
            "check_dispatch",
            lambda *_, **__: None,
        ):
            self.assert_found("sent against the rules", cut=False)

    def test_the_route_is_not_asked_for_again_before_a_call(self):
        with mock.patch.object(
            plain_calls.PlainCallPath, "_check_route", lambda *_: None
        ):
            self.assert_found("sent against the rules")

    def test_an_instance_hears_too_late(self):
        with mock.patch.multiple(
            distribution,
            _READ_EVERY=9 * SECOND,
            _READ_MYSELF_AGE=9 * SECOND,
            _EXCHANGE_EVERY=9 * SECOND,
            _EXCHANGE_ANYWHERE_EVERY=9 * SECOND,
        ):
            self.assert_found("sent after the bound")

    def test_what_was_sent_before_is_cut_off(self):
        """Instances drop what is under way as soon as the change comes."""
        revoked_at = permission_scenario.PermissionScenario.revoke

        async def revoke_and_drop(scenario, *, through):
            await revoked_at(scenario, through=through)
            for instance in scenario.instances.values():
                for task in instance.calls:
                    task.cancel()

        with mock.patch.object(
            permission_scenario.PermissionScenario, "revoke", revoke_and_drop
        ):
            self.assert_found("has no end")


if __name__ == "__main__":
    unittest.main()
