"""Judges each step of an instance's configuration, however short it lasted.

Asked from outside ten times a second, an instance that goes back to an older
configuration and forward again between two questions looks as if it had never
moved. But each instance notes every configuration that it puts in force, and
what that replaced: products' instances in their event ring, routers in their
logs. The notes of one start must form an unbroken chain that only rises. A
step back shows as a note that falls, or as a gap before the next one.

What it can't see: a step that is noted neither on the way back nor on the way
forward. Both parts that hold a configuration write it in one place, which
notes it.
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
    """Not all notes were kept, so nothing can be said of the steps."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Step:
    """A configuration put in force.

    Attributes:
        holder: The instance, and which of its starts.
        revision: What is in force since.
        before: What it replaced; 0 if there was none.
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
    """Tells of each step back and of each step that was not noted.

    Args:
        steps: Of any number of instances, each one's in their order.
        now: What instances said in the end, by holder; it must be what their
            last step put in force.
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
            detail=f"{known} became {before} without a note",
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
    """Returns the steps that a product's instance noted since its start.

    Raises:
        NotesLostError: The ring has let go of some events.
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
    """Returns the steps in a router's log; each start is a holder."""
    steps = []
    starts = 0
    for line in lines:
        try:
            read = msgspec.json.decode(line, type=_LogLine)
        except msgspec.DecodeError:
            # A traceback, or a line that a kill cut short.
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
