"""Logs JSON lines through eliot, with secrets removed."""

from collections.abc import Callable
import re
import sys
from typing import TextIO

import eliot

# A caller's token in a message (an echoed header, a URL) must not reach the
# log: readers of the log could then act as that caller.
_BEARER = re.compile(r"(?i)bearer\s+[^\s\"',]+")
_SECRET_FIELDS = frozenset(
    {"authorization", "token", "secret", "credential", "password"}
)
HIDDEN = "(hidden)"


def start(*, out: TextIO = sys.stderr) -> None:
    """Sends all log lines to a stream."""
    eliot.to_file(out)


def start_with(destination: Callable[[dict[str, object]], None]) -> None:
    """Sends all log messages to an eliot destination."""
    eliot.add_destinations(destination)


def note(event: str, **fields: object) -> None:
    """Logs one event, without secret fields and bearer tokens."""
    eliot.log_message(message_type=event, **_redact_fields(fields))


def _redact_fields(fields: dict[str, object]) -> dict[str, object]:
    return {name: _redact(name, value) for name, value in fields.items()}


def _redact(name: str, value: object) -> object:
    if name.lower() in _SECRET_FIELDS:
        return HIDDEN
    if isinstance(value, str):
        return _BEARER.sub(f"Bearer {HIDDEN}", value)
    return value
