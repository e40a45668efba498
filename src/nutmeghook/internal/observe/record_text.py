"""Log records as readable text."""

import datetime
import functools

import msgspec

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import state_records

_CODE_NAMES = {code.number: code.name for code in codes.Code}
_COMMON_FIELDS = frozenset({"event", "timestamp_s"})


def wall_time(at_s: float) -> str:
    """Returns a Unix time as text in UTC."""
    try:
        moment = datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return f"{at_s} s"
    return moment.isoformat(sep=" ", timespec="milliseconds")


def printable(text: str) -> str:
    """Returns a text with its unprintable characters escaped.

    Request ids come from callers and errors from replicas; a control sequence
    in one of them could overwrite other output on an operator's terminal.
    """
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )


def code_name(number: int) -> str:
    """Returns a result code's name; empty if there is none of this number."""
    return _CODE_NAMES.get(number, "")


@functools.singledispatch
def describe(record: log_records.Record) -> str:
    """Returns a record as text; by default, its event and its fields."""
    return f"{record.event}{_details(record)}"


@describe.register
def _sent(record: log_records.AttemptSent) -> str:
    detail = _details(record, "request", "attempt", "replica")
    return f"attempt {record.attempt} sent to {record.replica}{detail}"


@describe.register
def _answered(record: log_records.AttemptAnswered) -> str:
    detail = _details(record, "request", "attempt", "replica")
    return f"attempt {record.attempt} answered by {record.replica}{detail}"


@describe.register
def _weak(record: log_records.AttemptWeak) -> str:
    detail = _details(record, "request", "model", "next_model")
    return (
        f"answer of {record.model} was weak, {record.next_model} is asked"
        f"{detail}"
    )


@describe.register
def _held_back(record: log_records.RequestHeldBack) -> str:
    asked = zip(record.replicas or (), record.signals or (), strict=False)
    reasons = ", ".join(f"{replica} ({signal})" for replica, signal in asked)
    return f"held back from {reasons}"


@describe.register
def _no_room(record: log_records.RequestNoRoom) -> str:
    detail = _details(record, "request", "team")
    return f"refused, no capacity for team {record.team}{detail}"


@describe.register
def _cannot_end(record: log_records.RequestCannotEnd) -> str:
    detail = _details(record, "request")
    return f"refused before it was sent, for its expected end{detail}"


@describe.register
def _no_memory(record: log_records.RequestNoMemory) -> str:
    detail = _details(record, "request")
    return f"refused, too many bytes held for callers{detail}"


@describe.register
def _incomplete_at_stop(record: log_records.RequestIncompleteAtStop) -> str:
    detail = _details(record, "request")
    return f"refused, its body had not come before the stop{detail}"


@describe.register
def _not_reading(record: log_records.CallerNotReading) -> str:
    detail = _details(record, "request")
    return f"the caller does not read its answer{detail}"


@describe.register
def _failed(record: log_records.AttemptFailed) -> str:
    return f"attempt {record.attempt} failed, {record.outcome}: {record.error}"


@describe.register
def _left(record: log_records.AttemptLeft) -> str:
    state = "accepts no connection" if record.dark else "is silent"
    if record.silence_ms is not None and not record.dark:
        state += f" for {record.silence_ms:.0f} ms or more"
    text = f"attempt {record.attempt} left: {record.replica} {state}"
    if record.begun:
        text += ", the answer had begun"
    if record.after_event is not None:
        text += f", goes on after event {record.after_event}"
    return text


@describe.register
def _tunnelled(record: log_records.AttemptTunnelled) -> str:
    return f"{record.replica} is reached through the peer at {record.helper}"


@describe.register
def _lost(record: log_records.AttemptLost) -> str:
    detail = _details(record, "request", "attempt", "replica", "replica_now")
    return (
        f"attempt {record.attempt} lost {record.replica}, which now "
        f"{record.replica_now}{detail}"
    )


@describe.register
def _end_unconfirmed(record: log_records.AnswerEndUnconfirmed) -> str:
    detail = _details(record, "request", "replica", "replica_now")
    return (
        f"the answer of {record.replica} may be incomplete; the replica now "
        f"{record.replica_now}{detail}"
    )


@describe.register
def _ended(record: log_records.RequestEnded) -> str:
    detail = _details(record, "request", "code", "outcome", "cut")
    code = f"{record.code} {code_name(record.code)}".rstrip()
    state = _answer_state(record)
    return f"ended {code}: {record.outcome}; {state}{detail}"


@describe.register
def _other(record: log_records.OtherRequestRecord) -> str:
    return f"{record.event} {record.text.strip()}"


@describe.register
def _in_force(record: state_records.ConfigurationInForce) -> str:
    detail = _details(record, "version")
    return f"configuration {record.version} put in force{detail}"


def _answer_state(record: log_records.RequestEnded) -> str:
    if record.cut is None:
        return "not logged whether an answer was cut"
    return "the answer had begun and was CUT" if record.cut else "not cut"


def _details(record: log_records.Record, *left_out: str) -> str:
    """Returns the other fields that have a value, in parentheses."""
    fields = [
        f"{name}={_short(value)}"
        for name, value in msgspec.structs.asdict(record).items()
        if value is not None
        and name not in _COMMON_FIELDS
        and name not in left_out
    ]
    return f" ({' '.join(fields)})" if fields else ""


def _short(value: object) -> object:
    """Returns whole numbers without a decimal point."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value
