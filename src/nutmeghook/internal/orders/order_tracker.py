"""The open orders of this holder of the lease."""

import collections
import dataclasses
import datetime

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import planning

LOAD_TIMEOUT = datetime.timedelta(minutes=15)
# An engine's report may lag behind its answer to an order by this much.
REPORT_LAG = datetime.timedelta(seconds=10)


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenOrder:
    """An order whose effect the reports don't show yet.

    Attributes:
        answered: The engine has confirmed that it received the order.
        done_at: When the engine first answered that the order is done.
    """

    order: engine.Order
    placement: planning.Placement
    sent_at: datetime.timedelta
    answered: bool = False
    done_at: datetime.timedelta | None = None


class OrderTracker:
    """Open orders, and engines that get no new orders for a while.

    This state is not handed over: a new holder starts with none and learns from
    the engines' reports what became of its predecessor's orders.
    """

    __slots__ = ("_avoided", "_finished", "_open", "_token")

    def __init__(self, *, token: int):
        self._token = token
        self._open: dict[planning.Placement, OpenOrder] = {}
        self._avoided: dict[str, datetime.timedelta] = {}
        self._finished: collections.Counter[str] = collections.Counter()

    def open_orders(self) -> list[OpenOrder]:
        """Returns the open orders, oldest first."""
        return list(self._open.values())

    def count_open_loads(self) -> int:
        """Returns the number of open loads."""
        return sum(
            entry.order.kind is engine.OrderKind.LOAD
            for entry in self._open.values()
        )

    def is_open(self, version: engine.ModelVersion) -> bool:
        """Tells whether any order for a version is open."""
        return any(p.model_version == version for p in self._open)

    def begin(
        self,
        kind: engine.OrderKind,
        placement: planning.Placement,
        *,
        secret: str,
        ticket: str = "",
        now: datetime.timedelta,
    ) -> OpenOrder:
        """Opens an order, with an id derived from its content.

        An open order is sent again under the same id. After it is finished, an
        equal order gets a new id: engines answer a known id with its earlier
        outcome and would not load a second time.
        """
        subject = f"{kind.value}-{placement.model_version}-{placement.address}"
        entry = OpenOrder(
            order=engine.Order(
                order_id=f"{self._token}-{subject}-{self._finished[subject]}",
                kind=kind,
                target=str(placement.model_version),
                fencing_token=self._token,
                secret=secret,
                ticket=ticket,
            ),
            placement=placement,
            sent_at=now,
        )
        self._open[placement] = entry
        return entry

    def finish(self, entry: OpenOrder) -> None:
        """Closes an order that is done or abandoned."""
        self._open.pop(entry.placement, None)
        order = entry.order
        self._finished[
            f"{order.kind.value}-{order.target}-{entry.placement.address}"
        ] += 1

    def avoid(self, address: str, until: datetime.timedelta) -> None:
        """Sends an engine no new orders until a moment."""
        self._avoided[address] = until

    def is_avoided(self, address: str, now: datetime.timedelta) -> bool:
        """Tells whether an engine gets no new orders at present."""
        return self._avoided.get(address, now) > now

    def apply_reports(
        self, engines: planning.Engines, now: datetime.timedelta
    ) -> planning.Engines:
        """Closes the orders that are done or will never be, by the reports.

        Returns:
            The engines with `loading` and `avoided` set.
        """
        views = {view.address: view for view in engines}
        for entry in self.open_orders():
            view = views.get(entry.placement.address)
            if _is_finished(entry, view, now):
                self.finish(entry)
        return [
            dataclasses.replace(
                view,
                loading=self._loading(view.address),
                avoided=self.is_avoided(view.address, now),
            )
            for view in engines
        ]

    def _loading(self, address: str) -> frozenset[engine.ModelVersion]:
        return frozenset(
            placement.model_version
            for placement, entry in self._open.items()
            if placement.address == address
            and entry.order.kind is engine.OrderKind.LOAD
        )


def _is_finished(
    entry: OpenOrder,
    view: fleet_reading.EngineView | None,
    now: datetime.timedelta,
) -> bool:
    """Tells whether an order is done or will never be done.

    An order ends with its engine if that is gone from the list or is leaving;
    the plan then chooses another engine.
    """
    if view is None or view.leaving:
        return True
    if now - entry.sent_at > LOAD_TIMEOUT:
        return True
    if view.loaded is None:
        return now - entry.sent_at > REPORT_LAG
    done_at = entry.done_at
    if done_at is not None and view.measured_at > done_at + REPORT_LAG:
        # The report shows the effect, or a later order or a restart has undone
        # it, and the next plan contains it again. An earlier report may not
        # show the effect yet, and the order would be sent again.
        return True
    shown = entry.placement.model_version in view.loaded
    if entry.order.kind is engine.OrderKind.LOAD:
        return shown
    return not shown
