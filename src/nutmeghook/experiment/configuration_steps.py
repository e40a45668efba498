"""Checks every change of an instance's configuration, however short-lived.

Polling an instance ten times a second misses a configuration that reverts to
an older revision and advances again between two polls. But each instance
records every configuration that it puts in force and the one that it
replaced: instances in their event ring, routers in their logs. The records
since one start of a process must form an unbroken chain of rising revisions.
A reversion shows as a falling revision or as a gap before the next record.

A reversion is missed if neither it nor the following advance is recorded. In
both programs the configuration is assigned in one place, which records it.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import msgspec

from nutmeghook.experiment import checks
from nutmeghook.internal.observe import events as events_module

IN_FORCE_EVENT = "configuration:in_force"
STARTED_EVENT = "process:started"
_NONE = 0


class EventsLostError(Exception):
    """Some events were dropped, so the steps can't be checked."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Step:
    """A configuration put in force.

    Attributes:
        holder: The instance; for a router also the number of its start.
        revision: The revision put in force.
        before: The revision that it replaced; 0 if there was none.
    """

    holder: str
    revision: int
    before: int


class _LogLine(msgspec.Struct):
    message_type: str = ""
    version: int = _NONE
    before: int | None = None


def check_steps(
    steps: Iterable[Step], *, now: dict[str, int] | None = None
) -> Iterator[checks.Violation]:
    """Yields each reversion and each step that was not recorded.

    Args:
        steps: Of any number of instances, each instance's in order.
        now: The revision that instances reported at the end, by holder; it
            must be the one that their last step put in force.
    """
    last: dict[str, int] = {}
    for step in steps:
        yield from _check_continuity(
            step.holder, last.get(step.holder), step.before
        )
        if step.revision <= step.before:
            yield _reversion(step.holder, step.before, step.revision)
        last[step.holder] = step.revision
    for holder, revision in (now or {}).items():
        yield from _check_continuity(holder, last.get(holder), revision)


def _check_continuity(
    holder: str, known: int | None, before: int
) -> Iterator[checks.Violation]:
    known = known or _NONE
    if before < known:
        yield _reversion(holder, known, before)
    elif before > known:
        yield checks.Violation(
            rule=checks.Rule.STEP_NOT_NOTED,
            marker=holder,
            detail=f"{known} became {before} without a record",
        )


def _reversion(holder: str, before: int, after: int) -> checks.Violation:
    return checks.Violation(
        rule=checks.Rule.REVERTED,
        marker=holder,
        detail=f"revision {before} became {after}",
    )


def steps_of_events(
    holder: str, events: Iterable[events_module.Event]
) -> list[Step]:
    """Returns the steps that an instance recorded since its start.

    Raises:
        NotesLostError: The ring has dropped some events.
    """
    steps = []
    for number, event in enumerate(events, start=1):
        if event.sequence != number:
            raise EventsLostError(
                f"{holder}: event {number} is lost; read the ring more often"
            )
        if event.kind is events_module.EventKind.CONFIG_APPLIED:
            steps.append(
                Step(
                    holder=holder,
                    revision=int(event.subject),
                    before=int(event.detail["before"]),
                )
            )
    return steps


def steps_of_log(router: str, lines: Iterable[bytes]) -> list[Step]:
    """Returns the steps in a router's log; each start is its own holder."""
    steps = []
    starts = 0
    for line in lines:
        try:
            read = msgspec.json.decode(line, type=_LogLine)
        except msgspec.DecodeError:
            # A traceback, or a line truncated by a kill.
            continue
        if read.message_type == STARTED_EVENT:
            starts += 1
        if read.message_type == IN_FORCE_EVENT:
            steps.append(
                Step(
                    holder=f"{router}#{starts}",
                    revision=read.version,
                    before=read.before or _NONE,
                )
            )
    return steps
