"""What a replica asks of its senders, as its answers state it."""

import datetime

import msgspec


class ReplicaSignals(msgspec.Struct, frozen=True, kw_only=True):
    """The requests of a replica in the head of one answer.

    Attributes:
        rate_limit_per_s: Requests a second that it takes from all instances
            together; None if it states no limit.
        is_rate_limit_readable: False if it states a limit of no usable value,
            which neither sets nor lifts one.
        leaving: It is about to stop, and takes no new requests.
        rest: For so long it wants no requests from this instance; None if it
            does not say.
        refusals_per_s: It is brittle, and falls over if it turns more requests
            away in a second; None if it states nothing.
        unreadable: Descriptions of signals that have no usable value, each
            beginning with the header's name.
    """

    rate_limit_per_s: float | None = None
    is_rate_limit_readable: bool = True
    leaving: bool = False
    rest: datetime.timedelta | None = None
    refusals_per_s: int | None = None
    unreadable: tuple[str, ...] = ()


NONE = ReplicaSignals()
