"""Divides the requests that a replica takes among a few instances."""

import datetime
import math

import msgspec

from nutmeghook.internal.replicas import sender_election

# Instances that may send to one replica whose rate is limited. With fewer, it
# gets requests from few instances; with more, each may send less than one
# request a second to a cold replica.
SENDERS = 8
# Requests arrive closer together than they were sent, by this much at most.
_ARRIVAL_JITTER = datetime.timedelta(milliseconds=100)
# The bound on a replica that states a rate limit: within any such span, so many
# times what the limit allows and some requests more.
_RATE_LIMIT_SPAN = datetime.timedelta(seconds=4)
_RATE_LIMIT_OVERRUN = 1.5
_RATE_LIMIT_ALLOWANCE = 5
_COLD_WINDOW = datetime.timedelta(seconds=1) + _ARRIVAL_JITTER


class SendShare(msgspec.Struct, frozen=True, kw_only=True):
    """How the requests that a replica takes are divided among instances.

    Attributes:
        window: Requests are counted over any span of this length.
        total: Requests of all senders together within a window; at least 1.
        is_lent: Senders lend what they don't use.
    """

    window: datetime.timedelta
    total: int
    is_lent: bool = False

    @property
    def max_senders(self) -> int:
        """Number of instances that may send to the replica, at most."""
        return min(SENDERS, self.total)

    def of_sender(self, place: sender_election.SenderPlace) -> int:
        """Returns what one sender may send within a window."""
        each, left_over = divmod(self.total, place.senders)
        return each + (1 if place.rank < left_over else 0)


def cold_share(
    *, per_s: float, overrun: float, allowance: float
) -> SendShare | None:
    """Returns the division for a service's cold replicas; None if unlimited.

    Args:
        per_s: Requests a second that a cold replica can handle; 0 for no limit.
        overrun: The bound on requests in a second is `per_s` times this
        allowance: plus this many requests.
    """
    if per_s <= 0:
        return None
    return SendShare(
        window=_COLD_WINDOW,
        total=_safe_total(per_s, bound=per_s * overrun + allowance),
    )


def rate_limit_share(per_s: float) -> SendShare:
    """Returns the division of a limit that a replica states.

    A low limit is used by one sender at even intervals: of the few requests
    within the span, a division among several would lose one to rounding.

    Args:
        per_s: Requests a second from all instances together, above 0.
    """
    allowed = per_s * _RATE_LIMIT_SPAN.total_seconds()
    bound = allowed * _RATE_LIMIT_OVERRUN + _RATE_LIMIT_ALLOWANCE
    window = _RATE_LIMIT_SPAN + _ARRIVAL_JITTER
    spaced_evenly = window.total_seconds() * per_s + 1
    if spaced_evenly <= bound / 2:
        return SendShare(window=datetime.timedelta(seconds=1 / per_s), total=1)
    return SendShare(
        window=window, total=_safe_total(allowed, bound=bound), is_lent=True
    )


def occupancy_share(slots: int) -> SendShare:
    """Returns the division of a replica's slots: requests at any moment."""
    return SendShare(window=datetime.timedelta(), total=slots)


def _safe_total(target: float, *, bound: float) -> int:
    """Returns how many requests all senders together may send.

    At most half of the bound: for some seconds after a change of membership,
    instances may disagree on who the senders are, so that there are two sets
    of them.
    """
    return max(1, math.floor(min(target, bound / 2)))
