"""Decodes log lines into their typed records."""

import msgspec

from nutmeghook.internal.observe import belief_records
from nutmeghook.internal.observe import log_records


class UnreadableLineError(Exception):
    """A line that holds no log record."""


STARTED = "process:started"
STORE_AWAY = "store:away"
STORE_BACK = "store:back"
REPLICA_COLD = "replica:cold"

TYPES: dict[str, type[log_records.Record]] = {
    "attempt:sent": log_records.AttemptSent,
    "attempt:answered": log_records.AttemptAnswered,
    "attempt:weak": log_records.AttemptWeak,
    "attempt:failed": log_records.AttemptFailed,
    "attempt:left": log_records.AttemptLeft,
    "attempt:lost": log_records.AttemptLost,
    "request:ended": log_records.RequestEnded,
    "request:fault": log_records.RequestFault,
    "configuration:in_force": belief_records.ConfigurationInForce,
    "replica:listed": belief_records.ReplicaChange,
    "replica:leaving": belief_records.ReplicaChange,
    "replica:gone": belief_records.ReplicaChange,
    "replica:outdated_entry": belief_records.ReplicaChange,
    "replica:replaced": belief_records.ReplicaChange,
    REPLICA_COLD: belief_records.ReplicaChange,
    "data_centre:evacuated": belief_records.EvacuationChange,
    "data_centre:taken_back": belief_records.EvacuationChange,
    "roll_out:ordered": belief_records.RollOutChange,
    "roll_out:order_withdrawn": belief_records.RollOutChange,
    "roll_out:plan": belief_records.RollOutChange,
    "roll_out:decided": belief_records.RollOutChange,
    "roll_out:store_failed": belief_records.RollOutChange,
    "roll_out:bad_row": belief_records.RollOutChange,
    "roll_out:bad_news": belief_records.RollOutChange,
    STORE_AWAY: belief_records.StoreChange,
    STORE_BACK: belief_records.StoreChange,
    "store:history_gone": belief_records.StoreChange,
    STARTED: belief_records.ProcessChange,
    "process:leaving": belief_records.ProcessChange,
    "process:closing": belief_records.ProcessChange,
    "process:ended": belief_records.ProcessChange,
    "process:part_failed": belief_records.ProcessChange,
    "settings:applied": belief_records.ProcessChange,
    "settings:wrong": belief_records.ProcessChange,
    "log:dropped": belief_records.LinesDropped,
}


class _Head(log_records.Record, frozen=True, kw_only=True):
    """What tells a line's type; anything may stand in unknown lines."""

    request: object = None


_HEAD_DECODER = msgspec.json.Decoder(_Head)
_DECODERS = {name: msgspec.json.Decoder(type_) for name, type_ in TYPES.items()}


def decode(text: bytes) -> log_records.Record:
    """Returns the record that a JSON object holds.

    Raises:
        UnreadableLineError: It holds none, or one with wrong fields.
    """
    try:
        head = _HEAD_DECODER.decode(text)
        decoder = _DECODERS.get(head.event)
        if decoder is not None:
            return decoder.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableLineError(str(error)) from error
    if isinstance(head.request, str):
        return log_records.OtherRequestRecord(
            event=head.event,
            timestamp_s=head.timestamp_s,
            request=head.request,
            text=text.decode(errors="replace"),
        )
    return log_records.Record(event=head.event, timestamp_s=head.timestamp_s)
