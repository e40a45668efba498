"""The orders that this holder of the lease has under way."""

import collections
import dataclasses
import datetime

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import planning

LOAD_TIMEOUT = datetime.timedelta(minutes=15)
# An engine's report may be this much older than its answer to an order.
REPORT_LAG = datetime.timedelta(seconds=10)


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenOrder:
    """An order whose effect the reports don't show yet.

    Attributes:
        answered: The engine said that it has it.
        done_at: When it first said that it is done.
    """

    order: engine.Order
    placement: planning.Placement
    sent_at: datetime.timedelta
    answered: bool = False
    done_at: datetime.timedelta | None = None


class OrderTracker:
    """Open orders, and engines to be left alone for a while.

    All of it is this holder's own: a new holder starts with an empty book
    and learns from the engines' reports what came of its predecessor's.
    """

    __slots__ = ("_avoided", "_finished", "_open", "_token")

    def __init__(self, *, token: int):
        self._token = token
        self._open: dict[planning.Placement, OpenOrder] = {}
        self._avoided: dict[str, datetime.timedelta] = {}
        self._finished: collections.Counter[str] = collections.Counter()

    def open_orders(self) -> list[OpenOrder]:
        """Returns the orders under way, oldest first."""
        return list(self._open.values())

    def count_open_loads(self) -> int:
        """Returns how many loads are under way."""
        return sum(
            entry.order.kind is engine.OrderKind.LOAD
            for entry in self._open.values()
        )

    def is_open(self, version: engine.ModelVersion) -> bool:
        """Tells whether any order about a version is under way."""
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
        """Opens an order, with an id that follows from what it is.

        Repeating the order until it is answered uses the same id. Once it is
        finished, the same order gets another: engines answer a known id with
        what became of it then, and would not load a second time.
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
        """Closes an order, done or given up."""
        self._open.pop(entry.placement, None)
        order = entry.order
        self._finished[
            f"{order.kind.value}-{order.target}-{entry.placement.address}"
        ] += 1

    def avoid(self, address: str, until: datetime.timedelta) -> None:
        """Gives an engine no new order until a moment."""
        self._avoided[address] = until

    def is_avoided(self, address: str, now: datetime.timedelta) -> bool:
        """Tells whether an engine is to be left alone."""
        return self._avoided.get(address, now) > now

    def apply_reports(
        self, engines: planning.Engines, now: datetime.timedelta
    ) -> planning.Engines:
        """Closes what the reports show as done, or as never to be done.

        Returns:
            The engines, with what is being loaded on them and whether they
            are to be left alone.
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
    """Tells whether nothing more is to be expected of an order.

    An engine that is gone from the list, or says that it leaves, took its
    order with it; the plan chooses another one.
    """
    if view is None or view.leaving:
        return True
    if now - entry.sent_at > LOAD_TIMEOUT:
        return True
    if view.loaded is None:
        return now - entry.sent_at > REPORT_LAG
    done_at = entry.done_at
    if done_at is not None and view.measured_at > done_at + REPORT_LAG:
        # Shown, or undone since by a later order or a restart: the plan
        # starts anew from the reports. A report from before that moment may
        # not show what was done, and the order would be given again.
        return True
    shown = entry.placement.model_version in view.loaded
    if entry.order.kind is engine.OrderKind.LOAD:
        return shown
    return not shown
