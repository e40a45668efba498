"""The bytes held for one request of a caller."""

import abc
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import datetime

_MILLISECOND = datetime.timedelta(milliseconds=1)
_NO_TIME = datetime.timedelta()
# A write may outlast the deadline by 0.5 s. The sweep that notices it comes up
# to one interval later.
_LATE_WRITE_TIMEOUT = datetime.timedelta(milliseconds=300)


class Account(abc.ABC):
    """What all requests of an instance share."""

    __slots__ = ()

    @abc.abstractmethod
    def now(self) -> datetime.timedelta:
        """Returns the monotonic time."""

    @abc.abstractmethod
    def make_room(self, count: int) -> bool:
        """Tells whether so many more bytes may be held."""

    @abc.abstractmethod
    def try_add_body(self, count: int, *, body_bytes: int) -> bool:
        """Counts bytes of a body if they may be held."""

    @abc.abstractmethod
    async def released(self) -> None:
        """Waits until less is held."""

    @abc.abstractmethod
    def change(self, count: int) -> None:
        """Adds to the bytes held."""

    @abc.abstractmethod
    def remove(self, request: "RequestBytes", *, body_bytes: int) -> None:
        """Removes a request that has ended."""


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
        account: Account,
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
