"""Reports on log files, for the commands about logs of `nutmeghook`."""

from collections.abc import Sequence
import sys

from nutmeghook.internal.observe import endings_table
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import replica_speeds
from nutmeghook.internal.observe import slow_replicas
from nutmeghook.internal.observe import slow_replicas_text
from nutmeghook.internal.observe import story as story_module
from nutmeghook.internal.observe import story_text
from nutmeghook.internal.observe import teams_table

EXIT_NOTHING_FOUND = 1
EXIT_NO_LOGS = 2


def print_story(*, request: str, logs: Sequence[str]) -> None:
    """Prints a request's history; exits with 1 if no line names it."""
    files = _files(logs)
    story = story_module.gather(files, request)
    _print_read_errors(files)
    if not story.traces:
        print(f"no line names request {request!r}", file=sys.stderr)
        sys.exit(EXIT_NOTHING_FOUND)
    print("\n".join(story_text.text_lines(story)))


def print_endings(*, logs: Sequence[str]) -> None:
    """Prints how requests ended; exits with 1 if the logs hold none."""
    files = _files(logs)
    endings = endings_table.count(files.lines())
    _print_read_errors(files)
    if not endings.rows and not endings.open_requests:
        print("no line tells of a request", file=sys.stderr)
        sys.exit(EXIT_NOTHING_FOUND)
    print("\n".join(endings_table.text_lines(endings)))


def print_slow_replicas(*, logs: Sequence[str]) -> None:
    """Prints which replicas were slow; exits with 1 if no wait is logged."""
    files = _files(logs)
    report = slow_replicas.report(files.lines())
    _print_read_errors(files)
    if not report.waits:
        print("no line tells of an attempt's length", file=sys.stderr)
        sys.exit(EXIT_NOTHING_FOUND)
    print("\n".join(slow_replicas_text.text_lines(report, files.names())))


def print_teams(*, logs: Sequence[str]) -> None:
    """Prints what became of teams' requests; exits with 1 if none ended."""
    files = _files(logs)
    rows = teams_table.count(files.lines())
    _print_read_errors(files)
    if not rows:
        print("no line tells of a request's end", file=sys.stderr)
        sys.exit(EXIT_NOTHING_FOUND)
    print("\n".join(teams_table.text_lines(rows)))


def print_replica_speeds(*, logs: Sequence[str]) -> None:
    """Prints replicas by their speed; exits with 1 if no log names one."""
    files = _files(logs)
    rows = replica_speeds.report(files.lines())
    _print_read_errors(files)
    if not rows:
        print("no line tells of a replica's speed", file=sys.stderr)
        sys.exit(EXIT_NOTHING_FOUND)
    print("\n".join(replica_speeds.text_lines(rows)))


def _files(logs: Sequence[str]) -> log_reading.LogFiles:
    if not logs:
        print("name log files, or folders of them", file=sys.stderr)
        sys.exit(EXIT_NO_LOGS)
    return log_reading.LogFiles(paths=logs)


def _print_read_errors(files: log_reading.LogFiles) -> None:
    """Prints what could not be read; the rest is reported all the same."""
    for path, fault in sorted(files.read_errors.items()):
        print(f"# {path}: {fault}", file=sys.stderr)
    for path, count in sorted(files.unreadable_lines.items()):
        if count:
            print(f"# {path}: {count} lines unreadable", file=sys.stderr)
