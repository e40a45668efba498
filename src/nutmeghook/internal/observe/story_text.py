"""A request's traces as lines of text."""

from collections.abc import Iterator
import heapq

from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import record_text
from nutmeghook.internal.observe import state_records
from nutmeghook.internal.observe import story as story_module

# Marks lines about an instance's state, rather than about the request.
_STATE_PREFIX = "| "


def text_lines(story: story_module.RequestTrace) -> list[str]:
    """Returns the traces, with times relative to the request's arrival."""
    if not story.traces:
        return []
    start_s = min(trace.arrived_s for trace in story.traces)
    lines = [
        f"request {story.request}, times from {record_text.wall_time(start_s)}"
    ]
    if len(story.traces) > 1:
        lines.append(
            f"# on {len(story.traces)} instances, each by its own clock"
        )
    for trace in story.traces:
        notes = [*_gaps(trace), *_earlier_state(trace)]
        lines += [f"# {trace.instance}: {note}" for note in notes]
    lines += _entries(story, start_s)
    return [record_text.printable(line) for line in lines]


def _entries(story: story_module.RequestTrace, start_s: float) -> list[str]:
    arrivals = sorted(
        (trace.arrived_s, trace.instance, _arrival(trace))
        for trace in story.traces
        if trace.has_arrival
    )
    entries = [
        (line.at_s, trace.instance, _text(trace, line))
        for trace, line in story.lines()
    ]
    width = max(len(trace.instance) for trace in story.traces)
    return [
        f"{(at_s - start_s) * 1000.0:12.1f} ms  {instance:{width}}  {text}"
        for at_s, instance, text in heapq.merge(
            arrivals, entries, key=lambda entry: entry[0]
        )
    ]


def _arrival(trace: story_module.InstanceTrace) -> str:
    if trace.admitted_by is None:
        return "arrived"
    return f"arrived, let in by configuration {trace.admitted_by}"


def _text(trace: story_module.InstanceTrace, line: story_module.Line) -> str:
    record = line.record
    if isinstance(record, log_records.AttemptSent):
        return record_text.describe(record) + _belief(trace, line)
    if isinstance(record, log_records.RequestRecord):
        return record_text.describe(record)
    text = _STATE_PREFIX + record_text.describe(record)
    admitted = trace.admitted_by
    if not isinstance(record, state_records.ConfigurationInForce):
        return text
    if admitted is None:
        return f"{text}; not logged which one let the request in"
    if record.version == admitted:
        return f"{text}; it let the request in"
    return f"{text}; another than {admitted}, which let the request in"


def _belief(
    trace: story_module.InstanceTrace, sending: story_module.Line
) -> str:
    """Returns what was believed of the replica's speed, if it is logged."""
    believed = trace.believed_speed(sending)
    if believed is None or believed.record.slowness is None:
        return ""
    age_s = sending.at_s - believed.at_s
    return (
        f"; believed {believed.record.slowness:.2f} times as slow as an"
        f" average replica since {_span(age_s)} before"
    )


def _gaps(trace: story_module.InstanceTrace) -> Iterator[str]:
    """Yields notes on what a trace lacks, and why."""
    ahead_s = trace.arrived_s - trace.log.first_s
    if ahead_s < 0:
        yield (
            f"log begins {_span(-ahead_s)} after the request arrived; what was"
            " logged before is missing"
        )
    elif not trace.has_start:
        yield (
            f"log begins {_span(ahead_s)} before the request's first line, not"
            " with the process's start"
        )
    if not trace.has_arrival:
        yield "the request's arrival is not logged; times from its first line"
    if trace.missing_attempts:
        numbers = ", ".join(str(number) for number in trace.missing_attempts)
        yield f"no line of the sending of attempt {numbers}"
    if not trace.is_ended:
        rest_s = trace.until_s - trace.request_lines[-1].at_s
        yield (
            "no line of the request's end until the log's own or the process's"
            f" next start, {_span(rest_s)} after its last line"
        )
    if trace.log.dropped_lines:
        yield (
            f"{trace.log.dropped_lines} lines of the log were left out, its"
            " reader was too slow"
        )


def _earlier_state(trace: story_module.InstanceTrace) -> Iterator[str]:
    """Yields the instance's state when the request arrived."""
    for line in sorted(
        trace.earlier_state.values(), key=lambda line: line.number
    ):
        record = line.record
        if _concerns_others(trace, record) or _is_over(record):
            continue
        before_s = trace.arrived_s - line.at_s
        yield f"{_span(before_s)} before: {record_text.describe(record)}"


def _concerns_others(
    trace: story_module.InstanceTrace, record: log_records.Record
) -> bool:
    return (
        isinstance(record, state_records.RollOutChange)
        and bool(trace.services)
        and record.service not in trace.services
    )


def _is_over(record: log_records.Record) -> bool:
    return record.event == log_decoding.STORE_BACK


def _span(seconds: float) -> str:
    return f"{seconds:.3f} s"
