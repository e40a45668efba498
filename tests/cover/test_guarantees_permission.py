"""A team loses a right under load, while instances are killed."""

import asyncio
import unittest
from unittest import mock

from nutmeghook.internal.config import distribution
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import leave as leave_module
from nutmeghook.internal.dispatch import plain_calls
from nutmeghook.internal.routing import version_choice
from nutmeghook.internal.routing import versions
from tests import permission_scene

SECOND = permission_scene.SECOND
SEEDS = (1, 2, 3)
BEFORE = 3 * SECOND
AFTER = 9 * SECOND
LOSER = permission_scene.LOSER
KEEPER = permission_scene.KEEPER


async def _play(seed: int, *, cut: bool) -> permission_scene.Scene:
    """Takes the right away through an instance that dies right after it."""
    asyncio.get_running_loop().set_debug(False)
    scene = permission_scene.Scene(seed=seed)
    clock = scene.fleet.clock
    try:
        await scene.set_up()
        loading = asyncio.ensure_future(scene.load(BEFORE + AFTER))
        alone = scene.draw.choice(scene.fleet.non_readers())
        if cut:
            scene.cut_off(alone)
        others = [a for a in scene.fleet.addresses if a != alone]
        victims = scene.draw.sample(others, 3)
        await clock.advance(BEFORE)
        await scene.kill(victims[0])
        await clock.advance(SECOND / 5)
        await scene.take_away(through=victims[1])
        await scene.kill(victims[1])
        await clock.advance(SECOND / 5)
        await scene.kill(victims[2])
        await clock.advance(SECOND / 2)
        scene.start(*victims)
        await clock.advance(AFTER + permission_scene.DEADLINE)
        await loading
    finally:
        await scene.fleet.stop()
    return scene


def play(seed: int, *, cut: bool = False) -> permission_scene.Scene:
    """Plays a scene to its end, when no request is under way any more."""
    return asyncio.run(_play(seed, cut=cut))


class PermissionTest(unittest.TestCase):
    """Judged by what reached the stand-in backend servers."""

    def assert_tells(self, scene: permission_scene.Scene) -> None:
        """Checks that the scene brought about what it is for."""
        sent = scene.sent()
        lost = [call for call in scene.calls if call.team == LOSER]
        under_way = [
            call
            for call in lost
            if sent.get(call.request_id)
            and call.arrived < scene.taken_away
            and not call.killed
        ]
        after = scene.taken_away + permission_scene.BOUND
        self.assertGreater(len(under_way), 20)
        self.assertGreater(len(scene.held_back()), 3)
        self.assertGreater(sum(call.killed for call in scene.calls), 5)
        for team, served in ((LOSER, False), (KEEPER, True)):
            late = [
                call.request_id in sent
                for call in scene.calls
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
                scene = play(seed)
                self.assertEqual(permission_scene.violations(scene), [])
                self.assertEqual(scene.fleet.violations(), [])
                self.assert_tells(scene)

    def test_the_same_with_an_instance_cut_off_from_its_peers(self):
        """It leaves reading to others, and nobody tells it of the change.

        Once its proof is three seconds old it reads the store itself, which
        is just in time.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scene = play(seed, cut=True)
                self.assertEqual(permission_scene.violations(scene), [])
                self.assert_tells(scene)


class ChecksCanFailTest(unittest.TestCase):
    """The same scene with a defect put in on purpose."""

    def assert_found(self, words: str, *, cut: bool = True) -> None:
        found = permission_scene.violations(play(SEEDS[0], cut=cut))
        self.assertTrue([v for v in found if words in v], found[:5])

    def test_a_request_s_own_copy_is_trusted(self):
        """What waited when the right went is sent as it was let in."""

        def copy(leave, call):
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
            mock.patch.object(leave_module.AttemptLeave, "template_now", copy),
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
            _READ_PERIOD=9 * SECOND,
            _FALLBACK_READ_AGE=9 * SECOND,
            _PARENT_EXCHANGE_PERIOD=9 * SECOND,
            _RANDOM_EXCHANGE_PERIOD=9 * SECOND,
        ):
            self.assert_found("sent after the bound")

    def test_what_was_sent_before_is_cut_off(self):
        """Instances drop what is under way as soon as the change comes."""
        taken_away = permission_scene.Scene.take_away

        async def take_away_and_drop(scene, *, through):
            await taken_away(scene, through=through)
            for instance in scene.instances.values():
                for task in instance.calls:
                    task.cancel()

        with mock.patch.object(
            permission_scene.Scene, "take_away", take_away_and_drop
        ):
            self.assert_found("has no end")


if __name__ == "__main__":
    unittest.main()
