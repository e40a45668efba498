"""A request's story as lines of text."""

from collections.abc import Iterator
import heapq

from nutmeghook.internal.observe import belief_records
from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import record_text
from nutmeghook.internal.observe import story as story_module

# Stands before what an instance believed, not did.
_BELIEF = "| "


def lines_of(story: story_module.Story) -> list[str]:
    """Returns the story, with times relative to its first line."""
    if not story.visits:
        return []
    start_s = min(visit.arrived_s for visit in story.visits)
    lines = [
        f"request {story.request}, times from {record_text.wall_time(start_s)}"
    ]
    if len(story.visits) > 1:
        lines.append(
            f"# on {len(story.visits)} instances, each by its own clock"
        )
    for visit in story.visits:
        notes = [*_gaps(visit), *_earlier(visit)]
        lines += [f"# {visit.instance}: {note}" for note in notes]
    lines += _entries(story, start_s)
    return [record_text.printable(line) for line in lines]


def _entries(story: story_module.Story, start_s: float) -> list[str]:
    arrivals = sorted(
        (visit.arrived_s, visit.instance, _arrival(visit))
        for visit in story.visits
        if visit.knows_arrival
    )
    entries = [
        (line.at_s, visit.instance, _text(visit, line.record))
        for visit, line in story.lines()
    ]
    width = max(len(visit.instance) for visit in story.visits)
    return [
        f"{(at_s - start_s) * 1000.0:12.1f} ms  {instance:{width}}  {text}"
        for at_s, instance, text in heapq.merge(
            arrivals, entries, key=lambda entry: entry[0]
        )
    ]


def _arrival(visit: story_module.Visit) -> str:
    if visit.let_in_by is None:
        return "arrived"
    return f"arrived, let in by configuration {visit.let_in_by}"


def _text(visit: story_module.Visit, record: log_records.Record) -> str:
    if isinstance(record, log_records.RequestRecord):
        return record_text.of(record)
    text = _BELIEF + record_text.of(record)
    admitted = visit.let_in_by
    if not isinstance(record, belief_records.ConfigurationInForce):
        return text
    if admitted is None:
        return f"{text}; not logged which one let the request in"
    if record.version == admitted:
        return f"{text}; it let the request in"
    return f"{text}; another than {admitted}, which let the request in"


def _gaps(visit: story_module.Visit) -> Iterator[str]:
    """Says what is missing of a visit, and why."""
    ahead_s = visit.arrived_s - visit.log.first_s
    if ahead_s < 0:
        yield (
            f"log begins {_span(-ahead_s)} after the request arrived; what was"
            " logged before is missing"
        )
    elif not visit.knows_start:
        yield (
            f"log begins {_span(ahead_s)} before the request's first line, not"
            " with the process's start"
        )
    if not visit.knows_arrival:
        yield "the request's arrival is not logged; times from its first line"
    if visit.missing_attempts:
        numbers = ", ".join(str(number) for number in visit.missing_attempts)
        yield f"no line of the sending of attempt {numbers}"
    if not visit.is_ended:
        rest_s = visit.until_s - visit.own[-1].at_s
        yield (
            "no line of the request's end until the log's own or the process's"
            f" next start, {_span(rest_s)} after its last line"
        )
    if visit.log.dropped_lines:
        yield (
            f"{visit.log.dropped_lines} lines of the log were left out, its"
            " reader was too slow"
        )


def _earlier(visit: story_module.Visit) -> Iterator[str]:
    """Says what was believed when the request arrived."""
    for line in sorted(visit.earlier.values(), key=lambda line: line.number):
        record = line.record
        if _concerns_others(visit, record) or _is_over(record):
            continue
        before_s = visit.arrived_s - line.at_s
        yield f"{_span(before_s)} before: {record_text.of(record)}"


def _concerns_others(
    visit: story_module.Visit, record: log_records.Record
) -> bool:
    return (
        isinstance(record, belief_records.RollOutChange)
        and bool(visit.services)
        and record.service not in visit.services
    )


def _is_over(record: log_records.Record) -> bool:
    return record.event == log_decoding.STORE_BACK


def _span(seconds: float) -> str:
    return f"{seconds:.3f} s"
