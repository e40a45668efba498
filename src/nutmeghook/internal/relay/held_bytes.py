"""Accounts for the bytes that an instance holds for callers and replicas.

A process above its memory limit is killed, and all its requests with it. What
is held is therefore bounded: beyond the bound new requests are refused, and
callers that don't read their answers are cut.
"""

import asyncio
from collections.abc import Callable
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_limiter
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import request_bytes

_SLOW_BODY = "request:slow_body"
_MEGABYTE = 1_000_000
_MILLISECOND = datetime.timedelta(milliseconds=1)
_NO_TIME = datetime.timedelta()
# The rest of the memory is for the interpreter, the tables, and the copies
# that exist while a body is joined or written.
_MEMORY_SHARE = 0.25
# The largest whole answer. Bodies leave room for it: they are held until their
# answers have come, so bodies that filled the bound would keep out the answers
# that they wait for.
_ANSWER_RESERVE_BYTES = 8 * 1024 * 1024
# The largest body (4 MB) and the largest whole answer fit into this, so that a
# single request can always be served.
_MIN_BOUND_BYTES = 2 * _ANSWER_RESERVE_BYTES
WATCH_INTERVAL = datetime.timedelta(milliseconds=200)
# Longest stretch that one sweep counts as time without a byte read. After the
# process stood still, callers' systems get the chance to take bytes first.
_LONGEST_STRETCH = WATCH_INTERVAL
# A caller that reads nothing is cut after this long beyond the bound. It is as
# short as the pauses of a reader behind a lossy path, which retransmits within
# a second.
FULL_UNREAD_TIMEOUT = datetime.timedelta(seconds=2)
# The same while more than half of the bound is held. Replicas cut answers that
# are not read for some seconds; this is to end the request first.
HALF_UNREAD_TIMEOUT = datetime.timedelta(seconds=4)
# Larger bodies leave some of the room to those below this size, so that stalled
# ones keep no ordinary request out.
_SMALL_BODY_BYTES = 64 * 1024
_SMALL_BODIES_RESERVE_BYTES = 512 * 1024
# A body that arrives may be refused for another one after this long.
ARRIVAL_GRACE = datetime.timedelta(seconds=1)


def bound_for(memory_mb: float) -> int:
    """Returns how many bytes an instance with so much memory may hold."""
    return max(int(memory_mb * _MEGABYTE * _MEMORY_SHARE), _MIN_BOUND_BYTES)


class HeldBytes(request_bytes.Account):
    """The bytes held for all requests of an instance.

    Attributes:
        bound_bytes: How many may be held.
        total_bytes: How many are held.
    """

    __slots__ = (
        "_body_bytes",
        "_clock",
        "_log_limiter",
        "_metrics",
        "_requests",
        "_swept_at",
        "_waiters",
        "bound_bytes",
        "total_bytes",
    )

    def __init__(
        self,
        *,
        bound_bytes: int,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._metrics = metrics
        self._clock = clock
        self._log_limiter = log_limiter.LogLimiter(clock=clock)
        self._requests: dict[request_bytes.RequestBytes, None] = {}
        self._waiters: list[asyncio.Future[None]] = []
        self._swept_at = clock.monotonic()
        self._body_bytes = 0
        self.bound_bytes = bound_bytes
        self.total_bytes = 0

    def now(self) -> datetime.timedelta:
        """Returns the monotonic time."""
        return self._clock.monotonic()

    def begin(
        self,
        *,
        measure_writes: Callable[[], request_bytes.WriteProgress],
        cut: Callable[[], None],
    ) -> request_bytes.RequestBytes:
        """Begins the account of a request.

        Args:
            measure_writes: Returns the progress of writes to the caller.
            cut: Drops the caller's connection with all that is unsent.
        """
        request = request_bytes.RequestBytes(
            account=self,
            measure_writes=measure_writes,
            cut=cut,
        )
        self._requests[request] = None
        return request

    @property
    def has_unread(self) -> bool:
        """Tells whether bytes wait for any caller to read."""
        return any(request.has_unread for request in self._requests)

    def make_room(self, count: int) -> bool:
        """Tells whether so many more bytes may be held.

        Cuts callers that have read nothing for `FULL_UNREAD_TIMEOUT` if that is
        needed, those that hold most first.
        """
        self._cut_unread(self.bound_bytes - count, FULL_UNREAD_TIMEOUT)
        return self.total_bytes + count <= self.bound_bytes

    @property
    def has_arriving(self) -> bool:
        """Tells whether any body is not complete."""
        return any(request.arrival for request in self._requests)

    def try_add_body(self, count: int, *, body_bytes: int) -> bool:
        """Counts bytes of a body if they may be held; for `RequestBytes`.

        Refuses bodies that arrive slowly if that is needed.

        Args:
            count: How many bytes are added.
            body_bytes: The size of the body so far, with them.
        """
        is_small = body_bytes <= _SMALL_BODY_BYTES
        if not self._has_body_room(count, is_small=is_small):
            self._refuse_slow_bodies(count, is_small=is_small)
        if not self._has_body_room(count, is_small=is_small):
            return False
        self._body_bytes += count
        return True

    def _has_body_room(self, count: int, *, is_small: bool) -> bool:
        reserve = min(_ANSWER_RESERVE_BYTES, self.bound_bytes // 2)
        limit_bytes = self.bound_bytes - reserve
        if not is_small:
            limit_bytes -= _SMALL_BODIES_RESERVE_BYTES
        if self._body_bytes + count > limit_bytes:
            return False
        return self.make_room(count)

    def _refuse_slow_bodies(self, count: int, *, is_small: bool) -> None:
        """Refuses the bodies that arrive most slowly until there is room."""
        now = self._clock.monotonic()
        arriving = [
            request
            for request in self._requests
            if request.arrival
            and now - request.arrival.began_at > ARRIVAL_GRACE
        ]
        arriving.sort(key=lambda request: request.arrival_rate(now))
        for request in arriving:
            if self._has_body_room(count, is_small=is_small):
                return
            self._note_slow_body(request)
            request.refuse_body()

    def refuse_arriving(self) -> None:
        """Refuses all bodies that are not complete."""
        for request in [r for r in self._requests if r.arrival]:
            request.refuse_body()

    def sweep(self) -> None:
        """Reads the sizes of all buffers, and cuts callers where needed."""
        now = self._clock.monotonic()
        elapsed = min(now - self._swept_at, _LONGEST_STRETCH)
        self._swept_at = now
        for request in self._requests:
            request.sample(elapsed)
        for request in [r for r in self._requests if r.is_late]:
            self._cut(request)
        for request in [r for r in self._requests if r.arrival]:
            if now >= request.arrival.deadline:
                self._note_slow_body(request)
                request.refuse_body()
        self._cut_unread(self.bound_bytes // 2, HALF_UNREAD_TIMEOUT)
        self._cut_unread(self.bound_bytes, FULL_UNREAD_TIMEOUT)

    def restart_sweeps(self) -> None:
        """Counts no time before this moment as time without a byte read."""
        self._swept_at = self._clock.monotonic()

    async def released(self) -> None:
        """Waits until less is held."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def change(self, count: int) -> None:
        """Adds to the bytes held; `RequestBytes` calls this."""
        self.total_bytes += count
        if count >= 0:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def remove(
        self, request: request_bytes.RequestBytes, *, body_bytes: int
    ) -> None:
        """Removes a request that has ended; `RequestBytes` calls this.

        Args:
            request: The request.
            body_bytes: What is held of its body.
        """
        del self._requests[request]
        self._body_bytes -= body_bytes
        self.change(-request.size)

    def _cut_unread(
        self, limit_bytes: int, timeout: datetime.timedelta
    ) -> None:
        """Cuts callers that don't read until the limit is kept."""
        if self.total_bytes <= limit_bytes:
            return
        unread = [r for r in self._requests if r.unread_time >= timeout]
        unread.sort(key=lambda request: request.size, reverse=True)
        for request in unread:
            if self.total_bytes <= limit_bytes:
                return
            self._cut(request)

    def _cut(self, request: request_bytes.RequestBytes) -> None:
        logs.note(
            "caller:not_reading",
            request=request.request_id,
            held_bytes=request.size,
            unread_ms=round(request.unread_time / _MILLISECOND),
        )
        self._metrics.add("callers_not_reading_total")
        request.cut()

    def _note_slow_body(self, request: request_bytes.RequestBytes) -> None:
        self._metrics.add("slow_bodies_total")
        if self._log_limiter.is_due(_SLOW_BODY):
            logs.note(
                _SLOW_BODY,
                request=request.request_id,
                held_bytes=request.size,
            )


class HeldBytesWatch:
    """Sweeps an account while callers have bytes to read or to send."""

    __slots__ = ("_account", "_clock", "_task")

    def __init__(self, *, account: HeldBytes, clock: clock_module.Clock):
        self._account = account
        self._clock = clock
        self._task: asyncio.Task[None] | None = None

    def ensure(self) -> None:
        """Starts to sweep, unless it does already."""
        if self._task is None or self._task.done():
            self._account.restart_sweeps()
            self._task = asyncio.create_task(self._sweep())

    def stop(self) -> None:
        """Stops sweeping."""
        if self._task is not None:
            self._task.cancel()

    async def _sweep(self) -> None:
        while self._account.has_unread or self._account.has_arriving:
            await self._clock.sleep(WATCH_INTERVAL)
            self._account.sweep()
