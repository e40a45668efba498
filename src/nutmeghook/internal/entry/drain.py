"""Draining: new requests are refused after the balancer's lag."""

import asyncio
from collections.abc import Iterator
import contextlib
import datetime
import enum

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.observe import events as events_module

DRAINING_RETRY_AFTER = datetime.timedelta(milliseconds=100)


class DrainState(enum.Enum):
    """The stages of a drain."""

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"


class Drain:
    """Counts requests in flight and decides when new ones are refused.

    The load balancer notices a failing `/readyz` after a lag and sends
    requests until then. The instance serves these; later requests are refused
    as `DRAINING`, which is provably not run.
    """

    __slots__ = ("_events", "_idle", "_in_flight", "state")

    def __init__(self, *, events: events_module.EventRing):
        self._events = events
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.state = DrainState.SERVING

    @property
    def in_flight(self) -> int:
        """Requests in flight."""
        return self._in_flight

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Counts a request while it is in flight.

        Raises:
            errors.CodedError: `DRAINING`.
        """
        if self.state is DrainState.REFUSING:
            raise errors.CodedError(
                code=codes.Code.DRAINING, retry_after=DRAINING_RETRY_AFTER
            )
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    def start_leaving(self) -> None:
        """Makes `/readyz` fail; requests are served as before."""
        self.state = DrainState.LEAVING
        self._events.record(
            events_module.EventKind.DRAIN_STARTED,
            "entry",
            in_flight=str(self._in_flight),
        )

    def refuse(self) -> None:
        """Refuses requests that arrive from now on."""
        self.state = DrainState.REFUSING

    async def idle(self) -> None:
        """Waits until no request is in flight."""
        await self._idle.wait()
