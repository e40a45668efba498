"""Writes log lines to a descriptor without blocking on its reader."""

import asyncio
import os

import msgspec

# The buffer for a slow reader; beyond it new lines are dropped and counted.
# 1 MiB holds some seconds of lines at ten times the planned load.
MAX_WAITING_BYTES = 1024 * 1024
# Lines are written in batches: a system call for each would cost more than
# the line itself.
_FLUSH_PERIOD_S = 0.05
_MAX_WRITE_BYTES = 64 * 1024
# Lines are single events, not parts of eliot tasks. These two fields would be
# a third of a line, so that a collector that keeps only the end of a log would
# keep fewer lines, too few to follow a request.
_UNUSED_FIELDS = frozenset({"task_uuid", "task_level"})


class BoundedLogWriter:
    """An eliot destination with a bounded buffer.

    If the reader of the process's output stops reading, a blocking write
    would stop every request. So the descriptor is non-blocking; lines for
    which the buffer has no room are dropped, counted, and reported in a
    `log:dropped` line once there is room again.

    Attributes:
        dropped: Lines dropped since the last `log:dropped` line.
    """

    __slots__ = (
        "_descriptor",
        "_loop",
        "_timer",
        "_waiting",
        "_waiting_bytes",
        "dropped",
    )

    def __init__(self, *, descriptor: int, loop: asyncio.AbstractEventLoop):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._loop = loop
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def __call__(self, message: dict[str, object]) -> None:
        """Adds one message to the buffer."""
        kept = {
            name: value
            for name, value in message.items()
            if name not in _UNUSED_FIELDS
        }
        line = msgspec.json.encode(kept, enc_hook=repr) + b"\n"
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        if self._timer is None:
            self._timer = self._loop.call_later(_FLUSH_PERIOD_S, self.flush)

    def flush(self) -> None:
        """Writes as much as the descriptor accepts now."""
        self._timer = None
        if self.dropped and self._waiting_bytes < MAX_WAITING_BYTES // 2:
            dropped, self.dropped = self.dropped, 0
            self({"message_type": "log:dropped", "lines": dropped})
        data = b"".join(self._waiting)
        try:
            written = os.write(self._descriptor, data[:_MAX_WRITE_BYTES])
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone for good; the lines are discarded.
            written = len(data)
        rest = data[written:]
        self._waiting = [rest] if rest else []
        self._waiting_bytes = len(rest)
        if rest and self._timer is None:
            self._timer = self._loop.call_later(_FLUSH_PERIOD_S, self.flush)
