"""The desired versions on engines, and the plans that lead to them."""

import asyncio
import dataclasses
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import planning
from nutmeghook.internal.orders import readiness
from nutmeghook.internal.routing import backends


def version(number):
    """Returns a version of the one model."""
    return engine.ModelVersion(model="m", version=str(number))


def snapshot(**shares):
    """Returns a configuration; `v1="serving:100"` lists version 1."""
    entries = []
    for name, text in shares.items():
        state, _, share = text.partition(":")
        entries.append(
            documents.VersionEntry(
                version=name[1:],
                state=documents.VersionState(state),
                share_percent=float(share or 0),
            )
        )
    template = documents.Template(
        team="a",
        name="t",
        stages=(documents.Stage(model="m", versions=tuple(entries)),),
        deadline_ms=20_000,
    )
    return documents.Snapshot(
        revision=1,
        fleet=documents.Fleet(),
        teams={},
        templates={"a/t": template},
    )


def _view(number, loaded, *, centre="c0"):
    return fleet_reading.EngineView(
        address=f"10.0.1.{number}:80",
        pool="pool",
        data_centre=centre,
        loaded=frozenset(loaded),
        measured_at=datetime.timedelta(),
    )


_SHARES = strategies.sampled_from(
    ["serving:100", "serving:30", "serving:0", "rolling_out:1", "withdrawn"]
)
_ENGINES = strategies.lists(
    strategies.tuples(
        strategies.sets(strategies.integers(1, 3)),
        strategies.sampled_from(["c0", "c1", "c2"]),
    ),
    min_size=1,
    max_size=12,
)


class PlanTest(unittest.TestCase):
    """Plans from any state of the engines."""

    @hypothesis.given(_ENGINES, _SHARES, _SHARES, _SHARES)
    def test_a_carried_out_plan_reaches_the_desired_state(
        self, found, v1, v2, v3
    ):
        views = [
            _view(i, map(version, loaded), centre=centre)
            for i, (loaded, centre) in enumerate(found)
        ]
        hypothesis.assume(any(view.loaded for view in views))
        config = snapshot(v1=v1, v2=v2, v3=v3)
        plan = planning.make_plan(config, views)
        other = planning.make_plan(config, list(reversed(views)))
        self.assertEqual(set(plan.loads), set(other.loads))
        self.assertEqual(set(plan.surplus), set(other.surplus))
        loaded = {
            planning.Placement(model_version=v, address=view.address)
            for view in views
            for v in view.loaded
        }
        after = (loaded | set(plan.loads)) - set(plan.surplus)
        for number, text in ((1, v1), (2, v2), (3, v3)):
            replicas = sum(p.model_version == version(number) for p in after)
            if text == "withdrawn":
                continue
            floor = min(planning.MIN_REPLICAS, len(views))
            self.assertGreaterEqual(replicas, floor)
            share = float(text.partition(":")[2]) / 100
            self.assertGreaterEqual(replicas, int(len(views) * share))
        gone = {p for p in loaded if config_withdraws(config, p)}
        self.assertEqual(set(plan.withdrawn), gone)

    def test_replicas_are_spread_and_ready_for_the_next_step(self):
        """A roll-out's version is loaded nowhere.

        With replicas for its present share only, its next step would overload
        them: at 1% a single engine would get the 5% of the next step. The
        version that it replaces must stay able to take all traffic back.
        """
        views = [_view(i, [version(1)], centre=f"c{i % 3}") for i in range(30)]
        config = snapshot(v1="serving:75", v2="rolling_out:25")
        plan = planning.make_plan(config, views)
        self.assertEqual(len(plan.loads), 19)
        centres = [
            next(v.data_centre for v in views if v.address == p.address)
            for p in plan.loads
        ]
        counts = [centres.count(f"c{i}") for i in range(3)]
        self.assertLessEqual(max(counts) - min(counts), 1)
        later = snapshot(v1="serving:50", v2="rolling_out:50")
        self.assertEqual(planning.make_plan(later, views).surplus, ())

    def test_a_version_in_no_template_stays_loaded(self):
        """Operators loaded a version ahead of the roll-out they will accept."""
        views = [_view(i, [version(1), version(9)]) for i in range(4)]
        plan = planning.make_plan(snapshot(v1="serving:100"), views)
        self.assertEqual(plan, planning.Plan())

    def test_an_engine_without_a_report_is_no_replica(self):
        views = [_view(i, [version(1)]) for i in range(3)]
        views[0] = dataclasses.replace(views[0], loaded=None)
        views[1] = dataclasses.replace(_view(1, [version(2)]), leaving=True)
        views.append(_view(9, [version(2)]))
        plan = planning.make_plan(snapshot(v1="serving:100"), views)
        self.assertEqual([p.address for p in plan.loads], ["10.0.1.9:80"])


class ReadinessTest(unittest.TestCase):
    """Whether a version has the replicas for its next share."""

    def test_replicas_of_leaving_engines_do_not_count(self):
        def backend(number, *loaded, leaving=False):
            return backends.Backend(
                address=f"10.0.1.{number}:80",
                region="r",
                data_centre="c0",
                service="pool",
                leaving=leaving,
                report=engine.LoadReport(
                    loaded=tuple(map(version, loaded)),
                    running=0,
                    waiting=0,
                    capacity=8,
                ),
            )

        known = [backend(i, 1) for i in range(8)]
        ready = readiness.Readiness(known=lambda: known)
        fake = clock.FakeClock()
        remembering = readiness.Readiness(known=lambda: known, clock=fake)
        self.assertEqual(remembering.ready_replicas(version(2)), 0)
        self.assertFalse(ready.is_ready_for(version(2), share_percent=1))
        known += [backend(8, 1, 2), backend(9, 1, 2, leaving=True)]
        self.assertEqual(ready.ready_replicas(version(2)), 1)
        self.assertFalse(ready.is_ready_for(version(2), share_percent=1))
        known.append(backend(10, 1, 2))
        self.assertTrue(ready.is_ready_for(version(2), share_percent=5))
        self.assertFalse(ready.is_ready_for(version(2), share_percent=50))
        self.assertEqual(remembering.ready_replicas(version(2)), 0)
        asyncio.run(fake.advance(datetime.timedelta(seconds=1)))
        self.assertEqual(remembering.ready_replicas(version(2)), 2)


def config_withdraws(config, placement):
    """Tells whether the one template withdraws a placement's version."""
    stage = config.templates["a/t"].stages[0]
    return any(
        entry.version == placement.model_version.version
        and entry.state is documents.VersionState.WITHDRAWN
        for entry in stage.versions
    )
