"""Decodes roll-out orders and encodes their status."""

from typing import Annotated

import msgspec

from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import stored_json
from nutmeghook.internal.version_plans import driver
from nutmeghook.internal.version_plans import orders
from nutmeghook.internal.version_plans import plan

STATUS_TABLE = "status"
ORDER_PREFIX = "rollout/"
_STATES = {
    orders.OrderState.RUNNING: "in_progress",
    orders.OrderState.COMPLETED: "completed",
    orders.OrderState.REVERTED: "reverted",
}


class _Order(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    # The version that all replicas have at the end.
    to: str
    # Seconds from the order to the end of the roll-out.
    within_s: Annotated[float, msgspec.Meta(ge=0.0, le=plan.MAX_WITHIN_S)]


class _Status(msgspec.Struct, frozen=True):
    service: str
    to: str
    state: str


_DECODER = msgspec.json.Decoder(_Order)


def decode_order(value: bytes, row_version: int) -> orders.RollOutOrder:
    """Returns the order.

    Raises:
        ValueError: It is malformed.
    """
    wire = stored_json.decode(value, _DECODER)
    return orders.RollOutOrder(
        service=wire.service,
        version=wire.to,
        within_s=wire.within_s,
        order_id=row_version,
    )


class PlatformStatusRows(driver.StatusRows):
    """The rows in which the operator reads the status of its orders."""

    __slots__ = ()

    def put(
        self, order: orders.RollOutOrder, state: orders.OrderState
    ) -> table.Put:
        """Returns the write of an order's state."""
        status = _Status(
            service=order.service, to=order.version, state=_STATES[state]
        )
        return table.Put(
            key=f"{STATUS_TABLE}/{ORDER_PREFIX}{order.service}",
            value=msgspec.json.encode(status),
        )
