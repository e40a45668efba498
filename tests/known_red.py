"""Compares a test run with the failures listed in KNOWN-RED.txt.

Each line names a test, or a command that is no test, then its cause and issue.
A listed failure is printed but does not fail the run. A listed test that passes
fails the run, so that its line is removed, unless the first word of the line's
cause is "sometimes".
"""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses

# Package of all tests: an entry that begins otherwise names no test.
_TEST_PREFIX = "tests."


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Entry:
    """One line of the list.

    Attributes:
        name: A test's full name, or what else fails.
        cause: What was seen, with the command that shows it.
    """

    name: str
    cause: str

    @property
    def is_test(self) -> bool:
        """Tells whether a run of all tests runs it."""
        return self.name.startswith(_TEST_PREFIX)

    @property
    def is_sometimes(self) -> bool:
        """Tells whether it fails in some runs only."""
        return self.cause.startswith("sometimes")


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Report:
    """The comparison of a run with the list.

    Attributes:
        lines: What to print.
        is_accepted: Nothing failed that is not listed, and nothing is listed
            that should no longer be.
    """

    lines: tuple[str, ...]
    is_accepted: bool


def parse(text: str) -> list[Entry]:
    """Returns the entries of the list's text."""
    entries = []
    for line in text.splitlines():
        name, _, cause = line.partition(",")
        if name.strip():
            entries.append(Entry(name=name.strip(), cause=cause.strip()))
    return entries


def compare(
    entries: Iterable[Entry],
    *,
    started: Set[str],
    failed: Set[str],
    complete: bool,
) -> Report:
    """Returns what a run shows of the listed failures.

    Args:
        entries: The list.
        started: Full names of the tests that were run.
        failed: Full names of the tests that failed.
        complete: All test modules were run.
    """
    lines = []
    outdated = False
    for entry in entries:
        if entry.name in failed:
            lines.append(f"known red: {entry.name}")
        elif not entry.is_test:
            lines.append(
                f"known red, not run here: {entry.name}: {entry.cause}"
            )
        elif entry.name in started and entry.is_sometimes:
            lines.append(f"known red sometimes, passed now: {entry.name}")
        elif entry.name in started:
            outdated = True
            lines.append(f"listed in KNOWN-RED.txt but passes: {entry.name}")
        elif complete:
            outdated = True
            lines.append(f"listed in KNOWN-RED.txt but no test: {entry.name}")
    unlisted = failed - {entry.name for entry in entries}
    return Report(lines=tuple(lines), is_accepted=not unlisted and not outdated)
