"""State of a roll-out, shared by all instances in one row."""

import datetime
import enum
from typing import Annotated

import msgspec

from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.foundation import stored_json
from nutmeghook.internal.version_plans import orders

# Replicas of a bad version end soon after its verdict, so the latest suffice.
_MAX_WITHDRAWN = 8
# Ten years.
MAX_WITHIN_S = 315_360_000.0
# Some 30,000 years.
_MAX_TIME_MS = 1e15


class Verdict(enum.Enum):
    """Decision on the new version."""

    OPEN = "open"
    BAD = "bad"
    GOOD = "good"


class PlanRow(msgspec.Struct, frozen=True, kw_only=True):
    """The row of one service.

    Attributes:
        order_id: The order that the plan carries out.
        started_ms: The store's steady time, in milliseconds, when the first
            instance began the order.
        within_s: Seconds from the order to its end.
        trial_share: The new version's share of requests before the final
            phase (the canary's share); 0 if the row's writer did not set it.
        reason: Grounds for the verdict.
        withdrawn: Other versions that were found bad, the latest last. Their
            replicas may still be listed.
        old_version: Version that the order moves the service from; empty if it
            isn't known.
    """

    order_id: Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_REVISION)]
    service: str
    version: str
    started_ms: Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_TIME_MS)]
    within_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WITHIN_S)]
    trial_share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    verdict: Verdict = Verdict.OPEN
    reason: str = ""
    withdrawn: tuple[str, ...] = ()
    old_version: str = ""

    def elapsed_fraction_at(self, store_time: datetime.timedelta) -> float:
        """Returns the elapsed fraction of the order's time; may exceed 1."""
        started = datetime.timedelta(milliseconds=self.started_ms)
        passed_s = (store_time - started).total_seconds()
        return max(0.0, passed_s / max(self.within_s, 1.0))

    def is_after(self, other: "PlanRow") -> bool:
        """Tells whether another plan of the service is no news beside it."""
        if self.order_id == other.order_id:
            return not self.is_open
        return self.order_id > other.order_id and not (
            self.order.is_rewrite_of(other.order)
        )

    def withdrawn_beside(self, order: orders.RollOutOrder) -> tuple[str, ...]:
        """Returns versions found bad that must not run requests.

        Args:
            order: The service's newest order. A version that is ordered again
                is given another trial.
        """
        found = self.withdrawn
        if self.verdict is Verdict.BAD:
            found = (*(v for v in found if v != self.version), self.version)
        return tuple(v for v in found if v != order.version)[-_MAX_WITHDRAWN:]

    def old_version_beside(self, order: orders.RollOutOrder) -> str:
        """Returns the version that an order moves the service from.

        It is known if the order before moved the service to it, or back to it;
        empty otherwise.

        Args:
            order: The service's newest order.
        """
        if self.order_id == order.order_id or self.verdict is Verdict.BAD:
            old = self.old_version
        elif self.verdict is Verdict.GOOD:
            old = self.version
        else:
            old = ""
        return "" if old == order.version else old

    @property
    def order(self) -> orders.RollOutOrder:
        """The order that the plan carries out."""
        return orders.RollOutOrder(
            service=self.service,
            version=self.version,
            within_s=self.within_s,
            order_id=self.order_id,
        )

    @property
    def is_open(self) -> bool:
        """Tells whether there is no verdict yet."""
        return self.verdict is Verdict.OPEN

    @property
    def state(self) -> orders.OrderState:
        """The order's state as shown to the operator."""
        if self.verdict is Verdict.BAD:
            return orders.OrderState.REVERTED
        if self.verdict is Verdict.GOOD:
            return orders.OrderState.COMPLETED
        return orders.OrderState.RUNNING


_DECODER = msgspec.json.Decoder(PlanRow)


def decode(value: bytes) -> PlanRow:
    """Returns the plan of a row.

    Raises:
        stored_json.UnreadableError: It is none.
    """
    return stored_json.decode(value, _DECODER)
