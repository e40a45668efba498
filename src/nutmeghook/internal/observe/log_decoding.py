"""Decodes log lines into their typed records."""

import msgspec

from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import state_records


class UnreadableLineError(Exception):
    """A line that holds no log record."""


STARTED = "process:started"
STORE_AWAY = "store:away"
STORE_BACK = "store:back"
REPLICA_COLD = "replica:cold"
REPLICA_RATE_LIMIT = "replica:rate_limit"
REPLICA_REST = "replica:rest"
REPLICA_SENDER = "replica:sender"
REPLICA_SPEED = "replica:speed"
REPLICA_UNREADABLE_SIGNAL = "replica:unreadable_signal"

TYPES: dict[str, type[log_records.Record]] = {
    "attempt:sent": log_records.AttemptSent,
    "attempt:answered": log_records.AttemptAnswered,
    "attempt:weak": log_records.AttemptWeak,
    "attempt:failed": log_records.AttemptFailed,
    "attempt:left": log_records.AttemptLeft,
    "attempt:tunnelled": log_records.AttemptTunnelled,
    "attempt:lost": log_records.AttemptLost,
    "answer:end_unconfirmed": log_records.AnswerEndUnconfirmed,
    "request:ended": log_records.RequestEnded,
    "request:fault": log_records.RequestFault,
    "request:cannot_end": log_records.RequestCannotEnd,
    "request:held_back": log_records.RequestHeldBack,
    "request:no_room": log_records.RequestNoRoom,
    "request:no_memory": log_records.RequestNoMemory,
    "request:incomplete_at_stop": log_records.RequestIncompleteAtStop,
    "caller:not_reading": log_records.CallerNotReading,
    "configuration:in_force": state_records.ConfigurationInForce,
    "replica:listed": state_records.ReplicaChange,
    "replica:leaving": state_records.ReplicaChange,
    "replica:gone": state_records.ReplicaChange,
    "replica:outdated_entry": state_records.ReplicaChange,
    "replica:replaced": state_records.ReplicaChange,
    REPLICA_COLD: state_records.ReplicaChange,
    REPLICA_RATE_LIMIT: state_records.ReplicaChange,
    REPLICA_REST: state_records.ReplicaChange,
    REPLICA_SENDER: state_records.ReplicaChange,
    REPLICA_SPEED: state_records.ReplicaChange,
    REPLICA_UNREADABLE_SIGNAL: state_records.ReplicaChange,
    "data_centre:evacuated": state_records.EvacuationChange,
    "data_centre:taken_back": state_records.EvacuationChange,
    "roll_out:ordered": state_records.RollOutChange,
    "roll_out:order_withdrawn": state_records.RollOutChange,
    "roll_out:plan": state_records.RollOutChange,
    "roll_out:decided": state_records.RollOutChange,
    "roll_out:held": state_records.RollOutChange,
    "roll_out:store_failed": state_records.RollOutChange,
    "roll_out:bad_row": state_records.RollOutChange,
    "roll_out:bad_news": state_records.RollOutChange,
    STORE_AWAY: state_records.StoreChange,
    STORE_BACK: state_records.StoreChange,
    "store:history_gone": state_records.StoreChange,
    "store:outage_over": state_records.StoreChange,
    "store:restored": state_records.StoreChange,
    STARTED: state_records.ProcessChange,
    "process:leaving": state_records.ProcessChange,
    "process:closing": state_records.ProcessChange,
    "process:ended": state_records.ProcessChange,
    "process:part_failed": state_records.ProcessChange,
    "settings:applied": state_records.ProcessChange,
    "settings:wrong": state_records.ProcessChange,
    "log:dropped": state_records.LinesDropped,
}


class _LineHeader(log_records.Record, frozen=True, kw_only=True):
    """What selects a line's type; unknown events may have any `request`."""

    request: object = None


_HEADER_DECODER = msgspec.json.Decoder(_LineHeader)
_DECODERS = {name: msgspec.json.Decoder(type_) for name, type_ in TYPES.items()}


def decode(text: bytes) -> log_records.Record:
    """Returns the record that a JSON object holds.

    Raises:
        UnreadableLineError: It is no record, or one with invalid fields.
    """
    try:
        header = _HEADER_DECODER.decode(text)
        decoder = _DECODERS.get(header.event)
        if decoder is not None:
            return decoder.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableLineError(str(error)) from error
    if isinstance(header.request, str):
        return log_records.OtherRequestRecord(
            event=header.event,
            timestamp_s=header.timestamp_s,
            request=header.request,
            text=text.decode(errors="replace"),
        )
    return log_records.Record(
        event=header.event, timestamp_s=header.timestamp_s
    )
