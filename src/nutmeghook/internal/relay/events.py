"""Splits a stream of server-sent events into events."""

import msgspec

_ENDS = (b"\n\n", b"\r\n\r\n")


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One complete event as received, with its final empty line.

    Attributes:
        event_id: None if the event has none.
    """

    raw: bytes
    event_id: str | None


class EventSplitter:
    """Collects bytes and returns complete events."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Tells whether the bytes so far end inside an event."""
        return bool(self._rest)

    @property
    def rest_bytes(self) -> int:
        """How many bytes of an incomplete event are kept."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes and returns the events that they complete."""
        self._rest += data
        events = []
        while (end := _first_end(self._rest)) is not None:
            raw = self._rest[:end]
            self._rest = self._rest[end:]
            events.append(StreamEvent(raw=raw, event_id=_id_of(raw)))
        return events


def _first_end(data: bytes) -> int | None:
    ends = [
        found + len(mark) for mark in _ENDS if (found := data.find(mark)) >= 0
    ]
    return min(ends, default=None)


def _id_of(raw: bytes) -> str | None:
    found = None
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            found = line[3:].strip().decode("latin-1")
    return found
