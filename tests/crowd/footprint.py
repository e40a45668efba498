"""What a process takes of its machine: memory, buffers and descriptors."""

import asyncio
import contextlib
import pathlib
import re

import psutil

_SAMPLE_S = 0.02
_KILOBYTE = 1024
_PEAK = re.compile(r"^VmHWM:\s+(\d+) kB", re.MULTILINE)


class Footprint:
    """Samples a process while a crowd is at it.

    Bytes that the system holds for the process's sockets count as its memory:
    on the users' platform they do.

    Attributes:
        peak_buffer_bytes: Most bytes that its sockets have held.
        peak_descriptors: Most descriptors that it has had.
    """

    __slots__ = (
        "_process",
        "_task",
        "peak_buffer_bytes",
        "peak_descriptors",
    )

    def __init__(self, *, pid: int):
        self._process = psutil.Process(pid)
        self._task: asyncio.Task | None = None
        self.peak_buffer_bytes = 0
        self.peak_descriptors = 0

    @property
    def peak_bytes(self) -> int:
        """Most memory that the process has had, with its buffers."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        resident = int(_PEAK.search(status)[1]) * _KILOBYTE
        return resident + self.peak_buffer_bytes

    async def __aenter__(self) -> "Footprint":
        """Begins to sample."""
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exception_info: object) -> None:
        """Stops sampling."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(psutil.Error, OSError):
                self._sample()
            await asyncio.sleep(_SAMPLE_S)

    def _sample(self) -> None:
        self.peak_descriptors = max(
            self.peak_descriptors, self._process.num_fds()
        )
        self.peak_buffer_bytes = max(
            self.peak_buffer_bytes, _buffer_bytes(self._process)
        )


def _buffer_bytes(process: psutil.Process) -> int:
    """Returns what the system holds for the sockets of a process."""
    own = {
        link.split("[")[1].rstrip("]")
        for descriptor in pathlib.Path(f"/proc/{process.pid}/fd").iterdir()
        if (link := str(_target(descriptor))).startswith("socket:")
    }
    held = 0
    with open(f"/proc/{process.pid}/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[9] in own and fields[3] != _LISTENING:
                unsent, _, unread = fields[4].partition(":")
                held += int(unsent, 16) + int(unread, 16)
    return held


_LISTENING = "0A"


def _target(descriptor: pathlib.Path) -> pathlib.Path | str:
    try:
        return descriptor.readlink()
    except OSError:  # closed meanwhile
        return ""
