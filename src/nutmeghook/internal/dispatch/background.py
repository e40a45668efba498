"""Tasks that outlive the request that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import eliot

from nutmeghook.internal.foundation import errors


class BackgroundWork:
    """Keeps tasks alive until they end, and logs those that fail.

    The event loop holds only weak references to tasks: without a reference
    here a running task could be garbage-collected.
    """

    __slots__ = ("_tasks",)

    def __init__(self):
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as a separate task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def settled(self) -> None:
        """Waits until all tasks have ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        fault = None if task.cancelled() else task.exception()
        # Coded errors are outcomes, reported and counted where they arise.
        if fault is not None and not isinstance(fault, errors.CodedError):
            eliot.log_message("background work failed", error=repr(fault))
