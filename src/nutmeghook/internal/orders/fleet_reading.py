"""Reads back what is loaded where, from the engines themselves."""

import asyncio
import dataclasses
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.platform import engine
from nutmeghook.internal.platform import failures
from nutmeghook.internal.platform import instances

LIST_TIMEOUT = datetime.timedelta(seconds=3)
REPORT_TIMEOUT = datetime.timedelta(seconds=2)
_READS_AT_ONCE = 16


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class EngineView:
    """One engine as it was found.

    Attributes:
        pool: The pool's name in the instance list.
        loaded: What it serves; None where it gave no report.
        idle: Nothing ran or waited at `measured_at`.
        loading: What it was ordered to load and does not show yet.
        avoided: It refused orders lately, and gets no new ones for a while.
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
    """Reads the instance list, then each engine's report."""

    __slots__ = ("_clock", "_connector", "_instance_list")

    def __init__(
        self,
        *,
        instance_list: instances.InstanceList,
        connector: engine.EngineConnector,
        clock: clock_module.Clock,
    ):
        self._instance_list = instance_list
        self._connector = connector
        self._clock = clock

    async def read(self) -> list[EngineView]:
        """Returns all listed engines, those without a report among them.

        Raises:
            failures.PlatformError: There is no list.
            TimeoutError: The list took too long.
        """
        rows = await self._clock.wait_for(
            self._instance_list.list_instances(), LIST_TIMEOUT
        )
        gate = asyncio.Semaphore(_READS_AT_ONCE)
        return await asyncio.gather(
            *(
                self._read_engine(row, gate)
                for row in rows
                if row.role is instances.InstanceRole.MODEL_ENGINE
            )
        )

    async def _read_engine(
        self, row: instances.ListedInstance, gate: asyncio.Semaphore
    ) -> EngineView:
        async with gate:
            report = await self._report(row.address)
        leaving = row.state is instances.InstanceState.LEAVING
        view = EngineView(
            address=row.address,
            pool=row.service,
            data_centre=row.data_centre,
            loaded=None,
            leaving=leaving,
        )
        if report is None:
            return view
        age = datetime.timedelta(milliseconds=report.age_ms)
        return dataclasses.replace(
            view,
            loaded=frozenset(report.loaded),
            idle=not (report.running or report.waiting),
            leaving=leaving or report.leaving,
            measured_at=self._clock.monotonic() - age,
        )

    async def _report(self, address: str) -> engine.LoadReport | None:
        try:
            return await self._clock.wait_for(
                self._connector.connect(address).load_report(), REPORT_TIMEOUT
            )
        except (failures.PlatformError, TimeoutError):
            return None
