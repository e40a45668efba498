"""The report on slow replicas as lines of text."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import statistics

from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import record_text
from nutmeghook.internal.observe import relative_waits
from nutmeghook.internal.observe import slow_replicas

RelativeWait = relative_waits.RelativeWait

# As many request ids as fit a line; those with the longest waits.
_MAX_REQUESTS_SHOWN = 5


def text_lines(
    report: slow_replicas.Report, names: Mapping[log_reading.Source, str]
) -> list[str]:
    """Returns the report, with a few lines for each slow period.

    Args:
        report: What was found.
        names: A short name for each instance.
    """
    lines: list[str] = []
    for period in report.slow:
        lines += _replica(period, names)
    for period in report.slow_versions:
        lines += _replica(period, names)
        lines.append(
            "  not this replica alone: the others of its version were"
            f" {period.others_factor:.1f} times the usual"
        )
    for period in report.instances:
        lines += _instance(period, names)
    if not lines:
        lines.append("no replica was slow")
    lines += _notes(report)
    return [record_text.printable(line) for line in lines]


def _replica(
    period: slow_replicas.SlowReplicaPeriod,
    names: Mapping[log_reading.Source, str],
) -> Iterator[str]:
    first = period.waits[0].wait
    models = sorted({wait.wait.model for wait in period.waits} - {""})
    models_text = f" ({_comma_separated(models)})" if models else ""
    yield (
        f"replica {period.replica} of {first.service or '-'}{models_text} was"
        f" slow, {_time_range(period.waits)}, {_factor_text(period.waits)}"
    )
    if period.others_factor is None:
        yield "  too few answers of other replicas of its version to compare"
    yield from _details(period.waits, names)
    yield (
        f"  its load by its own word: {_load(period.waits)}; the others':"
        f" {_load(period.others)}"
    )


def _instance(
    period: slow_replicas.SlowInstancePeriod,
    names: Mapping[log_reading.Source, str],
) -> Iterator[str]:
    replicas = {wait.wait.replica for wait in period.waits}
    yield (
        f"instance {names.get(period.instance, period.instance.path)} saw all"
        f" replicas slow ({len(replicas)}), {_time_range(period.waits)},"
        f" {_factor_text(period.waits)}"
    )
    yield from _details(period.waits, names)


def _time_range(waits: Sequence[RelativeWait]) -> str:
    first_s, last_s = waits[0].wait.sent_s, waits[-1].wait.sent_s
    return (
        f"{record_text.wall_time(first_s)} to {record_text.wall_time(last_s)}"
        f" ({last_s - first_s:.1f} s)"
    )


def _factor_text(waits: Sequence[RelativeWait]) -> str:
    factor = statistics.median(wait.factor for wait in waits)
    waited_ms = statistics.median(wait.wait.waited_ms for wait in waits)
    expected_ms = statistics.median(wait.expected_ms for wait in waits)
    return (
        f"{factor:.1f} times the usual (waited {waited_ms:.0f} ms,"
        f" {expected_ms:.0f} ms expected)"
    )


def _details(
    waits: Sequence[RelativeWait], names: Mapping[log_reading.Source, str]
) -> Iterator[str]:
    inner = [wait.wait for wait in waits]
    instances = sorted({names.get(w.instance, w.instance.path) for w in inner})
    abandoned = sum(wait.is_abandoned for wait in inner)
    unanswered = sum(not wait.is_answered for wait in inner)
    yield (
        f"  {len(inner)} requests in that time, {unanswered} without an answer,"
        f" {abandoned} left it as silent or dark; seen by {len(instances)}"
        f" instances, one of them {instances[0]}"
    )
    versions = sorted({wait.version for wait in inner})
    configurations = sorted(
        {w.configuration for w in inner if w.configuration is not None}
    )
    yield (
        f"  configuration {_comma_separated(configurations)};"
        f" version {_comma_separated(versions)}"
    )
    longest = sorted(waits, key=_by_delay)[:_MAX_REQUESTS_SHOWN]
    yield f"  waited there: {' '.join(_requests(longest))}"


def _by_delay(wait: RelativeWait) -> tuple[float, float, str]:
    delay_ms = wait.wait.waited_ms - wait.expected_ms
    return -delay_ms, wait.wait.sent_s, wait.wait.request


def _requests(waits: Iterable[RelativeWait]) -> list[str]:
    return list(dict.fromkeys(wait.wait.request for wait in waits))


def _load(waits: Sequence[RelativeWait]) -> str:
    """Returns the medians of the requests running and queued, as reported."""
    running = [w.wait.running for w in waits if w.wait.running is not None]
    waiting = [w.wait.waiting for w in waits if w.wait.waiting is not None]
    if not running or not waiting:
        return "not said"
    return (
        f"{statistics.median(running):.0f} running,"
        f" {statistics.median(waiting):.0f} waiting"
    )


def _comma_separated(values: Iterable[object]) -> str:
    return ", ".join(str(value) for value in values) or "-"


def _notes(report: slow_replicas.Report) -> Iterator[str]:
    yield f"# {report.compared} of {report.waits} waits could be compared"
    if report.too_few:
        counts = " ".join(
            f"{replica} ({count})" for replica, count in report.too_few.items()
        )
        yield (
            f"# too few answers to tell of {len(report.too_few)} replicas:"
            f" {counts}"
        )
