"""Brings the engines to the desired state, on the holder of the lease.

No state has to survive this task: the desired state follows from the
configuration, the actual state from the engines' own reports, and orders state
targets, not steps. So any instance can continue from any point, and orders sent
twice, late, or by two holders at once are corrected by the next pass.
"""

import datetime

from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import lease as lease_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.orders import drain_tracker
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import order_tracker
from nutmeghook.internal.orders import planning
from nutmeghook.internal.orders import weight_grants

LEASE_NAME = "orders"
ORDER_TIMEOUT = datetime.timedelta(seconds=5)
# A new holder sends nothing for this long. By then its predecessor's last order
# has arrived or is lost, unless the predecessor was paused while sending it.
TAKEOVER_DELAY = 2 * ORDER_TIMEOUT
# The token of the lease's first holder, which has no predecessor.
FIRST_TOKEN = 1
MAX_CONCURRENT_LOADS = 4
MAX_CONFIG_AGE = datetime.timedelta(seconds=10)
REFUSAL_BACKOFF = datetime.timedelta(seconds=10)
FORBIDDEN_BACKOFF = datetime.timedelta(minutes=5)

_MAX_GRANT_WAIT = datetime.timedelta(seconds=2)
_CONFIG_POLL_PERIOD = datetime.timedelta(seconds=1)
_MIN_PASS_PERIOD = datetime.timedelta(seconds=2)


class LeaseLostError(Exception):
    """The lease is no longer held; no order may be sent."""


class OrderController:
    """Reads reports, plans, and sends the orders that limits allow."""

    __slots__ = (
        "_clock",
        "_connector",
        "_drain",
        "_engines",
        "_events",
        "_fenced_token",
        "_grants",
        "_lease",
        "_planned_revision",
        "_reader",
        "_secret",
        "_takeover_ends_at",
        "_token",
        "_tracker",
        "_view",
    )

    def __init__(
        self,
        *,
        view: view_module.ConfigView,
        lease: lease_module.Lease,
        reader: fleet_reading.FleetReader,
        connector: engine.EngineConnector,
        grants: weight_grants.GrantPacer,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        secret: str = "",
    ):
        self._view = view
        self._lease = lease
        self._reader = reader
        self._connector = connector
        self._grants = grants
        self._clock = clock
        self._events = events
        self._secret = secret
        self._engines: planning.Engines = []
        self._planned_revision = 0
        self._takeover_ends_at = datetime.timedelta()
        self._fenced_token: int | None = None
        self._reset()

    async def run(self) -> None:
        """Makes a pass each period until cancelled."""
        while True:
            await self.step()
            period = max(_MIN_PASS_PERIOD, self._reader.cost)
            next_pass = self._clock.monotonic() + period
            while self._clock.monotonic() < next_pass:
                await self._clock.sleep(_CONFIG_POLL_PERIOD)
                if self._view.snapshot.revision != self._planned_revision:
                    await self.step(read_reports=False)

    async def step(self, *, read_reports: bool = True) -> None:
        """Makes one pass, if the lease is held.

        Args:
            read_reports: Reads the engines' reports first. Otherwise only loads
                are ordered, by the reports of the last pass: a roll-out must
                not wait until a large fleet has been read.
        """
        token = self._lease.fencing_token()
        if token is None or token == self._fenced_token:
            self._reset()
            return
        if token != self._token:
            self._take_over(token)
        if self._clock.monotonic() < self._takeover_ends_at:
            return
        try:
            if read_reports:
                await self._pass()
            else:
                await self._load_all(self._plan())
        except LeaseLostError:
            self._reset()
        except (failures.PlatformError, TimeoutError):
            # Without the instance list nothing is ordered; engines continue to
            # serve the versions that they have loaded.
            return

    def _reset(self) -> None:
        self._token: int | None = None
        self._tracker = order_tracker.OrderTracker(token=0)
        self._drain = drain_tracker.DrainTracker()

    def _take_over(self, token: int) -> None:
        self._reset()
        self._token = token
        self._tracker = order_tracker.OrderTracker(token=token)
        self._takeover_ends_at = self._clock.monotonic()
        if token != FIRST_TOKEN:
            self._takeover_ends_at += TAKEOVER_DELAY

    async def _pass(self) -> None:
        self._engines = await self._reader.read(
            urgent=frozenset(
                entry.placement.address for entry in self._tracker.open_orders()
            ),
            # Unloading is decided by the engines' own reports: cell pages are
            # older and don't say whether an engine is idle.
            first_hand=frozenset(
                placement.address for placement in self._drain.placements()
            ),
        )
        plan = self._plan()
        self._drain.update(plan, self._clock.monotonic())
        await self._resend_open_orders()
        await self._load_all(plan)
        if self._may_unload():
            await self._unload_all(plan)

    def _plan(self) -> planning.Plan:
        snapshot = self._view.snapshot
        self._planned_revision = snapshot.revision
        engines = self._tracker.apply_reports(
            self._engines, self._clock.monotonic()
        )
        return planning.make_plan(snapshot, engines)

    def _may_unload(self) -> bool:
        """Tells whether the configuration was confirmed recently enough.

        An instance that is cut off from the others may hold a configuration in
        which a version is withdrawn that has been restored since. Loading too
        much does no harm, so only unloading waits.
        """
        age = self._view.confirmed_age()
        return age is not None and age <= MAX_CONFIG_AGE

    async def _resend_open_orders(self) -> None:
        """Sends the open orders again under the same ids.

        Engines answer with the order's state; an order that was lost is
        delivered this time.
        """
        for entry in self._tracker.open_orders():
            await self._send(entry)

    async def _load_all(self, plan: planning.Plan) -> None:
        """Orders loads, paced by the grants of the weight store.

        If the store asks for a longer wait, the rest is left to the next pass:
        this plan would be too old by then.
        """
        for placement in plan.loads:
            if self._tracker.count_open_loads() >= MAX_CONCURRENT_LOADS:
                return
            wait = self._grants.time_until_next()
            if wait > _MAX_GRANT_WAIT:
                return
            await self._clock.sleep(wait)
            await self._load(placement)

    async def _load(self, placement: planning.Placement) -> None:
        now = self._clock.monotonic()
        if self._tracker.is_avoided(placement.address, now):
            return
        self._check_lease()
        ticket = await self._grants.ticket_for(placement)
        if ticket is None:
            return
        entry = self._tracker.begin(
            engine.OrderKind.LOAD,
            placement,
            secret=self._secret,
            ticket=ticket,
            now=now,
        )
        await self._send(entry)

    async def _unload_all(self, plan: planning.Plan) -> None:
        now = self._clock.monotonic()
        snapshot = self._view.snapshot
        views = {view.address: view for view in self._engines}
        for placement in plan.withdrawn:
            view = views[placement.address]
            if self._drain.has_drained(placement, view, snapshot, now):
                await self._unload(placement)
        for placement in plan.surplus:
            if self._drain.has_stayed_surplus(placement, now):
                await self._unload(placement)

    async def _unload(self, placement: planning.Placement) -> None:
        """Unloads one replica, unless an order for its version is open.

        With at most one open order for each version, an order that arrives
        late removes at most one replica too many, and `planning.MIN_REPLICAS`
        is two.
        """
        now = self._clock.monotonic()
        if self._tracker.is_open(placement.model_version):
            return
        if self._tracker.is_avoided(placement.address, now):
            return
        entry = self._tracker.begin(
            engine.OrderKind.UNLOAD, placement, secret=self._secret, now=now
        )
        await self._send(entry)

    def _check_lease(self) -> None:
        if self._lease.fencing_token() != self._token:
            raise LeaseLostError

    async def _send(self, entry: order_tracker.OpenOrder) -> None:
        """Sends an order and handles the answer.

        The lease is checked just before: a process that was paused since the
        pass began finds out here that its lease has expired.
        """
        self._check_lease()
        address = entry.placement.address
        try:
            state = await self._clock.wait_for(
                self._connector.connect(address).order(entry.order),
                ORDER_TIMEOUT,
            )
        except failures.NotDoneError:
            self._handle_not_done(entry)
            return
        except (failures.OutcomeUnknownError, TimeoutError):
            self._record(entry, "unknown")
            return
        self._record(entry, state.value)
        self._handle_state(entry, state)

    def _handle_not_done(self, entry: order_tracker.OpenOrder) -> None:
        self._record(entry, "not done")
        if entry.order.ticket and not entry.answered:
            self._grants.return_ticket(entry.placement, entry.order.ticket)
        self._give_up(entry, REFUSAL_BACKOFF)

    def _handle_state(
        self, entry: order_tracker.OpenOrder, state: engine.OrderState
    ) -> None:
        if state is engine.OrderState.FENCED:
            # The engine has received a newer token. Even if the lease still
            # looks held here, no more orders may be sent under this one.
            self._fenced_token = self._token
            raise LeaseLostError
        if state is engine.OrderState.FORBIDDEN:
            self._give_up(entry, FORBIDDEN_BACKOFF)
            return
        entry.answered = True
        if state is engine.OrderState.DONE and entry.done_at is None:
            entry.done_at = self._clock.monotonic()

    def _give_up(
        self, entry: order_tracker.OpenOrder, pause: datetime.timedelta
    ) -> None:
        self._tracker.finish(entry)
        self._tracker.avoid(
            entry.placement.address, self._clock.monotonic() + pause
        )

    def _record(self, entry: order_tracker.OpenOrder, outcome: str) -> None:
        order = entry.order
        self._events.record(
            events_module.EventKind.ORDER_SENT,
            entry.placement.address,
            order_id=order.order_id,
            order_kind=order.kind.value,
            target=order.target,
            outcome=outcome,
        )
