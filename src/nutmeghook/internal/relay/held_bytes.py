"""Accounts for the bytes that an instance holds for callers and replicas.

A process above its memory limit is killed, and all its requests with it. What
is held is therefore bounded: beyond the bound new requests are refused, and
callers that don't read their answers are cut.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_limiter
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module

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
# A write may outlast the deadline by 0.5 s. The sweep that notices it comes up
# to one interval later.
_LATE_WRITE_TIMEOUT = datetime.timedelta(milliseconds=300)


def bound_for(memory_mb: float) -> int:
    """Returns how many bytes an instance with so much memory may hold."""
    return max(int(memory_mb * _MEGABYTE * _MEMORY_SHARE), _MIN_BOUND_BYTES)


class WriteProgress:
    """What was written to a caller's connection, and what is still held.

    Attributes:
        read_bytes: Of what was written for the request, how much the caller's
            system has acknowledged.
        unsent_bytes: How much this system has not accepted.
    """

    __slots__ = ("read_bytes", "unsent_bytes")

    def __init__(self, *, read_bytes: int, unsent_bytes: int):
        self.read_bytes = read_bytes
        self.unsent_bytes = unsent_bytes


class Arrival:
    """A body that is not complete.

    Attributes:
        began_at: Monotonic time of its begin.
        deadline: Monotonic time at which it is refused.
        refuse: Ends the wait for the rest of it.
    """

    __slots__ = ("began_at", "deadline", "refuse")

    def __init__(
        self,
        *,
        began_at: datetime.timedelta,
        deadline: datetime.timedelta,
        refuse: Callable[[], None],
    ):
        self.began_at = began_at
        self.deadline = deadline
        self.refuse = refuse


class RequestBytes:
    """The bytes held for one request.

    Bytes count as read by the caller once its system has acknowledged them:
    nothing closer to the caller can be observed.

    Attributes:
        request_id: The caller's id, for logs.
        arrival: The arrival of its body; None if that is complete.
        deadline: Monotonic time after which no write may go on; None while it
            is not known.
        size: All bytes held.
        unread_time: For how long the caller has read nothing of what is held
            for it.
        is_cut: The request was ended because its caller does not read.
    """

    __slots__ = (
        "_account",
        "_answer",
        "_body",
        "_cut",
        "_head",
        "_late_time",
        "_measure_read_buffer",
        "_measure_writes",
        "_read",
        "_read_buffer",
        "_unread",
        "_write_began_at",
        "arrival",
        "deadline",
        "is_cut",
        "is_ended",
        "request_id",
        "size",
        "unread_time",
    )

    def __init__(
        self,
        *,
        account: "HeldBytes",
        measure_writes: Callable[[], WriteProgress],
        cut: Callable[[], None],
    ):
        self._account = account
        self._measure_writes = measure_writes
        self._cut = cut
        self._measure_read_buffer: Callable[[], int] | None = None
        self._head = 0
        self._body = 0
        self._answer = 0
        self._unread = 0
        self._read_buffer = 0
        self._read = 0
        self._late_time = _NO_TIME
        self._write_began_at = _NO_TIME
        self.request_id = ""
        self.arrival: Arrival | None = None
        self.deadline: datetime.timedelta | None = None
        self.size = 0
        self.unread_time = _NO_TIME
        self.is_cut = False
        self.is_ended = False

    @property
    def has_unread(self) -> bool:
        """Tells whether bytes wait for the caller to read."""
        return self._unread > 0

    def try_hold_head(self, count: int) -> bool:
        """Adds the request's head and the objects made of it."""
        if self.is_ended or not self._account.make_room(count):
            return False
        self._head += count
        self._update()
        return True

    @contextlib.contextmanager
    def arriving(
        self, *, deadline: datetime.timedelta, refuse: Callable[[], None]
    ) -> Iterator[None]:
        """Lets the body be refused while it is not complete.

        Args:
            deadline: Monotonic time at which it is refused.
            refuse: Ends the wait for the rest of it.
        """
        self.arrival = Arrival(
            began_at=self._account.now(), deadline=deadline, refuse=refuse
        )
        try:
            yield
        finally:
            self.arrival = None

    def arrival_rate(self, now: datetime.timedelta) -> float:
        """Returns the bytes a second at which the body has arrived so far."""
        age = max(now - self.arrival.began_at, _MILLISECOND)
        return self._body / age.total_seconds()

    def refuse_body(self) -> None:
        """Gives up the room of a body that is not complete."""
        refuse = self.arrival.refuse
        self.arrival = None
        self.end()
        refuse()

    def try_hold_body(self, count: int) -> bool:
        """Adds bytes of the request's body, unless the bound forbids it."""
        if self.is_ended or not self._account.try_add_body(
            count, body_bytes=self._body + count
        ):
            return False
        self._body += count
        self._update()
        return True

    def try_hold_answer(self, count: int) -> bool:
        """Adds bytes of an answer that is held until it is whole."""
        if self.is_ended or not self._account.make_room(count):
            return False
        self._answer += count
        self._update()
        return True

    async def hold_answer(self, count: int) -> None:
        """Waits until bytes of a whole answer may be held, and adds them.

        The replica's connection is not read meanwhile.

        Raises:
            ConnectionResetError: The request has ended.
        """
        while not self.try_hold_answer(count):
            if self.is_ended:
                raise ConnectionResetError("the request has ended")
            await self._account.released()

    def release_answer(self, count: int) -> None:
        """Removes bytes of an answer that is no longer held."""
        if not self.is_ended:
            self._answer = max(0, self._answer - count)
            self._update()

    @contextlib.contextmanager
    def reading(self, measure: Callable[[], int]) -> Iterator[None]:
        """Counts a replica's answer in its read buffer.

        Args:
            measure: Returns the bytes received and not yet forwarded.
        """
        self._measure_read_buffer = measure
        try:
            yield
        finally:
            self._measure_read_buffer = None
            self._read_buffer = 0
            self._update()

    def note_write(self) -> None:
        """Records that a write to the caller begins."""
        self._write_began_at = self._account.now()
        self._late_time = _NO_TIME

    def note_unsent(self, count: int) -> None:
        """Records how many bytes the system has not accepted after a write.

        What the caller has read is left to the sweeps: to measure it takes a
        system call, which is too much for each event.
        """
        if self.is_ended:
            return
        self._unread = count
        if not count:
            self.unread_time = _NO_TIME
        if self._measure_read_buffer is not None:
            self._read_buffer = self._measure_read_buffer()
        self._update()

    def sample(self, elapsed: datetime.timedelta = _NO_TIME) -> None:
        """Reads the sizes of the buffers.

        Args:
            elapsed: The time that counts as passed since the last sweep.
        """
        if self.is_ended:
            return
        writes = self._measure_writes()
        if writes.read_bytes > self._read or not writes.unsent_bytes:
            self.unread_time = _NO_TIME
        elif self._unread:
            self.unread_time += elapsed
        # It falls where the system, which had accepted all, holds bytes that
        # the caller's system has not acknowledged.
        self._read = writes.read_bytes
        self._unread = writes.unsent_bytes
        if self._unread:
            self._late_time += min(elapsed, self._late_by())
        if self._measure_read_buffer is not None:
            self._read_buffer = self._measure_read_buffer()
        self._update()

    @property
    def is_late(self) -> bool:
        """Tells whether a write has outlasted the deadline."""
        return self._late_time >= _LATE_WRITE_TIMEOUT

    def cut(self) -> None:
        """Ends the request because its caller does not read."""
        self.is_cut = True
        self._cut()
        self.end()

    def end(self) -> None:
        """Ends the account of this request; repeated calls do nothing."""
        if self.is_ended:
            return
        self.is_ended = True
        self._account.remove(self, body_bytes=self._body)

    def _late_by(self) -> datetime.timedelta:
        """Returns the time since both the deadline and the write's begin."""
        since = max(self.deadline or _NO_TIME, self._write_began_at)
        return max(self._account.now() - since, _NO_TIME)

    def _update(self) -> None:
        if self.is_ended:
            return
        # A whole answer is the object that the connection writes from, so its
        # unsent part is no further memory.
        size = (
            self._head
            + self._body
            + max(self._answer, self._unread)
            + self._read_buffer
        )
        self._account.change(size - self.size)
        self.size = size


class HeldBytes:
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
        self._requests: dict[RequestBytes, None] = {}
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
        measure_writes: Callable[[], WriteProgress],
        cut: Callable[[], None],
    ) -> RequestBytes:
        """Begins the account of a request.

        Args:
            measure_writes: Returns the progress of writes to the caller.
            cut: Drops the caller's connection with all that is unsent.
        """
        request = RequestBytes(
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

    def remove(self, request: RequestBytes, *, body_bytes: int) -> None:
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

    def _cut(self, request: RequestBytes) -> None:
        logs.note(
            "caller:not_reading",
            request=request.request_id,
            held_bytes=request.size,
            unread_ms=round(request.unread_time / _MILLISECOND),
        )
        self._metrics.add("callers_not_reading_total")
        request.cut()

    def _note_slow_body(self, request: RequestBytes) -> None:
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
