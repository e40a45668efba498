"""Operators' orders to roll out a version, and their states."""

import enum

import msgspec

from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.observe import logs


class OrderState(enum.Enum):
    """State of an order."""

    RUNNING = "running"
    COMPLETED = "completed"
    REVERTED = "reverted"


class RollOutOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to move a service to a version.

    Attributes:
        within_s: Seconds from the order to its end.
        order_id: Distinguishes this order from an earlier equal one: the
            revision of its row when it was placed.
    """

    service: str
    version: str
    within_s: float
    order_id: int

    def is_rewrite_of(self, former: "RollOutOrder") -> bool:
        """Tells whether it is an order that was lost and written again.

        After a restore of the store from an older copy, the operator writes its
        orders again, which gives their rows new revisions.
        """
        return revisions.epoch_of(former.order_id) < revisions.epoch_of(
            self.order_id
        ) and self == msgspec.structs.replace(former, order_id=self.order_id)


class OrderRegistry:
    """The newest known order for each service."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service: dict[str, RollOutOrder] = {}

    def place(self, order: RollOutOrder) -> None:
        """Adds an order; it replaces an older one of its service."""
        known = self._by_service.get(order.service)
        if known is not None and (
            known.order_id >= order.order_id or order.is_rewrite_of(known)
        ):
            return
        self._by_service[order.service] = order
        logs.note(
            "roll_out:ordered",
            service=order.service,
            version=order.version,
            within_s=order.within_s,
            order=order.order_id,
        )

    def recognise(self, former: RollOutOrder) -> None:
        """Takes over an order's former id if it was written again since.

        An instance that started in between knows only its new id, and its plan
        has the former one.
        """
        known = self._by_service.get(former.service)
        if known is not None and known.is_rewrite_of(former):
            self._by_service[former.service] = former

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
