"""An in-process network, for tests and the experiment tool.

It is in the product package, not with the tests, because the experiment tool
uses it too. Nothing that serves traffic does.

All waits are on the given clock. Messages are encoded and decoded by the real
codec, so that instances share no structs and a message that TCP would refuse
fails here too.
"""

import asyncio
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import serving
from nutmeghook.internal.inner import traffic as traffic_module

_NO_DELAY = datetime.timedelta()


class LocalNetwork:
    """Connects instances by inner address and injects faults on links.

    A link is directed: from one address to another.
    """

    __slots__ = (
        "_clock",
        "_cut_links",
        "_default_delay",
        "_delays",
        "_handlers",
        "_tasks",
        "_thawed",
        "_traffic",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        delay: datetime.timedelta = _NO_DELAY,
    ):
        self._clock = clock
        self._default_delay = delay
        self._delays: dict[tuple[str, str], datetime.timedelta] = {}
        self._cut_links: set[tuple[str, str]] = set()
        self._handlers: dict[str, peers.PeerHandlers] = {}
        self._thawed: dict[str, asyncio.Event] = {}
        self._traffic: dict[str, traffic_module.Traffic] = {}
        self._tasks: set[asyncio.Task] = set()

    def attach(
        self,
        inner_address: str,
        handlers: peers.PeerHandlers,
        *,
        traffic: traffic_module.Traffic | None = None,
    ) -> "LocalPeerCaller":
        """Adds or restarts an instance and returns its caller."""
        self._handlers[inner_address] = handlers
        self._traffic[inner_address] = traffic or traffic_module.Traffic()
        return LocalPeerCaller(network=self, inner_address=inner_address)

    def detach(self, inner_address: str) -> None:
        """Crashes an instance; calls to it fail at once."""
        self._handlers.pop(inner_address, None)

    def cut(self, source: str, target: str) -> None:
        """Drops all that `source` sends to `target`, replies included."""
        self._cut_links.add((source, target))

    def cut_both_ways(self, one: str, other: str) -> None:
        """Drops all that two instances send to each other."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self, one: str, other: str) -> None:
        """Ends the cuts between two instances, both ways."""
        self._cut_links -= {(one, other), (other, one)}

    def heal_all(self) -> None:
        """Ends all cuts."""
        self._cut_links.clear()

    def set_delay(
        self, source: str, target: str, delay: datetime.timedelta
    ) -> None:
        """Sets the delay of messages from `source` to `target`."""
        self._delays[(source, target)] = delay

    def freeze(self, inner_address: str) -> None:
        """Holds an instance's calls, handlers and replies until thawed."""
        self._thawed.setdefault(inner_address, asyncio.Event()).clear()

    def thaw(self, inner_address: str) -> None:
        """Resumes a frozen instance with all that was held."""
        event = self._thawed.pop(inner_address, None)
        if event is not None:
            event.set()

    def clock_of(
        self,
        inner_address: str,
        *,
        wall_clock_lag: datetime.timedelta = _NO_DELAY,
    ) -> "InstanceClock":
        """Returns a clock whose sleeps don't end while it is frozen."""
        return InstanceClock(
            clock=self._clock,
            network=self,
            inner_address=inner_address,
            wall_clock_lag=wall_clock_lag,
        )

    def has(self, inner_address: str) -> bool:
        """Tells whether an instance is attached."""
        return inner_address in self._handlers

    async def transmit(self, source: str, target: str) -> bool:
        """Passes a message over a link; returns whether it arrives."""
        if (source, target) in self._cut_links:
            return False
        delay = self._delays.get((source, target), self._default_delay)
        if delay > _NO_DELAY:
            await self._clock.sleep(delay)
        if (source, target) in self._cut_links:
            return False
        await self.until_thawed(target)
        return True

    async def until_thawed(self, inner_address: str) -> None:
        """Waits while an instance is frozen."""
        while (event := self._thawed.get(inner_address)) is not None:
            await event.wait()

    async def exchange(
        self,
        source: str,
        target: str,
        request: codec.Encoded,
        *,
        timeout: datetime.timedelta,
    ) -> bytes:
        """Sends a request's bytes and returns the reply's.

        The handler continues after the caller's timeout, as it would on another
        machine.

        Raises:
            TimeoutError: No reply arrived.
        """
        reply: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        task = asyncio.create_task(
            self._deliver(source, target, request, reply)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await self._clock.wait_for(reply, timeout)

    async def _deliver(
        self,
        source: str,
        target: str,
        request: codec.Encoded,
        reply: asyncio.Future[bytes],
    ) -> None:
        self._count_sent(source, request)
        if not await self.transmit(source, target):
            return
        self._count_received(target, request)
        handlers = self._handlers.get(target)
        if handlers is None:
            return
        answer = await serving.reply_to(
            codec.decode(request.data), handlers=handlers
        )
        await self.until_thawed(target)
        # An instance that crashed while its handler ran sends no reply.
        if self._handlers.get(target) is not handlers:
            return
        self._count_sent(target, answer)
        if not await self.transmit(target, source):
            return
        self._count_received(source, answer)
        if not reply.done():
            reply.set_result(answer.data)

    def _count_sent(self, source: str, message: codec.Encoded) -> None:
        if source in self._traffic:
            self._traffic[source].count_sent(message.kind, len(message.data))

    def _count_received(self, target: str, message: codec.Encoded) -> None:
        if target in self._traffic:
            self._traffic[target].count_received(
                message.kind, len(message.data)
            )


class LocalPeerCaller(peers.PeerCaller):
    """Calls from one instance of a `LocalNetwork`."""

    __slots__ = ("_inner_address", "_network")

    def __init__(self, *, network: LocalNetwork, inner_address: str):
        self._network = network
        self._inner_address = inner_address

    async def call(
        self,
        inner_address: str,
        request: peers.Message,
        *,
        timeout: datetime.timedelta,
    ) -> peers.Message:
        """Sends a request and returns the reply."""
        network = self._network
        data = codec.encode(request, sequence=1, wants_reply=True)
        await network.until_thawed(self._inner_address)
        if not network.has(inner_address):
            raise peers.PeerUnreachableError(f"{inner_address} is not attached")
        try:
            reply = await network.exchange(
                self._inner_address, inner_address, data, timeout=timeout
            )
        except TimeoutError as error:
            raise peers.PeerUnreachableError(
                f"no reply from {inner_address} within {timeout}"
            ) from error
        finally:
            # A frozen process notices its timeouts only once it is resumed.
            await network.until_thawed(self._inner_address)
        return serving.result_of(codec.decode(reply).message)


class InstanceClock(clock_module.Clock):
    """A shared clock as seen by a process that may be frozen.

    Time passes while the process is frozen, as under SIGSTOP: `monotonic` jumps
    at the thaw, and sleeps end late.
    """

    __slots__ = ("_clock", "_inner_address", "_network", "_wall_clock_lag")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        network: LocalNetwork,
        inner_address: str,
        wall_clock_lag: datetime.timedelta,
    ):
        self._wall_clock_lag = wall_clock_lag
        self._clock = clock
        self._network = network
        self._inner_address = inner_address

    def now(self) -> datetime.datetime:
        """Returns the shared clock's wall time, less this one's lag."""
        return self._clock.now() - self._wall_clock_lag

    def monotonic(self) -> datetime.timedelta:
        """Returns the shared clock's monotonic time."""
        return self._clock.monotonic()

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits for `duration`, then until the instance is not frozen."""
        await self._clock.sleep(duration)
        await self._network.until_thawed(self._inner_address)
