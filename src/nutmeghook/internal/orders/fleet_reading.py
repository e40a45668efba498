"""Reads what is loaded where: from the cells, or engine by engine."""

import asyncio
from collections.abc import Set
import dataclasses
import datetime

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.orders import cell_reports

LIST_TIMEOUT = datetime.timedelta(seconds=3)
REPORT_TIMEOUT = datetime.timedelta(seconds=2)
# Most engines read directly in a pass: those that no cell reports, and those
# whose own report is needed. For the rest, reports of earlier passes are used.
MAX_DIRECT_READS = 60
# How long each kind of traffic takes at the 900 bytes a second that orders may
# use. Reading an engine takes about 450 bytes, both directions with their
# headers; a call to a cell 120, and 1,750 more if something has changed there.
READ_COST = datetime.timedelta(milliseconds=500)
CALL_COST = datetime.timedelta(milliseconds=135)
PAGE_COST = datetime.timedelta(seconds=2)
# To a new holder all pages are new. The bound keeps it from waiting for minutes
# before it reads the outcome of its first orders.
MAX_PAGES_COST = datetime.timedelta(seconds=30)
# A direct report is used for this long if the engine was not read again.
REPORT_RETENTION = datetime.timedelta(minutes=10)
_MAX_CONCURRENT_READS = 16


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class EngineView:
    """The state of one engine as last reported.

    Attributes:
        pool: The pool's name in the instance list.
        loaded: The versions that it serves; None where there is no report.
        idle: Nothing ran or waited at `measured_at`.
        loading: Versions that it was ordered to load and does not report yet.
        avoided: It refused orders recently and gets no new ones for a while.
    """

    address: str
    pool: str
    data_centre: str
    loaded: frozenset[engine.ModelVersion] | None
    idle: bool = False
    leaving: bool = False
    measured_at: datetime.timedelta = datetime.timedelta()
    loading: frozenset[engine.ModelVersion] = frozenset()
    avoided: bool = False

    @property
    def usable(self) -> bool:
        """Whether it may count as a replica and take orders."""
        return self.loaded is not None and not self.leaving


class FleetReader:
    """Reads the instance list, then the state of each engine.

    Attributes:
        cost: The shortest time until the next reading, so that the traffic of
            the last one stays within the orders' bandwidth.
    """

    __slots__ = (
        "_clock",
        "_connector",
        "_direct_views",
        "_instance_list",
        "_reports",
        "_tried_at",
        "cost",
    )

    def __init__(
        self,
        *,
        instance_list: instances.InstanceList,
        connector: engine.EngineConnector,
        clock: clock_module.Clock,
        reports: cell_reports.ReportSource | None = None,
    ):
        self._instance_list = instance_list
        self._connector = connector
        self._clock = clock
        self._reports = reports or cell_reports.NoReports()
        # The direct reports by address, and when each was last tried.
        self._direct_views: dict[str, EngineView] = {}
        self._tried_at: dict[str, datetime.timedelta] = {}
        self.cost = datetime.timedelta()

    async def read(
        self,
        *,
        urgent: frozenset[str] = frozenset(),
        first_hand: frozenset[str] = frozenset(),
    ) -> list[EngineView]:
        """Returns all listed engines, those without a report among them.

        Args:
            urgent: Addresses of engines with an order under way, which are
                always read.
            first_hand: Others whose own reports are needed; read in turn if
                they are too many for one pass.

        Raises:
            failures.PlatformError: The instance list can't be read.
            TimeoutError: Reading the list took too long.
        """
        rows = await self._clock.wait_for(
            self._instance_list.list_instances(), LIST_TIMEOUT
        )
        engines = {
            row.address: row
            for row in rows
            if row.role is instances.InstanceRole.MODEL_ENGINE
        }
        gathered = await self._reports.gather()
        reported = _reported_views(gathered, engines)
        unreported = engines.keys() - reported.keys()
        reads = self._choose(
            urgent & engines.keys(), first_hand & engines.keys(), unreported
        )
        await self._read_directly([engines[address] for address in reads])
        self.cost = (
            len(reads) * READ_COST
            + gathered.calls * CALL_COST
            + min(gathered.changed * PAGE_COST, MAX_PAGES_COST)
        )
        self._prune(engines)
        return [
            self._newest(row, reported.get(address))
            for address, row in engines.items()
        ]

    def _choose(
        self, urgent: Set[str], first_hand: Set[str], unreported: Set[str]
    ) -> list[str]:
        """Returns the addresses to read in this pass.

        Urgent ones come first. Of the rest at most half are for first-hand
        reports while others wait, so that neither group starves the other.
        """
        half = MAX_DIRECT_READS // 2
        due_first_hand = self._least_recently_read(first_hand - urgent)
        others = self._least_recently_read(unreported - first_hand - urgent)
        chosen = [
            *sorted(urgent),
            *due_first_hand[:half],
            *others,
            *due_first_hand[half:],
        ]
        return chosen[:MAX_DIRECT_READS]

    def _least_recently_read(self, wanted: Set[str]) -> list[str]:
        """Returns the addresses, those tried longest ago first."""
        never = datetime.timedelta.min
        return sorted(
            wanted,
            key=lambda address: (self._tried_at.get(address, never), address),
        )

    async def _read_directly(
        self, rows: list[instances.ListedInstance]
    ) -> None:
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_READS)
        await asyncio.gather(
            *(self._read_engine(row, semaphore) for row in rows)
        )

    def _prune(self, engines: dict[str, instances.ListedInstance]) -> None:
        for by_address in (self._direct_views, self._tried_at):
            for address in by_address.keys() - engines.keys():
                del by_address[address]

    def _newest(
        self, row: instances.ListedInstance, reported: EngineView | None
    ) -> EngineView:
        """Returns the newest state known of an engine.

        A cell's page may be older than the direct report that showed an order's
        effect. Used instead, it would cause the order to be sent again.
        """
        read = self._direct_views.get(row.address)
        if read is not None and self._is_too_old(read):
            read = None
        views = [view for view in (reported, read) if view is not None]
        if not views:
            return _view_without_report(row)
        newest = max(views, key=lambda view: view.measured_at)
        leaving = row.state is instances.InstanceState.LEAVING
        return dataclasses.replace(newest, leaving=newest.leaving or leaving)

    def _is_too_old(self, read: EngineView) -> bool:
        return self._clock.monotonic() - read.measured_at > REPORT_RETENTION

    async def _read_engine(
        self, row: instances.ListedInstance, semaphore: asyncio.Semaphore
    ) -> None:
        async with semaphore:
            self._tried_at[row.address] = self._clock.monotonic()
            report = await self._report(row.address)
        self._direct_views[row.address] = self._view(row, report)

    def _view(
        self, row: instances.ListedInstance, report: engine.LoadReport | None
    ) -> EngineView:
        if report is None:
            # Counts as newer than the cell's page: the engine may have died.
            return dataclasses.replace(
                _view_without_report(row), measured_at=self._clock.monotonic()
            )
        age = datetime.timedelta(milliseconds=report.age_ms)
        return dataclasses.replace(
            _view_without_report(row),
            loaded=frozenset(report.loaded),
            idle=not (report.running or report.waiting),
            leaving=report.leaving,
            measured_at=self._clock.monotonic() - age,
        )

    async def _report(self, address: str) -> engine.LoadReport | None:
        try:
            return await self._clock.wait_for(
                self._connector.connect(address).load_report(), REPORT_TIMEOUT
            )
        except (failures.PlatformError, TimeoutError):
            return None


def _view_without_report(row: instances.ListedInstance) -> EngineView:
    return EngineView(
        address=row.address,
        pool=row.service,
        data_centre=row.data_centre,
        loaded=None,
        leaving=row.state is instances.InstanceState.LEAVING,
    )


def _reported_views(
    gathered: cell_reports.GatheredReports,
    engines: dict[str, instances.ListedInstance],
) -> dict[str, EngineView]:
    """Returns the newest state that the cells report of listed engines."""
    views: dict[str, EngineView] = {}
    # While members disagree about the cells, two may report the same engine.
    for page in sorted(gathered.pages, key=lambda page: page.oldest_at):
        for reported in page.engines:
            row = engines.get(reported.address)
            if row is not None:
                views[reported.address] = dataclasses.replace(
                    _view_without_report(row),
                    loaded=reported.loaded,
                    leaving=reported.leaving,
                    measured_at=page.oldest_at,
                )
    return views
