"""Connects to replicas: directly, or through a peer where that fails.

A failure to connect has two possible causes, the replica and this instance's
own path to it, which look alike from here. A peer that reaches the replica
tells them apart, and is a way to it at the same time.
"""

import asyncio
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.upstream import connection as connection_module
from nutmeghook.internal.upstream import dialer as dialer_module
from nutmeghook.internal.upstream import outcomes
from nutmeghook.internal.upstream import paths as paths_module
from nutmeghook.internal.upstream import reachability as reachability_module
from nutmeghook.internal.upstream import tunnelled_connection

_Reachability = reachability_module.Reachability
_Connection = connection_module.ReplicaConnection

# A peer is asked once a replica has not accepted for so long. Accepting takes
# 1 ms.
_HEAD_START = datetime.timedelta(milliseconds=200)
# For so long no peer is asked again for a replica that none could reach, and
# attempts to connect to one that did not respond fail at once.
_VERDICT_TIME = datetime.timedelta(milliseconds=500)
_CONTROL_TIMEOUT = datetime.timedelta(milliseconds=100)
_NO_WAIT = datetime.timedelta()


class Connector:
    """Opens connections, and learns which paths work.

    Attributes:
        paths: What is known of this instance's own paths.
    """

    __slots__ = (
        "_clock",
        "_dialer",
        "_loop",
        "_tunnels",
        "_unhelped_until",
        "paths",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        dialer: dialer_module.Dialer,
        tunnels: tunnelled_connection.Tunnels,
        clock: clock_module.Clock,
    ):
        self._loop = loop
        self._dialer = dialer
        self._tunnels = tunnels
        self._clock = clock
        self._unhelped_until: dict[str, datetime.timedelta] = {}
        self.paths = paths_module.ReplicaPaths(clock=clock)

    async def connect(
        self, address: str, *, timeout: datetime.timedelta
    ) -> _Connection:
        """Returns a new connection to a replica's `ip:port`.

        Raises:
            outcomes.NotSentError: There is none within the timeout.
        """
        if self.paths.is_dark(address) and self._is_unhelped(address):
            raise outcomes.NotSentError(
                f"{address} does not respond", reachability=_Reachability.DARK
            )
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._connect_either_way(address)
        except TimeoutError as error:
            self._note_unhelped(address)
            self.paths.note_failed(address, _Reachability.DARK)
            raise outcomes.NotSentError(
                f"{address} did not accept a connection: {error!r}",
                reachability=_Reachability.DARK,
            ) from error

    async def dial(
        self, address: str, *, timeout: datetime.timedelta
    ) -> _Connection | None:
        """Returns a new direct connection; None if the path is still lost."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                connection = await self._dial(address)
        except (OSError, TimeoutError) as error:
            self.paths.note_failed(address, reachability_module.of_error(error))
            return None
        self.paths.note_open(address)
        return connection

    def is_on_path(self, address: str, connection: _Connection) -> bool:
        """Tells whether an idle connection takes a path that works.

        Peers are used no longer than they are needed.
        """
        if connection.helper is None:
            return not self.paths.is_silent(address)
        return self.paths.is_bypassed(address) and self._tunnels.is_helper(
            connection.helper
        )

    def forget(self, address: str) -> None:
        """Drops what is known of an address that is no replica's any more."""
        self.paths.forget(address)
        self._unhelped_until.pop(address, None)

    async def _dial(self, address: str) -> _Connection:
        _, connection = await self._dialer.dial(
            address, lambda: _Connection(loop=self._loop)
        )
        return connection

    async def _connect_either_way(self, address: str) -> _Connection:
        """Returns the first connection of those tried."""
        is_doubtful = self.paths.is_doubtful(address)
        head_start = _NO_WAIT if is_doubtful else _HEAD_START
        direct = asyncio.ensure_future(self._dial(address))
        tries: list[asyncio.Future[_Connection]] = [direct]
        chosen = None
        try:
            await asyncio.wait(tries, timeout=head_start.total_seconds())
            if self._is_peer_needed(address, direct):
                tries.append(asyncio.ensure_future(self._tunnels.open(address)))
            await _until_decided(*tries)
            is_unsure = _is_unsure(*tries) and not (
                await self._reaches_another(address)
            )
            chosen = self._conclude(address, *tries, is_unsure=is_unsure)
            return chosen
        finally:
            for connecting in tries:
                _discard_other(connecting, chosen)

    def _is_peer_needed(
        self, address: str, direct: asyncio.Future[_Connection]
    ) -> bool:
        if direct.done():
            error = direct.exception()
            if error is None or (
                reachability_module.of_error(error) is _Reachability.NOT_ASKED
            ):
                return False
        return not self._is_unhelped(address) and self._tunnels.are_possible

    def _conclude(
        self,
        address: str,
        direct: asyncio.Future[_Connection],
        tunnelled: asyncio.Future[_Connection] | None = None,
        *,
        is_unsure: bool,
    ) -> _Connection:
        """Records what the tries show; returns the one that succeeded.

        Args:
            address: The replica's.
            direct: The direct try.
            tunnelled: The try through a peer, if there was one.
            is_unsure: Neither peers nor other replicas tell whose fault it is.

        Raises:
            outcomes.NotSentError: None has.
        """
        error = direct.exception() if direct.done() else None
        if direct.done() and error is None:
            self.paths.note_open(address)
            return direct.result()
        sign = _Reachability.DARK
        if error is not None:
            sign = reachability_module.of_error(error)
        if tunnelled is not None and tunnelled.exception() is None:
            connection = tunnelled.result()
            self.paths.note_bypassed(address, sign, helper=connection.helper)
            return connection
        self.paths.note_failed(address, sign)
        if tunnelled is not None:
            self._note_unhelped(address)
            sign = tunnelled.exception().sign or sign
        if is_unsure:
            sign = _Reachability.NOT_ASKED
        raise outcomes.NotSentError(
            f"{address} did not accept a connection: {error!r}",
            reachability=sign,
        ) from error

    async def _reaches_another(self, address: str) -> bool:
        """Tells whether another replica accepts a connection from here."""
        other = self.paths.any_open(except_for=address)
        if other is None:
            return False
        connection = await self.dial(other, timeout=_CONTROL_TIMEOUT)
        if connection is None:
            return False
        connection.abort()
        return True

    def _is_unhelped(self, address: str) -> bool:
        until = self._unhelped_until.get(address)
        return until is not None and self._clock.monotonic() < until

    def _note_unhelped(self, address: str) -> None:
        self._unhelped_until[address] = self._clock.monotonic() + _VERDICT_TIME


async def _until_decided(
    direct: asyncio.Future[_Connection],
    tunnelled: asyncio.Future[_Connection] | None = None,
) -> None:
    """Waits for a success, for both failures, or for the peers' verdict."""
    pending = {direct} if tunnelled is None else {direct, tunnelled}
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        if any(found.exception() is None for found in done):
            return
        if tunnelled in done and tunnelled.exception().sign is not None:
            return


def _is_unsure(
    direct: asyncio.Future[_Connection],
    tunnelled: asyncio.Future[_Connection] | None = None,
) -> bool:
    """Tells whether both tries failed, and no peer can tell why."""
    if tunnelled is None or not (direct.done() and tunnelled.done()):
        return False
    if direct.exception() is None or tunnelled.exception() is None:
        return False
    return tunnelled.exception().sign is None


def _discard_other(
    connecting: asyncio.Future[_Connection], chosen: _Connection | None
) -> None:
    """Cancels a try; drops the connection that it has made, unless chosen."""

    def drop(done: asyncio.Future[_Connection]) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        if done.result() is not chosen:
            done.result().abort()

    connecting.cancel()
    connecting.add_done_callback(drop)
