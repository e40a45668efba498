"""Log lines in the format that instances write."""

import json
import pathlib
import tempfile
import unittest

START_S = 1_700_000_000.0
REQUEST = "5d1fb8c2"


def line(event: str, at_ms: float | None = None, **fields) -> str:
    """Returns a log line; its time is relative to a fixed moment."""
    if at_ms is not None:
        fields["timestamp"] = START_S + at_ms / 1000.0
    return json.dumps(fields | {"message_type": event})


def ended(at_ms: float, **changes) -> str:
    """Returns a `request:ended` line."""
    fields = {
        "request": REQUEST,
        "route": "stream",
        "code": 1000,
        "outcome": "answered",
        "attempts": 1,
        "cut": False,
        "configuration": 36,
        "duration_ms": 20,
    }
    return line("request:ended", at_ms, **(fields | changes))


def sent(at_ms: float, **changes) -> str:
    """Returns an `attempt:sent` line."""
    fields = {
        "request": REQUEST,
        "attempt": 1,
        "replica": "i-1",
        "version": "v2",
        "model": "small",
        "configuration": 36,
        "in_flight": 3,
        "after_event": None,
    }
    return line("attempt:sent", at_ms, **(fields | changes))


class LogCase(unittest.TestCase):
    """Gives each test a folder for log files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name: str, lines: list[str]) -> str:
        """Writes a log file and returns its path."""
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("".join(f"{text}\n" for text in lines))
        return str(path)
