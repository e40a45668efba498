"""Cost for the orders' holder of reading what is loaded on all engines.

The holder's real reader queries simulated members of the other cells over an
in-process network that counts the frames' bytes. Engines are not queried
directly, as in a fleet whose cells all have members.
"""

import asyncio
import dataclasses
import datetime
import statistics
import time

from bench import report
from bench.capacity import samples
from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.orders import cell_reports
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import planning
from nutmeghook.internal.orders import report_pages
from nutmeghook.internal.routing import backends

# Members and engines; the first size is today's.
_SIZES = ((7, 12), (42, 440), (420, 4400))
_VERSIONS = 13
# Cells that change from one pass to the next in a roll-out. A changed page
# holds all engines of its cell.
_CHANGED_CELLS = 4
_BOUND_BYTES_PER_S = 900
# Planning blocks the event loop; its time may grow little faster than the
# number of engines.
_PLANNED_ENGINES = (110, 880)
_PLAN_ROUNDS = 7
_BOUND_GROWTH = 2.0
# TCP and IP headers of a frame.
_HEADER_BYTES = 40


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _FleetPass:
    """One reading of the fleet.

    Attributes:
        size_bytes: Both directions, with TCP's and IP's headers.
        interval_s: Time until the holder's next pass.
    """

    size_bytes: int
    interval_s: float
    processor_ms: float


class _Cell:
    """Serves the report pages of one cell."""

    def __init__(self, *, clock: clock_module.Clock, numbers: range):
        self._clock = clock
        self._known = [_backend(number, clock) for number in numbers]

    def change(self) -> None:
        """Loads a version on one more engine."""
        first = self._known[0]
        loaded = (*first.report.loaded, _version(99))
        self._known[0] = dataclasses.replace(
            first, report=_report(loaded), reported_at=self._clock.monotonic()
        )

    async def answer(self, pull: ttypes.LoadedPull) -> ttypes.LoadedPage:
        """Answers as `cell_reports.CellReports` does, without a directory."""
        now = self._clock.monotonic()
        page = report_pages.page_of(self._known, now)
        return report_pages.write_page(
            page, known_hash=pull.known_hash, now=now
        )

    def known(self) -> list[backends.Backend]:
        """Returns the engines of the cell."""
        return self._known


class _Platform(engine.EngineConnector, instances.InstanceList):
    """The engine list; connecting to an engine is an error."""

    def __init__(self, count: int):
        self._rows = [samples.listed_engine(number) for number in range(count)]

    async def list_instances(self) -> list[instances.ListedInstance]:
        """Returns all engines."""
        return self._rows

    def connect(self, address: str) -> engine.Engine:
        """Fails, since a cell has not reported an engine."""
        raise RuntimeError(f"{address} was not reported by its cell")


def run() -> list[report.Line]:
    """Measures all sizes; takes some seconds."""
    lines = []
    for members, engines in _SIZES:
        first, unchanged, changed = asyncio.run(_measure(members, engines))
        lines += [
            _line(f"first_pass.{engines}", first.size_bytes, "bytes"),
            *_pass_lines(f"unchanged_pass.{engines}", unchanged),
            *_pass_lines(f"changed_pass.{engines}", changed),
            _line(
                f"pass_processor.{engines}",
                unchanged.processor_ms,
                "ms of processor",
            ),
        ]
    lines.append(_plan_growth_line())
    return lines


def _plan_growth_line() -> report.Line:
    """Compares the time to plan a version loaded nowhere, at two sizes."""
    few_ms, many_ms = (_plan_ms(count) for count in _PLANNED_ENGINES)
    ratio = many_ms / few_ms
    size_ratio = _PLANNED_ENGINES[1] / _PLANNED_ENGINES[0]
    return _line(
        "plan_growth_to_engines_growth",
        round(ratio / size_ratio, 2),
        "ratio",
        bound=_BOUND_GROWTH,
    )


def _plan_ms(engines: int) -> float:
    model = "inspection"
    old, new = (
        engine.ModelVersion(model=model, version=text) for text in ("1", "2")
    )
    stage = documents.Stage(
        model=model,
        versions=(
            documents.VersionEntry(version=old.version),
            documents.VersionEntry(version=new.version),
        ),
    )
    snapshot = documents.Snapshot(
        revision=1,
        fleet=documents.Fleet(),
        teams={},
        templates={
            "a/t": documents.Template(team="a", name="t", stages=(stage,))
        },
    )
    views = [
        fleet_reading.EngineView(
            address=row.address,
            pool=row.service,
            data_centre=row.data_centre,
            loaded=frozenset((old,)),
        )
        for row in map(samples.listed_engine, range(engines))
    ]
    rounds_ms = []
    for _ in range(_PLAN_ROUNDS):
        started = time.process_time()
        plan = planning.make_plan(snapshot, views)
        rounds_ms.append((time.process_time() - started) * 1000)
    if len(plan.loads) != engines:
        raise RuntimeError(f"{len(plan.loads)} loads for {engines} engines")
    return statistics.median(rounds_ms)


def _pass_lines(name: str, one: _FleetPass) -> list[report.Line]:
    return [
        _line(name, one.size_bytes, "bytes"),
        _line(f"{name}.lasts", one.interval_s, "s"),
        _line(
            f"{name}.rate",
            round(one.size_bytes / one.interval_s),
            "bytes/s",
            bound=_BOUND_BYTES_PER_S,
        ),
    ]


async def _measure(
    members: int, engines: int
) -> tuple[_FleetPass, _FleetPass, _FleetPass]:
    clock = clock_module.FakeClock()
    network = local.LocalNetwork(clock=clock)
    everyone = [samples.member(number) for number in range(members)]
    view = members_module.FixedMemberView(
        myself=everyone[0], others=tuple(everyone[1:])
    )
    handlers = peers.PeerHandlers()
    traffic = traffic_module.Traffic()
    caller = network.attach(
        view.myself.inner_address, handlers, traffic=traffic
    )
    found = cell_reports.cells_among(tuple(everyone))
    cells: list[_Cell] = []
    for index, addresses in enumerate(found):
        numbers = range(
            index * engines // len(found), (index + 1) * engines // len(found)
        )
        cells.append(_Cell(clock=clock, numbers=numbers))
        for address in addresses:
            if address == view.myself.inner_address:
                own = cells[-1]
                continue
            answering = peers.PeerHandlers()
            answering.register(ttypes.LoadedPull, cells[-1].answer)
            network.attach(address, answering)
    platform = _Platform(engines)
    reader = fleet_reading.FleetReader(
        instance_list=platform,
        connector=platform,
        clock=clock,
        reports=cell_reports.CellReports(
            members=view,
            caller=caller,
            handlers=handlers,
            known=own.known,
            clock=clock,
        ),
    )

    async def read() -> _FleetPass:
        before = _bytes_so_far(traffic)
        started = time.process_time()
        views = await reader.read()
        processor_s = time.process_time() - started
        if any(view.loaded is None for view in views):
            raise RuntimeError("an engine was not reported")
        # As `OrderController.run`.
        interval = max(datetime.timedelta(seconds=2), reader.cost)
        return _FleetPass(
            size_bytes=_bytes_so_far(traffic) - before,
            interval_s=interval.total_seconds(),
            processor_ms=round(processor_s * 1000, 1),
        )

    first = await read()
    unchanged = await read()
    for cell in cells[:_CHANGED_CELLS]:
        cell.change()
    return first, unchanged, await read()


def _bytes_so_far(traffic: traffic_module.Traffic) -> int:
    total = traffic.total()
    frames = total.sent_messages + total.received_messages
    return total.sent_bytes + total.received_bytes + frames * _HEADER_BYTES


def _backend(number: int, clock: clock_module.Clock) -> backends.Backend:
    row = samples.listed_engine(number)
    return backends.Backend(
        address=row.address,
        region=row.region,
        data_centre=row.data_centre,
        service=row.service,
        report=_report((_version(number), _version(number + 1))),
        reported_at=clock.monotonic(),
    )


def _report(loaded: tuple[engine.ModelVersion, ...]) -> engine.LoadReport:
    return engine.LoadReport(loaded=loaded, running=9, waiting=0, capacity=64)


def _version(number: int) -> engine.ModelVersion:
    return engine.ModelVersion(
        model=f"inspection-{number % _VERSIONS}", version="2026.11"
    )


def _line(
    name: str, value: float, unit: str, *, bound: float | None = None
) -> report.Line:
    return report.Line(
        name=f"orders.{name}", value=value, unit=unit, bound=bound
    )
