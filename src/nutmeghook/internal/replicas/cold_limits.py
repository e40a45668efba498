"""Divides the request rate of a cold replica among instances."""

import dataclasses
import math

# Instances that may send to one cold replica. With fewer, it gets requests from
# few instances; with more, each may send less than one request a second.
SENDERS = 8


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ColdShare:
    """How the request rate of a cold replica is divided.

    Attributes:
        senders: Number of instances that may send to it.
        each_per_s: Requests that each of them may send in any second.
    """

    senders: int
    each_per_s: int


def cold_share(
    *, per_s: float, overrun: float, allowance: float
) -> ColdShare | None:
    """Returns the division for a service's cold replicas; None if unlimited.

    Together the senders stay below the replica's rate, and below half of the
    bound: for some seconds after a change of membership, instances may disagree
    on who the senders are, so that there are two sets of them.

    Args:
        per_s: Requests a second that a cold replica can handle; 0 for no limit.
        overrun: The bound on requests in a second is `per_s` times this
        allowance: plus this many requests.
    """
    if per_s <= 0:
        return None
    together = min(per_s, (per_s * overrun + allowance) / 2)
    each = math.floor(together / SENDERS)
    if each:
        return ColdShare(senders=SENDERS, each_per_s=each)
    return ColdShare(senders=max(1, math.floor(together)), each_per_s=1)
