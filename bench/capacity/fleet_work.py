"""Processor time of periodic work that grows with the number of replicas."""

from collections.abc import Callable

from bench import report
from bench.capacity import memory
from bench.capacity import processor
from bench.capacity import samples
from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import adaptive_limit
from nutmeghook.internal.limits import ceiling
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import planning
from nutmeghook.internal.routing import cells
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import load_tracker

MEMBERS = 420
# Engines of one model; the planned size has 4,400 of five models.
ENGINES_OF_A_MODEL = (12, 110, 220, 440, 880)
_MODEL = "inspection-large"
_SERVING = engine.ModelVersion(model=_MODEL, version="2026.10")


def lines() -> list[report.Line]:
    """Returns the medians over rounds."""
    replicas = memory.REPLICAS
    models = ENGINES_OF_A_MODEL
    return [
        *processor.series("cell_refresh", replicas, _cell_refresh),
        *processor.series("whose_report", replicas, _whose_report),
        *processor.series("ceiling", replicas, _ceiling),
        *processor.series("orders_plan", models, _plan_without_changes),
        *processor.series("orders_plan_new", models, _plan_of_new_version),
    ]


def _members() -> members_module.FixedMemberView:
    return members_module.FixedMemberView(
        myself=samples.member(0),
        others=tuple(samples.member(n) for n in range(1, MEMBERS)),
    )


def _directory(count: int) -> directory_module.BackendDirectory:
    clock = clock_module.SystemClock()
    directory = directory_module.BackendDirectory(
        clock=clock,
        events=events_module.EventRing(clock=clock),
        tracker=load_tracker.LoadTracker(clock=clock),
    )
    directory.apply_list([samples.listed_engine(n) for n in range(count)])
    report_of_all = engine.LoadReport(
        loaded=(samples.VERSION,), running=4, waiting=0, capacity=16
    )
    for backend in directory.known():
        directory.note_report(
            backend, report_of_all, measured_at=clock.monotonic()
        )
    return directory


def _cell_refresh(count: int) -> Callable[[], int]:
    """Recomputes the cell's replicas, as after a change of any replica."""
    directory = _directory(count)
    view = cells.CellView(members=_members(), directory=directory)

    def run() -> int:
        directory.generation += 1
        view.refresh()
        return 1

    return run


def _whose_report(count: int) -> Callable[[], int]:
    """Checks for each replica whether its report is polled here."""
    directory = _directory(count)
    view = cells.CellView(members=_members(), directory=directory)
    view.refresh()

    def run() -> int:
        for backend in directory.known():
            view.polls(backend)
        return 1

    return run


def _ceiling(count: int) -> Callable[[], int]:
    updater = ceiling.CeilingUpdater(
        limit=adaptive_limit.AdaptiveLimit(ceiling=512),
        known=_directory(count).known,
        members=_members(),
        clock=clock_module.SystemClock(),
        max_slots=512,
    )

    def run() -> int:
        updater.update()
        return 1

    return run


def _plan_without_changes(count: int) -> Callable[[], int]:
    """Plans while all desired versions are loaded."""
    return _plan(count, loaded=frozenset((_SERVING, samples.VERSION)))


def _plan_of_new_version(count: int) -> Callable[[], int]:
    """Plans while a version desired on all engines is loaded on none."""
    return _plan(count, loaded=frozenset((_SERVING,)))


def _plan(
    count: int, *, loaded: frozenset[engine.ModelVersion]
) -> Callable[[], int]:
    engines = [
        fleet_reading.EngineView(
            address=line.address,
            pool="engines-large",
            data_centre=line.data_centre,
            loaded=loaded,
            idle=True,
        )
        for line in (samples.listed_engine(n) for n in range(count))
    ]
    stage = documents.Stage(
        model=_MODEL,
        versions=tuple(
            documents.VersionEntry(version=v.version, share_percent=100.0)
            for v in (_SERVING, samples.VERSION)
        ),
    )
    template = documents.Template(team="team-1", name="review", stages=(stage,))
    snapshot = documents.Snapshot(
        revision=1,
        fleet=documents.Fleet(),
        teams={},
        templates={"team-1/review": template},
    )

    def run() -> int:
        planning.make_plan(snapshot, engines)
        return 1

    return run
