"""How many requests a cold replica bears, and how instances share that."""

import dataclasses
import math

# Instances that may send to one cold replica. With fewer, work reaches it from
# few places; with more, each may send it less than one request a second.
SENDERS = 8


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ColdShare:
    """How a cold replica's requests are shared.

    Attributes:
        senders: Instances that may send to it.
        each_per_s: Requests that each of them may send in any second.
    """

    senders: int
    each_per_s: int


def cold_share(
    *, per_s: float, overrun: float, allowance: float
) -> ColdShare | None:
    """Returns how a service's cold replicas are shared; None if unlimited.

    Together the senders stay below what the replica bears, and below half of
    the bound: for some seconds after members were lost or found, instances may
    disagree on who the senders are.

    Args:
        per_s: Requests a second that a cold replica bears; 0 for any number.
        overrun: The bound is so many times as high,
        allowance: and so many requests higher.
    """
    if per_s <= 0:
        return None
    together = min(per_s, (per_s * overrun + allowance) / 2)
    each = math.floor(together / SENDERS)
    if each:
        return ColdShare(senders=SENDERS, each_per_s=each)
    return ColdShare(senders=max(1, math.floor(together)), each_per_s=1)
