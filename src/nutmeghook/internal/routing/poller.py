"""Polls the instance list and the engines' load reports."""

import asyncio
import datetime
import random

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cells as cells_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import load_gossip

LIST_PERIOD = datetime.timedelta(seconds=1)
LIST_TIMEOUT = datetime.timedelta(seconds=2)
REPORT_TIMEOUT = datetime.timedelta(seconds=1)
# Bounds of the polling period of a report, which grows with the number polled
# to keep the byte budget. With 10 reports an instance it is 5 seconds.
SHORTEST_REPORT_PERIOD = datetime.timedelta(seconds=1)
LONGEST_REPORT_PERIOD = datetime.timedelta(seconds=6)
BUDGET_BYTES_PER_S = 900
# A request and its answer with their headers, as aiohttp sends them.
POLL_BYTES = 450
# Polling period of one random engine outside the cell at a time, to know where
# work can go when the cell is full.
REMOTE_REPORT_PERIOD = datetime.timedelta(seconds=2)


class ListPoller:
    """Keeps the directory up to date with the platform's list."""

    __slots__ = ("_clock", "_directory", "_instance_list", "_rng")

    def __init__(
        self,
        *,
        instance_list: instances.InstanceList,
        directory: directory_module.BackendDirectory,
        clock: clock_module.Clock,
        rng: random.Random,
    ):
        self._instance_list = instance_list
        self._directory = directory
        self._clock = clock
        self._rng = rng

    async def poll_once(self) -> bool:
        """Reads the list; False (and the old list kept) if that fails."""
        try:
            rows = await self._clock.wait_for(
                self._instance_list.list_instances(), LIST_TIMEOUT
            )
        except (failures.PlatformError, TimeoutError):
            return False
        self._directory.apply_list(rows)
        return True

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.poll_once()
            await self._clock.sleep(jittered(LIST_PERIOD, self._rng))


class ReportPoller:
    """Polls load reports, with one task for each assigned engine."""

    __slots__ = (
        "_cells",
        "_clock",
        "_connector",
        "_directory",
        "_gossiper",
        "_rng",
        "_tasks",
    )

    def __init__(
        self,
        *,
        connector: engine.EngineConnector,
        directory: directory_module.BackendDirectory,
        cells: cells_module.CellView,
        gossiper: load_gossip.LoadGossiper,
        clock: clock_module.Clock,
        rng: random.Random,
    ):
        self._connector = connector
        self._directory = directory
        self._cells = cells
        self._gossiper = gossiper
        self._clock = clock
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Starts and stops the engines' tasks until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._poll_remote())
                while True:
                    self._reconcile_tasks()
                    await self._clock.sleep(SHORTEST_REPORT_PERIOD)
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()

    async def poll_report(self, backend: backends.Backend) -> bool:
        """Reads one report; False if that fails."""
        asked_at = self._clock.monotonic()
        try:
            report = await self._clock.wait_for(
                self._connector.connect(backend.address).load_report(),
                REPORT_TIMEOUT,
            )
        except (failures.PlatformError, TimeoutError):
            return False
        age = datetime.timedelta(milliseconds=report.age_ms)
        self._directory.note_report(backend, report, measured_at=asked_at - age)
        self._gossiper.note_report(backend)
        return True

    def _reconcile_tasks(self) -> None:
        assigned = {
            b.address: b
            for b in self._directory.known()
            if not b.plain and self._cells.polls(b)
        }
        for address in self._tasks.keys() - assigned.keys():
            self._tasks.pop(address).cancel()
        for address, backend in assigned.items():
            task = self._tasks.get(address)
            if task is None or task.done():
                self._tasks[address] = asyncio.create_task(
                    self._poll_engine(backend)
                )

    async def _poll_engine(self, backend: backends.Backend) -> None:
        while self._directory.find(backend.address) is backend:
            period = report_period(len(self._tasks))
            # Answers carry reports, so a busy engine need not be polled.
            age = self._clock.monotonic() - backend.reported_at
            if backend.report is None or age >= period:
                await self.poll_report(backend)
            await self._clock.sleep(jittered(period, self._rng))

    async def _poll_remote(self) -> None:
        while True:
            remote = [
                b
                for b in self._directory.known()
                if not b.plain and b.locality is not backends.Locality.OWN_CELL
            ]
            if remote:
                await self.poll_report(self._rng.choice(remote))
            await self._clock.sleep(jittered(REMOTE_REPORT_PERIOD, self._rng))


def report_period(polled: int) -> datetime.timedelta:
    """Returns the period of each report if so many are polled."""
    period = datetime.timedelta(
        seconds=polled * POLL_BYTES / BUDGET_BYTES_PER_S
    )
    return min(max(period, SHORTEST_REPORT_PERIOD), LONGEST_REPORT_PERIOD)


def jittered(
    period: datetime.timedelta, rng: random.Random
) -> datetime.timedelta:
    """Returns 0.9 to 1.1 periods, so that instances don't synchronise."""
    return period * rng.uniform(0.9, 1.1)
