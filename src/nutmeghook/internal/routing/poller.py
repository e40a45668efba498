"""Polls the instance list and the engines' load reports."""

import abc
import asyncio
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.platform import engine
from nutmeghook.internal.platform import failures
from nutmeghook.internal.platform import instances
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import directory as directory_module

LIST_PERIOD = datetime.timedelta(seconds=1)
LIST_TIMEOUT = datetime.timedelta(seconds=2)
REPORT_PERIOD = datetime.timedelta(seconds=1)
REPORT_TIMEOUT = datetime.timedelta(seconds=1)


class ReportAssignment(abc.ABC):
    """Says which engines' reports this instance polls."""

    @abc.abstractmethod
    def is_mine(self, backend: backends.Backend) -> bool:
        """Tells whether this instance polls the backend server's report."""


class AllReports(ReportAssignment):
    """Every instance polls every report; fits a few instances only."""

    __slots__ = ()

    def is_mine(self, backend: backends.Backend) -> bool:
        """Always."""
        return True


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
    """Polls load reports, one task for each engine that it has to poll."""

    __slots__ = (
        "_assignment",
        "_clock",
        "_connector",
        "_directory",
        "_rng",
        "_tasks",
    )

    def __init__(
        self,
        *,
        connector: engine.EngineConnector,
        directory: directory_module.BackendDirectory,
        assignment: ReportAssignment,
        clock: clock_module.Clock,
        rng: random.Random,
    ):
        self._connector = connector
        self._directory = directory
        self._assignment = assignment
        self._clock = clock
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Starts and stops the engines' tasks until cancelled."""
        try:
            while True:
                self._match_tasks()
                await self._clock.sleep(REPORT_PERIOD)
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()

    def _match_tasks(self) -> None:
        mine = {
            b.address: b
            for b in self._directory.known()
            if not b.plain and self._assignment.is_mine(b)
        }
        for address in self._tasks.keys() - mine.keys():
            self._tasks.pop(address).cancel()
        for address, backend in mine.items():
            task = self._tasks.get(address)
            if task is None or task.done():
                self._tasks[address] = asyncio.create_task(
                    self._poll_engine(backend)
                )

    async def _poll_engine(self, backend: backends.Backend) -> None:
        while self._directory.find(backend.address) is backend:
            await self.poll_report(backend)
            await self._clock.sleep(jittered(REPORT_PERIOD, self._rng))

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
        return True


def jittered(
    period: datetime.timedelta, rng: random.Random
) -> datetime.timedelta:
    """Returns 0.9 to 1.1 periods, so that instances don't act in step."""
    return period * rng.uniform(0.9, 1.1)
