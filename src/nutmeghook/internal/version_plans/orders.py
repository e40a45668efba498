"""Operators' orders to roll out a version, and their states."""

import dataclasses
import enum

from nutmeghook.internal.observe import logs


class OrderState(enum.Enum):
    """State of an order."""

    RUNNING = "running"
    COMPLETED = "completed"
    REVERTED = "reverted"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RollOutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        order_id: Distinguishes this order from an earlier equal one.
        within_s: Seconds from the order to its end.
    """

    service: str
    version: str
    within_s: float
    order_id: int


class OrderRegistry:
    """The newest known order for each service."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service: dict[str, RollOutOrder] = {}

    def place(self, order: RollOutOrder) -> None:
        """Adds an order; it replaces an older one of its service."""
        known = self._by_service.get(order.service)
        if known is not None and known.order_id >= order.order_id:
            return
        self._by_service[order.service] = order
        logs.note(
            "roll_out:ordered",
            service=order.service,
            version=order.version,
            within_s=order.within_s,
            order=order.order_id,
        )

    def withdraw(self, service: str) -> None:
        """Removes an order that the operator has withdrawn."""
        if self._by_service.pop(service, None) is not None:
            logs.note("roll_out:order_withdrawn", service=service)

    def all(self) -> list[RollOutOrder]:
        """Returns the orders."""
        return list(self._by_service.values())

    def of_service(self, service: str) -> RollOutOrder | None:
        """Returns a service's order, if there is one."""
        return self._by_service.get(service)
