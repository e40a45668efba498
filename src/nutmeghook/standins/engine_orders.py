"""Orders to a model engine stand-in: load, unload and set the role."""

from collections.abc import Callable
import dataclasses
import datetime

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import weights
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import engine_settings

_MILLISECOND = datetime.timedelta(milliseconds=1)

# Redeems a ticket at the weight store; None if the ticket is not valid.
TicketRedeemer = Callable[[str], weights.WeightInfo | None]


class OrderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the engine's log of orders.

    Attributes:
        received_ms: Wall time, in milliseconds since the epoch.
    """

    order_id: str
    kind: engine.OrderKind
    target: str
    fencing_token: int
    state: engine.OrderState
    received_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Loading:
    """A version that is being loaded or has been loaded."""

    done_at: datetime.timedelta


class OrderHandler:
    """Executes orders, with or without fencing, and tracks loaded versions.

    Attributes:
        role: The target of the latest order that set it.
        log: All orders received, oldest first.
    """

    __slots__ = (
        "_accepted",
        "_clock",
        "_highest_token",
        "_loadings",
        "_redeem",
        "_settings",
        "log",
        "role",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        settings: engine_settings.EngineSettings,
        loaded: tuple[engine.ModelVersion, ...],
        redeem: TicketRedeemer | None,
    ):
        self._clock = clock
        self._settings = settings
        self._redeem = redeem
        self._highest_token = 0
        self._accepted: set[str] = set()
        self._loadings = {
            version: _Loading(done_at=clock.monotonic()) for version in loaded
        }
        self.role = ""
        self.log: list[OrderRecord] = []

    def loaded(self) -> tuple[engine.ModelVersion, ...]:
        """Returns the versions that can be served now."""
        now = self._clock.monotonic()
        return tuple(
            version
            for version, loading in self._loadings.items()
            if loading.done_at <= now
        )

    def handle(self, order: engine.Order) -> engine.OrderState:
        """Executes an order, or returns the state of one with the same id.

        Raises:
            failures.NotDoneError: The target is wrong, or a ticket is needed
                and the one in the order is not valid.
        """
        state = self._handle(order)
        self.log.append(
            OrderRecord(
                order_id=order.order_id,
                kind=order.kind,
                target=order.target,
                fencing_token=order.fencing_token,
                state=state,
                received_ms=self._clock.now().timestamp() * 1000,
            )
        )
        return state

    def _handle(self, order: engine.Order) -> engine.OrderState:
        settings = self._settings
        if settings.secret and order.secret != settings.secret:
            return engine.OrderState.FORBIDDEN
        if order.order_id in self._accepted:
            return self._state_of(order)
        if settings.honours_fencing and (
            order.fencing_token < self._highest_token
        ):
            return engine.OrderState.FENCED
        self._carry_out(order)
        self._highest_token = max(self._highest_token, order.fencing_token)
        self._accepted.add(order.order_id)
        return self._state_of(order)

    def _carry_out(self, order: engine.Order) -> None:
        if order.kind is engine.OrderKind.SET_ROLE:
            self.role = order.target
            return
        version = _version_of(order)
        if order.kind is engine.OrderKind.UNLOAD:
            self._loadings.pop(version, None)
        elif version not in self._loadings:
            self._load(version, order.ticket)

    def _load(self, version: engine.ModelVersion, ticket: str) -> None:
        info = None
        if ticket and self._redeem is not None:
            info = self._redeem(ticket)
        if info is not None and info.model_version != version:
            info = None
        if info is None and self._settings.needs_ticket:
            raise failures.NotDoneError(
                f"ticket {ticket!r} is not good for {version}"
            )
        load_ms = self._settings.load_ms
        if info is not None:
            load_ms = info.size_bytes / self._settings.download_bytes_per_ms
        self._loadings.setdefault(
            version,
            _Loading(
                done_at=self._clock.monotonic()
                + load_ms * self._settings.slow_factor * _MILLISECOND
            ),
        )

    def _state_of(self, order: engine.Order) -> engine.OrderState:
        """Returns an accepted order's state; a later one may supersede it."""
        if order.kind is engine.OrderKind.LOAD:
            loading = self._loadings.get(_version_of(order))
            if loading and loading.done_at > self._clock.monotonic():
                return engine.OrderState.IN_PROGRESS
        return engine.OrderState.DONE


def _version_of(order: engine.Order) -> engine.ModelVersion:
    try:
        return engine.ModelVersion.parse(order.target)
    except ValueError as error:
        raise failures.NotDoneError(str(error)) from error
