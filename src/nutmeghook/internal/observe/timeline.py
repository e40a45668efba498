"""Merges the events of several processes into one timeline."""

from collections.abc import Iterable
import html

import msgspec

from nutmeghook.internal.observe import events


class ProcessEvents(msgspec.Struct, frozen=True, kw_only=True):
    """The events that one process kept, and its wall clock's offset.

    Attributes:
        process: Its data centre, inner address and incarnation.
        offset_ms: Added to its wall times, gives those of the instance that
            gathered the events.
        uncertainty_ms: Half of the round trip in which the offset was
            measured.
    """

    process: str
    offset_ms: float
    uncertainty_ms: float
    events: list[events.Event]


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One line: an event, or a gap in a process's events.

    Attributes:
        lost: How many events are missing just before this moment.
    """

    at_ms: float
    process: str
    event: events.Event | None = None
    lost: int = 0


def merge(processes: Iterable[ProcessEvents]) -> list[Entry]:
    """Orders all events by corrected time, with entries for gaps."""
    entries: list[Entry] = []
    for process in processes:
        entries.extend(_entries_of(process))
    entries.sort(key=lambda entry: entry.at_ms)
    return entries


def _entries_of(process: ProcessEvents) -> list[Entry]:
    entries = []
    expected = 1
    for event in process.events:
        at_ms = event.wall_ms + process.offset_ms
        if event.sequence > expected:
            entries.append(
                Entry(
                    at_ms=at_ms,
                    process=process.process,
                    lost=event.sequence - expected,
                )
            )
        entries.append(Entry(at_ms=at_ms, process=process.process, event=event))
        expected = event.sequence + 1
    return entries


def filter_by_subject(entries: list[Entry], subject: str) -> list[Entry]:
    """Keeps the entries about a request, operation, version or lease.

    Gaps stay: the missing events might have been about the subject.
    """
    return [
        e for e in entries if e.event is None or _is_about(e.event, subject)
    ]


def _is_about(event: events.Event, subject: str) -> bool:
    if event.subject.startswith(subject):
        return True
    return subject in event.detail.values()


def text_lines(entries: list[Entry]) -> list[str]:
    """Returns one line per entry, with times relative to the first."""
    if not entries:
        return []
    start_ms = entries[0].at_ms
    return [_text_line(entry, start_ms) for entry in entries]


def _text_line(entry: Entry, start_ms: float) -> str:
    at = f"{entry.at_ms - start_ms:12.1f} ms  {entry.process:32}"
    if entry.event is None:
        return f"{at}  -- {entry.lost} events lost --"
    detail = " ".join(f"{k}={v}" for k, v in entry.event.detail.items())
    return f"{at}  {entry.event.kind.value}: {entry.event.subject} {detail}"


_STYLE = """
body{font:13px sans-serif;margin:16px} .lane{fill:#f4f4f4}
.lane:nth-child(even){fill:#fafafa} text{font:11px sans-serif}
circle:hover{r:6} .gap{stroke:#c00;stroke-dasharray:3}
"""
_COLOURS = {
    "refused": "#d99000",
    "unknown": "#c00000",
    "out": "#c00000",
    "lost": "#c00000",
    "stopped": "#c00000",
    "withdrawn": "#c00000",
    "suspected": "#d99000",
    "ejected": "#d99000",
    "back": "#008040",
    "applied": "#2060c0",
    "accepted": "#2060c0",
    "acquired": "#8040c0",
}
_PLAIN_COLOUR = "#888888"
_LANE_PX = 70
_LEFT_PX = 260
_WIDTH_PX = 1400
_MAX_DRAWN = 20_000


def html_page(entries: list[Entry], *, title: str) -> str:
    """Draws the timeline as one page without external resources.

    Only the newest `_MAX_DRAWN` entries are drawn; the heading says how many
    were left out.
    """
    left_out = max(0, len(entries) - _MAX_DRAWN)
    shown = entries[left_out:]
    lanes = sorted({entry.process for entry in shown})
    start_ms = shown[0].at_ms if shown else 0.0
    span_ms = max(1.0, (shown[-1].at_ms - start_ms) if shown else 1.0)
    parts = [_lane(lane, row) for row, lane in enumerate(lanes)]
    rows = {lane: row for row, lane in enumerate(lanes)}
    for index, entry in enumerate(shown):
        x = _LEFT_PX + (entry.at_ms - start_ms) / span_ms * _WIDTH_PX
        # Spreads simultaneous events over the lane's height.
        y = rows[entry.process] * _LANE_PX + 8 + (index * 7) % (_LANE_PX - 16)
        parts.append(_mark(entry, x, y, start_ms))
    height = max(1, len(lanes)) * _LANE_PX
    note = f", the oldest {left_out} not drawn" if left_out else ""
    heading = html.escape(
        f"{title}: {len(entries)} entries over {span_ms / 1000:.1f} s{note}"
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>{heading}</title>"
        f"<style>{_STYLE}</style><h1>{heading}</h1>"
        f'<svg width="{_LEFT_PX + _WIDTH_PX + 20}" height="{height}">'
        f"{''.join(parts)}</svg>"
    )


def _lane(name: str, row: int) -> str:
    y = row * _LANE_PX
    return (
        f'<rect class="lane" x="0" y="{y}" height="{_LANE_PX - 2}"'
        f' width="{_LEFT_PX + _WIDTH_PX}"/>'
        f'<text x="4" y="{y + _LANE_PX / 2}">{html.escape(name)}</text>'
    )


def _mark(entry: Entry, x: float, y: float, start_ms: float) -> str:
    tip = html.escape(_text_line(entry, start_ms))
    if entry.event is None:
        return (
            f'<line class="gap" x1="{x:.1f}" x2="{x:.1f}" y1="{y - 8}"'
            f' y2="{y + 8}"><title>{tip}</title></line>'
        )
    colour = _colour(entry.event.kind)
    return (
        f'<circle cx="{x:.1f}" cy="{y}" r="2.5" fill="{colour}">'
        f"<title>{tip}</title></circle>"
    )


def _colour(kind: events.EventKind) -> str:
    for word, colour in _COLOURS.items():
        if word in kind.value:
            return colour
    return _PLAIN_COLOUR
