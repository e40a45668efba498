"""No request goes to a backend server that may not have it."""

import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.platform import engine
from nutmeghook.internal.platform import instances
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import chooser as chooser_module
from nutmeghook.internal.routing import directory as directory_module

CHEAP = engine.ModelVersion(model="cheap", version="1")
STRONG = engine.ModelVersion(model="strong", version="2")


def row(number, *, state=instances.InstanceState.LIVE, plain=False):
    return instances.ListedInstance(
        address=f"10.0.{number // 250}.{number % 250}:80",
        role=(
            instances.InstanceRole.PLAIN_SERVICE
            if plain
            else instances.InstanceRole.MODEL_ENGINE
        ),
        state=state,
        region="r",
        data_centre=f"r-{number % 3}",
        service="registry" if plain else "engines",
    )


def report(*loaded, running=0, waiting=0, leaving=False):
    return engine.LoadReport(
        loaded=loaded,
        running=running,
        waiting=waiting,
        capacity=16,
        leaving=leaving,
    )


class Scene:
    """A directory and a chooser on a fake clock."""

    def __init__(self):
        self.clock = clock_module.FakeClock()
        self.events = events_module.EventRing(clock=self.clock)
        self.directory = directory_module.BackendDirectory(
            clock=self.clock,
            events=self.events,
            place=directory_module.Place(region="r", data_centre="r-0"),
        )
        self.chooser = chooser_module.LeastLoadedChooser(
            directory=self.directory, clock=self.clock, rng=random.Random(7)
        )

    def report(self, number, said):
        self.directory.note_report(
            self.directory.find(row(number).address),
            said,
            measured_at=self.clock.monotonic(),
        )


class ChoiceTest(unittest.TestCase):
    """What must hold of each choice, whatever is known."""

    @hypothesis.given(
        loads=strategies.lists(
            strategies.tuples(
                strategies.sampled_from([(), (CHEAP,), (STRONG, CHEAP)]),
                strategies.integers(0, 60),
                strategies.booleans(),
            ),
            min_size=1,
            max_size=30,
        ),
        excluded=strategies.sets(strategies.integers(0, 29), max_size=5),
    )
    def test_chosen_has_the_version_is_not_excluded_nor_leaving(
        self, loads, excluded
    ):
        scene = Scene()
        scene.directory.apply_list([row(n) for n in range(len(loads))])
        fit = set()
        for number, (loaded, running, leaving) in enumerate(loads):
            scene.report(
                number, report(*loaded, running=running, leaving=leaving)
            )
            if STRONG in loaded and not leaving and number not in excluded:
                fit.add(row(number).address)
        need = backends.BackendNeed(
            model_version=STRONG,
            exclude=frozenset(row(n).address for n in excluded),
        )
        for _ in range(10):
            chosen = scene.chooser.choose(need)
            self.assertEqual(chosen is not None, bool(fit))
            if chosen is not None:
                self.assertIn(chosen.address, fit)
                scene.chooser.started(chosen)

    def test_unloading_a_version_takes_effect(self):
        scene = Scene()
        scene.directory.apply_list([row(0)])
        scene.report(0, report(STRONG))
        need = backends.BackendNeed(model_version=STRONG)
        self.assertIsNotNone(scene.chooser.choose(need))
        scene.report(0, report(CHEAP))
        self.assertIsNone(scene.chooser.choose(need))


class ListFaultTest(unittest.TestCase):
    """A list that loses too much at once is not believed."""

    @hypothesis.given(
        known=strategies.integers(2, 60), left=strategies.integers(0, 59)
    )
    def test_emptied_list_keeps_the_old_one(self, known, left):
        """Callers would see no_candidate although every engine is well.

        The platform's list loses rows in one answer, none of them leaving;
        then it is whole again. A loss of a large part must change nothing
        and show as one event; a small loss is believed.
        """
        hypothesis.assume(left <= known)
        scene = Scene()
        scene.directory.apply_list([row(n) for n in range(known)])
        scene.directory.apply_list([row(n) for n in range(left)])
        scene.directory.apply_list([row(n) for n in range(left)])
        lost = known - left
        believed = lost <= max(1, 0.4 * known)
        self.assertEqual(
            len(scene.directory.known()), left if believed else known
        )
        faults = [
            e
            for e in scene.events.since(0)
            if e.kind is events_module.EventKind.LIST_FAULT
        ]
        self.assertEqual(len(faults), 0 if believed else 1)

    def test_rows_that_left_in_order_are_dropped(self):
        scene = Scene()
        scene.directory.apply_list([row(n) for n in range(9)])
        leaving = instances.InstanceState.LEAVING
        scene.directory.apply_list([row(n, state=leaving) for n in range(9)])
        scene.directory.apply_list([])
        self.assertEqual(scene.directory.known(), [])
        self.assertEqual(scene.clock.monotonic(), datetime.timedelta())
