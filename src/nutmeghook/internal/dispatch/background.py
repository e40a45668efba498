"""Work that outlives the request which started it."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import eliot

from nutmeghook.internal.foundation import errors


class BackgroundWork:
    """Keeps tasks alive until they end, and logs those that fail.

    The event loop holds tasks weakly: without a reference here a task could
    be collected half-way.
    """

    __slots__ = ("_tasks",)

    def __init__(self):
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as a task of its own."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def settled(self) -> None:
        """Waits until nothing runs any more."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        fault = None if task.cancelled() else task.exception()
        # A coded error is an outcome, told and counted where it arose.
        if fault is not None and not isinstance(fault, errors.CodedError):
            eliot.log_message("background work failed", error=repr(fault))
