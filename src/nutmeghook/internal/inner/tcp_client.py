"""Calls to other instances over persistent TCP connections."""

import asyncio
import contextlib
import datetime
import itertools
import random as random_module

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import addresses
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import frames
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import serving
from nutmeghook.internal.inner import sockets
from nutmeghook.internal.inner import traffic as traffic_module

_CONNECT_TIMEOUT = datetime.timedelta(seconds=2)
_IDLE_TIMEOUT = datetime.timedelta(seconds=60)
_FIRST_BACKOFF = datetime.timedelta(milliseconds=50)
_MAX_BACKOFF = datetime.timedelta(seconds=2)


class TcpPeerCaller(peers.PeerCaller):
    """Calls peers over one connection and one task per peer."""

    __slots__ = (
        "_clock",
        "_closing",
        "_credential",
        "_max_in_flight",
        "_peers",
        "_random",
        "_traffic",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        credential: str,
        traffic: traffic_module.Traffic,
        random: random_module.Random,
        max_in_flight: int = 64,
    ):
        frames.check_credential(credential)
        self._clock = clock
        self._credential = credential
        self._traffic = traffic
        self._random = random
        self._max_in_flight = max_in_flight
        self._peers: dict[str, _Peer] = {}
        self._closing = False

    async def call(
        self,
        inner_address: str,
        request: peers.Message,
        *,
        timeout: datetime.timedelta,
    ) -> peers.Message:
        """Sends a request and returns the reply."""
        if self._closing:
            raise peers.PeerUnreachableError("this instance is closing")
        peer = self._peers.get(inner_address)
        if peer is None or peer.task.done():
            try:
                peer = self._add(inner_address)
            except ValueError as error:
                raise peers.PeerUnreachableError(str(error)) from error
        try:
            reply = await self._clock.wait_for(peer.exchange(request), timeout)
        except TimeoutError as error:
            raise peers.PeerUnreachableError(
                f"no reply from {inner_address} within {timeout}"
            ) from error
        return serving.result_of(reply)

    async def close(self, *, grace: datetime.timedelta) -> None:
        """Refuses new calls and waits at most `grace` for running ones."""
        self._closing = True
        peer_connections = list(self._peers.values())
        idle = asyncio.gather(
            *(peer.wait_until_idle() for peer in peer_connections)
        )
        # Calls that take longer fail with `PeerUnreachableError`.
        with contextlib.suppress(TimeoutError):
            await self._clock.wait_for(idle, grace)
        for peer in peer_connections:
            peer.task.cancel()
        await asyncio.gather(
            *(peer.task for peer in peer_connections), return_exceptions=True
        )

    def _add(self, inner_address: str) -> "_Peer":
        for address in [a for a, p in self._peers.items() if p.task.done()]:
            del self._peers[address]
        addresses.split(inner_address)
        peer = _Peer(
            inner_address=inner_address,
            clock=self._clock,
            credential=self._credential,
            traffic=self._traffic,
            random=self._random,
            max_in_flight=self._max_in_flight,
        )
        self._peers[inner_address] = peer
        peer.task = asyncio.create_task(peer.run())
        return peer


class _Peer:
    """The connection to one peer: opened on demand, closed when idle."""

    __slots__ = (
        "_backoff",
        "_backoff_until",
        "_clock",
        "_credential",
        "_idle",
        "_inner_address",
        "_is_listening",
        "_pending",
        "_random",
        "_sequences",
        "_slots",
        "_traffic",
        "_unsent",
        "_wanted",
        "_writer",
        "task",
    )

    def __init__(
        self,
        *,
        inner_address: str,
        clock: clock_module.Clock,
        credential: str,
        traffic: traffic_module.Traffic,
        random: random_module.Random,
        max_in_flight: int,
    ):
        self._inner_address = inner_address
        self._clock = clock
        self._credential = credential
        self._traffic = traffic
        self._random = random
        self._slots = asyncio.Semaphore(max_in_flight)
        self._sequences = itertools.count(frames.HELLO_SEQUENCE + 1)
        self._pending: dict[int, asyncio.Future[peers.Message]] = {}
        self._unsent: dict[int, codec.Encoded] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._wanted = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._backoff = _FIRST_BACKOFF
        self._backoff_until = clock.monotonic()
        # False while the last attempt to connect was refused.
        self._is_listening = True
        self.task: asyncio.Task | None = None

    async def wait_until_idle(self) -> None:
        """Waits until no call is running."""
        await self._idle.wait()

    async def exchange(self, request: peers.Message) -> peers.Message:
        """Sends a request and waits for its reply, a failure included."""
        async with self._slots:
            if self._clock.monotonic() < self._backoff_until:
                raise self._unreachable("could not be reached; backing off")
            sequence = next(self._sequences)
            reply = asyncio.get_running_loop().create_future()
            self._pending[sequence] = reply
            self._idle.clear()
            try:
                envelope = codec.encode(
                    request, sequence=sequence, wants_reply=True
                )
                await self._send(sequence, envelope)
                return await reply
            finally:
                self._remove(sequence)

    async def run(self) -> None:
        """Connects when a call is pending; ends after a long idle time."""
        try:
            while await self._is_wanted():
                try:
                    await self._run_connection()
                except ConnectionRefusedError as error:
                    self._is_listening = False
                    self._back_off()
                    self._fail_pending(self._unreachable(error))
                except peers.PeerRefusedError as error:
                    self._back_off()
                    self._fail_pending(error)
                except (
                    OSError,
                    codec.MalformedError,
                    frames.StreamEndedError,
                ) as error:
                    self._is_listening = True
                    self._back_off()
                    self._fail_pending(self._unreachable(error))
        finally:
            self._fail_pending(self._unreachable("this instance is closing"))

    async def _is_wanted(self) -> bool:
        while not self._wanted.is_set():
            try:
                await self._clock.wait_for(self._wanted.wait(), _IDLE_TIMEOUT)
            except TimeoutError:
                return self._wanted.is_set()
        return True

    async def _send(self, sequence: int, envelope: codec.Encoded) -> None:
        if self._writer is None:
            # Written once connected, unless the call has timed out by then.
            self._unsent[sequence] = envelope
            self._wanted.set()
            return
        # When a connection ends, its reader fails all pending calls.
        with contextlib.suppress(ConnectionError):
            frames.write(self._writer, envelope, traffic=self._traffic)
            await self._writer.drain()

    def _remove(self, sequence: int) -> None:
        self._unsent.pop(sequence, None)
        self._pending.pop(sequence, None)
        if not self._pending:
            self._idle.set()

    async def _run_connection(self) -> None:
        """Connects and reads replies until the connection ends.

        Raises:
            OSError: Connecting failed or the connection broke, including
                TimeoutError.
            StreamEndedError: The peer closed the connection.
            MalformedError: The peer sent something other than an envelope.
            PeerRefusedError: The peer refused the credential.
        """
        host, port = addresses.split(self._inner_address)
        reader, writer = await self._clock.wait_for(
            asyncio.open_connection(host, port), _CONNECT_TIMEOUT
        )
        try:
            self._start_connection(writer)
            while True:
                await self._read_reply(reader)
        except TimeoutError:
            # Nothing arrived for longer than any call waits: close it without
            # backing off.
            self._fail_pending(self._unreachable("the connection was idle"))
        finally:
            self._writer = None
            self._wanted.clear()
            writer.transport.abort()

    def _start_connection(self, writer: asyncio.StreamWriter) -> None:
        self._is_listening = True
        sockets.set_options(writer)
        frames.write(
            writer, frames.hello(self._credential), traffic=self._traffic
        )
        for envelope in self._unsent.values():
            frames.write(writer, envelope, traffic=self._traffic)
        self._unsent.clear()
        self._writer = writer

    async def _read_reply(self, reader: asyncio.StreamReader) -> None:
        received = await self._clock.wait_for(
            frames.read(reader, traffic=self._traffic), _IDLE_TIMEOUT
        )
        if received.sequence == frames.HELLO_SEQUENCE:
            serving.result_of(received.message)
        self._backoff = _FIRST_BACKOFF
        # A reply to a call that has timed out is dropped.
        reply = self._pending.get(received.sequence)
        if reply is not None and not reply.done():
            reply.set_result(received.message)

    def _back_off(self) -> None:
        """Makes calls fail at once until a back-off with jitter has passed.

        Without jitter, 420 instances that lost a peer at the same moment would
        all retry at the same moments.
        """
        wait = self._backoff * self._random.uniform(0.5, 1.5)
        self._backoff_until = self._clock.monotonic() + wait
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)

    def _fail_pending(self, error: Exception) -> None:
        self._wanted.clear()
        self._unsent.clear()
        for reply in self._pending.values():
            if not reply.done():
                reply.set_exception(error)

    def _unreachable(self, reason: object) -> peers.PeerUnreachableError:
        error_type = peers.PeerUnreachableError
        if not self._is_listening:
            error_type = peers.PeerNotListeningError
        return error_type(f"{self._inner_address}: {reason!r}")
