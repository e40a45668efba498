"""How a roll-out stands, as all instances agree on it through one row."""

import datetime
import enum

import msgspec

from nutmeghook.internal.version_plans import orders


class Verdict(enum.Enum):
    """What was decided on the new version."""

    OPEN = "open"
    BAD = "bad"
    GOOD = "good"


class PlanRow(msgspec.Struct, frozen=True, kw_only=True):
    """The row of one service.

    Attributes:
        order_id: The order that it carries out.
        started_ms: The store's steady time when the first instance saw it.
        trial_share: The new version's share of requests until the last
            stretch; 0 where whoever wrote the row did not say.
        reason: What the verdict rests on.
    """

    order_id: int
    service: str
    version: str
    started_ms: float
    within_s: float
    trial_share: float = 0.0
    verdict: Verdict = Verdict.OPEN
    reason: str = ""

    def elapsed_fraction_at(self, store_time: datetime.timedelta) -> float:
        """Returns which part of the order's time has passed."""
        started = datetime.timedelta(milliseconds=self.started_ms)
        passed_s = (store_time - started).total_seconds()
        return max(0.0, passed_s / max(self.within_s, 1.0))

    @property
    def is_open(self) -> bool:
        """Tells whether nothing was decided yet."""
        return self.verdict is Verdict.OPEN

    @property
    def state(self) -> orders.OrderState:
        """What the operator is told."""
        if self.verdict is Verdict.BAD:
            return orders.OrderState.REVERTED
        if self.verdict is Verdict.GOOD:
            return orders.OrderState.COMPLETED
        return orders.OrderState.RUNNING
