"""Writes log lines to a stream without ever waiting for its reader."""

import asyncio
import os

import msgspec

# Lines that wait for a slow reader; beyond it new ones are counted and left
# out. 1 MiB is some seconds of lines at ten times the planned load.
MAX_WAITING_BYTES = 1024 * 1024
# Lines of a moment are written together: a system call each would cost more
# than the lines themselves.
_FLUSH_PERIOD_S = 0.05
_MAX_WRITE_BYTES = 64 * 1024
# Each line is an event by itself, not part of a nested task. These two fields
# are a third of a line, and a collector that keeps the end of a log then kept
# too little of it to see what became of a request.
_UNUSED_FIELDS = frozenset({"task_uuid", "task_level"})


class BoundedLogWriter:
    """Takes log messages as a destination of eliot's.

    The failure: whoever reads the process's output stops reading. A write
    that waits then stops every request; so the descriptor never waits, and
    what finds no room is counted and reported once there is room again.

    Attributes:
        dropped: Lines left out since the last report of it.
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
        """Takes in one message."""
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
        """Writes what the reader takes now."""
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
            # The reader is gone for good; nobody is left to tell.
            written = len(data)
        rest = data[written:]
        self._waiting = [rest] if rest else []
        self._waiting_bytes = len(rest)
        if rest and self._timer is None:
            self._timer = self._loop.call_later(_FLUSH_PERIOD_S, self.flush)
