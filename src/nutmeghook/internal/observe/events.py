"""Typed events of one process, kept in a bounded ring for the timeline."""

import collections
import datetime
import enum

import msgspec

from nutmeghook.internal.foundation import clock as clock_module


class EventKind(enum.Enum):
    """What happened; the value is the name shown on the timeline."""

    PROCESS_STARTED = "process started"
    DRAIN_STARTED = "drain started"
    PROCESS_STOOD_STILL = "process stood still"
    REQUEST_ADMITTED = "request admitted"
    REQUEST_DISPATCHED = "request dispatched"
    REQUEST_RETRIED = "request retried"
    HELD_ANSWER_GIVEN = "held answer given"
    FIRST_TOKEN = "first token"
    REQUEST_ANSWERED = "request answered"
    REQUEST_REFUSED = "request refused"
    REQUEST_UNKNOWN = "request outcome unknown"
    CLAIM_WON = "claim won"
    CLAIM_LOST = "claim lost"
    BILL_RECORDED = "bill recorded"
    BILL_OVERFLOWED = "bill put in the object store"
    CONFIG_ACCEPTED = "configuration accepted"
    CONFIG_APPLIED = "configuration applied"
    STORE_OUT = "store out"
    STORE_BACK = "store back"
    LEASE_ACQUIRED = "lease acquired"
    LEASE_LOST = "lease lost"
    MEMBER_JOINED = "member joined"
    MEMBER_SUSPECTED = "member suspected"
    MEMBER_LEFT = "member left"
    BACKEND_EJECTED = "backend server ejected"
    BACKEND_LEAVING = "backend server leaving"
    BACKEND_RESTORED = "backend server restored"
    LIST_FAULT = "instance list fault"
    ROLLOUT_ADVANCED = "roll-out advanced"
    ROLLOUT_STOPPED = "roll-out stopped"
    ROLLOUT_WAITING = "roll-out waits for ratings"
    ROLLOUT_STEP_REFUSED = "roll-out step refused"
    VERSION_WITHDRAWN = "version withdrawn"
    ORDER_SENT = "order sent"


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the timeline.

    Attributes:
        sequence: Increases by one per event of the process; a gap shows lost
            events.
        monotonic_ms: The process's own monotonic clock.
        wall_ms: Milliseconds since the epoch, by the process's wall clock.
        kind: What happened.
        subject: The request, operation, version or lease it happened to.
        detail: Short facts, name to value.
    """

    sequence: int
    monotonic_ms: float
    wall_ms: float
    kind: EventKind
    subject: str
    detail: dict[str, str]


class EventRing:
    """Keeps the newest events; dropped ones show as a gap in the sequence."""

    __slots__ = ("_clock", "_entries", "_sequence")

    def __init__(
        self, *, clock: clock_module.Clock, capacity_events: int = 8192
    ):
        if capacity_events < 1:
            raise ValueError(
                f"capacity_events is {capacity_events}; give 1 or more"
            )
        self._clock = clock
        self._entries: collections.deque[Event] = collections.deque(
            maxlen=capacity_events
        )
        self._sequence = 0

    def record(self, kind: EventKind, subject: str, **detail: str) -> None:
        """Adds an event with the current time."""
        self._sequence += 1
        milliseconds = datetime.timedelta(milliseconds=1)
        self._entries.append(
            Event(
                sequence=self._sequence,
                monotonic_ms=self._clock.monotonic() / milliseconds,
                wall_ms=self._clock.now().timestamp() * 1000,
                kind=kind,
                subject=subject,
                detail=detail,
            )
        )

    def since(self, sequence: int) -> list[Event]:
        """Returns the kept events after `sequence`, oldest first."""
        return [e for e in self._entries if e.sequence > sequence]
