"""A team's permission is revoked under load, while instances are killed."""

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
    """Revokes through an instance that is killed right after."""
    asyncio.get_running_loop().set_debug(False)
    scenario = permission_scenario.PermissionScenario(seed=seed)
    clock = scenario.fleet.clock
    try:
        await scenario.set_up()
        loading = asyncio.ensure_future(scenario.load(BEFORE + AFTER))
        alone = scenario.draw.choice(scenario.fleet.non_readers())
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
    """Runs a scenario until no request is under way."""
    return asyncio.run(_run_scenario(seed, cut=cut))


class PermissionTest(unittest.TestCase):
    """Checks what reached the stand-in backend servers."""

    def assert_covers(
        self, scenario: permission_scenario.PermissionScenario
    ) -> None:
        """Checks that the situations to be tested occurred."""
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

    def test_a_permission_is_revoked_while_instances_are_killed(self):
        """A team's model and plain route are revoked.

        One instance is killed just before, the one that accepted the change
        right after, a third while the change spreads; all three restart, with
        requests running and waiting. What was sent to a backend server before
        must be answered; what still waited must use the remaining permissions
        or get a correct `not_run`; nothing that needs the revoked ones may
        reach a backend server after the bound, nor be sent by an instance that
        has applied the change. The other team must not be affected.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario = run_scenario(seed)
                self.assertEqual(permission_scenario.violations(scenario), [])
                self.assertEqual(scenario.fleet.violations(), [])
                self.assert_covers(scenario)

    def test_the_same_with_an_instance_partitioned_from_its_peers(self):
        """The instance relies on its peers to read the store, and hears of no
        change.

        It must read the store itself once its proof of freshness is three
        seconds old, which is just in time.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario = run_scenario(seed, cut=True)
                self.assertEqual(permission_scenario.violations(scenario), [])
                self.assert_covers(scenario)


class ChecksCanFailTest(unittest.TestCase):
    """The same scenario with a deliberate defect must fail the checks."""

    def assert_found(self, words: str, *, cut: bool = True) -> None:
        found = permission_scenario.violations(run_scenario(SEEDS[0], cut=cut))
        self.assertTrue([v for v in found if words in v], found[:5])

    def test_the_template_of_arrival_is_used(self):
        """Waiting requests are sent by the template that they arrived with."""

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

    def test_a_version_is_not_rechecked_before_a_retry(self):
        """A backend server refuses just as the change is applied."""
        with mock.patch.object(
            version_choice.ConfiguredVersionChooser,
            "check_dispatch",
            lambda *_, **__: None,
        ):
            self.assert_found("sent against the rules", cut=False)

    def test_the_route_is_not_rechecked_before_a_call(self):
        with mock.patch.object(
            plain_calls.PlainCallPath, "_check_route", lambda *_: None
        ):
            self.assert_found("sent against the rules")

    def test_an_instance_learns_of_the_change_too_late(self):
        with mock.patch.multiple(
            distribution,
            _READ_PERIOD=9 * SECOND,
            _FALLBACK_READ_AGE=9 * SECOND,
            _PARENT_EXCHANGE_PERIOD=9 * SECOND,
            _RANDOM_EXCHANGE_PERIOD=9 * SECOND,
        ):
            self.assert_found("sent after the bound")

    def test_requests_under_way_are_dropped(self):
        """Instances cancel what is under way when the change is applied."""
        unpatched_revoke = permission_scenario.PermissionScenario.revoke

        async def revoke_and_drop(scenario, *, through):
            await unpatched_revoke(scenario, through=through)
            for instance in scenario.instances.values():
                for task in instance.calls:
                    task.cancel()

        with mock.patch.object(
            permission_scenario.PermissionScenario, "revoke", revoke_and_drop
        ):
            self.assert_found("has no end")


if __name__ == "__main__":
    unittest.main()
