"""What a replica asks of its senders, as its answers state it."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaSignals:
    """The requests of a replica in the head of one answer.

    Attributes:
        rate_limit_per_s: Requests a second that it takes from all instances
            together; None if it states no limit.
        unreadable: Descriptions of signals that have no usable value. Nothing
            is known of their subject: an unreadable limit neither sets nor
            lifts one.
    """

    rate_limit_per_s: float | None = None
    unreadable: tuple[str, ...] = ()


NONE = ReplicaSignals()
