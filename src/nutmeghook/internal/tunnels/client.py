"""Asks peers for tunnels to replicas."""

import abc
import asyncio
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import addresses
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import frames
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.observe import logs
from nutmeghook.internal.tunnels import outcomes
from nutmeghook.internal.upstream import reachability as reachability_module
from nutmeghook.internal.upstream import tunnelled_connection

_Outcome = outcomes.TunnelOutcome

# Longer than a peer takes to find that a replica does not respond.
_REPLY_TIMEOUT = datetime.timedelta(milliseconds=400)
_MAX_ASKED = 4
# Peers that have to agree that a replica is at fault: one of them may be cut
# off itself and not know it yet.
_AGREEING = 2
# A peer that was unable, or did not reply, is asked last for so long.
_SHORT_BACKOFF = datetime.timedelta(milliseconds=500)
_LONG_BACKOFF = datetime.timedelta(seconds=2)
_SEQUENCE = frames.HELLO_SEQUENCE + 1
_SIGNS = {
    _Outcome.REFUSED: reachability_module.Reachability.REFUSES,
    _Outcome.DARK: reachability_module.Reachability.DARK,
}


class HelperView(abc.ABC):
    """Knows the peers that open tunnels."""

    __slots__ = ()

    @abc.abstractmethod
    def helpers(self) -> list[str]:
        """Returns their inner addresses, the one to ask first at the front."""


class PeerTunnels(tunnelled_connection.Tunnels):
    """Opens tunnels through the nearest peers that can.

    Until it is connected to its peers, an instance has none to ask.
    """

    __slots__ = (
        "_backoff_until",
        "_clock",
        "_credential",
        "_helpers",
        "_loop",
        "_traffic",
    )

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, clock: clock_module.Clock
    ):
        self._loop = loop
        self._clock = clock
        self._helpers: HelperView | None = None
        self._credential = ""
        self._traffic: traffic_module.Traffic | None = None
        self._backoff_until: dict[str, datetime.timedelta] = {}

    def connect(
        self,
        *,
        helpers: HelperView,
        credential: str,
        traffic: traffic_module.Traffic,
    ) -> None:
        """Names the peers to ask, once this instance is registered."""
        self._helpers = helpers
        self._credential = credential
        self._traffic = traffic

    @property
    def are_possible(self) -> bool:
        """Tells whether there are peers to ask."""
        return self._helpers is not None and bool(self._helpers.helpers())

    def is_helper(self, helper: str) -> bool:
        """Tells whether a peer goes on opening tunnels."""
        return self._helpers is not None and helper in self._helpers.helpers()

    async def open(
        self, address: str
    ) -> tunnelled_connection.TunnelledConnection:
        """Returns a connection through the first peer that opens one."""
        signs = []
        for helper in self._candidates():
            outcome, connection = await self._ask(helper, address)
            if connection is not None:
                logs.note("tunnel:opened", address=address, helper=helper)
                return connection
            if outcome in _SIGNS:
                signs.append(_SIGNS[outcome])
            if len(signs) >= _AGREEING:
                break
        raise tunnelled_connection.TunnelError(
            f"no peer opened a tunnel to {address}",
            sign=signs[0] if signs else None,
        )

    def _candidates(self) -> list[str]:
        """Returns the peers to ask, those that failed lately last."""
        now = self._clock.monotonic()
        self._backoff_until = {
            helper: until
            for helper, until in self._backoff_until.items()
            if until > now
        }
        helpers = self._helpers.helpers() if self._helpers else []
        helpers.sort(key=lambda helper: helper in self._backoff_until)
        return helpers[:_MAX_ASKED]

    async def _ask(
        self, helper: str, address: str
    ) -> tuple[_Outcome, tunnelled_connection.TunnelledConnection | None]:
        try:
            outcome, connection = await self._clock.wait_for(
                self._open_at(helper, address), _REPLY_TIMEOUT
            )
        except (OSError, TimeoutError, codec.MalformedError) as error:
            logs.note("tunnel:failed", helper=helper, error=repr(error))
            self._back_off(helper, _LONG_BACKOFF)
            return _Outcome.UNABLE, None
        if outcome is _Outcome.UNABLE:
            self._back_off(helper, _SHORT_BACKOFF)
        return outcome, connection

    def _back_off(self, helper: str, duration: datetime.timedelta) -> None:
        self._backoff_until[helper] = self._clock.monotonic() + duration

    async def _open_at(
        self, helper: str, address: str
    ) -> tuple[_Outcome, tunnelled_connection.TunnelledConnection | None]:
        host, port = addresses.split(helper)
        transport, connection = await self._loop.create_connection(
            lambda: tunnelled_connection.TunnelledConnection(
                loop=self._loop, helper=helper
            ),
            host,
            port,
        )
        is_open = False
        try:
            frames.write(
                transport,
                frames.hello(self._credential),
                traffic=self._traffic,
            )
            request = codec.encode(
                ttypes.TunnelOpen(address=address),
                sequence=_SEQUENCE,
                wants_reply=True,
            )
            frames.write(transport, request, traffic=self._traffic)
            outcome = _outcome_of(await connection.reply)
            is_open = outcome is _Outcome.OPEN
            return outcome, connection if is_open else None
        finally:
            if not is_open:
                connection.abort()


def _outcome_of(data: bytes) -> _Outcome:
    """Returns what a peer replied.

    Raises:
        codec.MalformedError: It is no reply of a peer that opens tunnels.
    """
    message = codec.decode(data).message
    if not isinstance(message, ttypes.TunnelReply):
        raise codec.MalformedError(f"unexpected reply {message!r}")
    try:
        return _Outcome(message.outcome)
    except ValueError as error:
        raise codec.MalformedError(str(error)) from error
